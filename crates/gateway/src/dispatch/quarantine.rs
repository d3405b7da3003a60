//! Prompt parts that are refused because they crash servers.

use std::collections::BTreeMap;

use recovery::quarantine::{Combination, Report};
use units::time::Instant;

use super::{AcquireRequest, Dispatch};
use crate::parts;

impl Dispatch {
    /// Whether parts of a request's prompt are refused.
    pub(super) fn is_quarantined(&self, request: &AcquireRequest) -> bool {
        let shared = parts::shared(&request.pool, &request.demand.parts);
        self.crashes.refused_parts(&shared).is_some()
    }

    /// Decides which parts are refused, once the evidence has settled.
    pub(super) fn decide_parts(&mut self, now: Instant) {
        for (parts, entry) in self.crashes.decide(now) {
            log_refused(&parts, entry.crashes, "crashes");
        }
    }

    /// Merges what another router knows of parts.
    pub(super) fn merge_part_reports(&mut self, reports: Vec<Report>, now: Instant) {
        for (parts, crashes) in self.crashes.merge_parts(reports, now) {
            log_refused(&parts, crashes, "router");
        }
    }

    /// Refuses the parts that the store lists, and those no longer that it has ceased to list.
    pub(super) fn set_quarantine(&mut self, recorded: &BTreeMap<Combination, u32>, now: Instant) {
        for (parts, &crashes) in recorded {
            if self.recorded_parts.insert(parts.clone()) && self.crashes.adopt(parts, crashes, now)
            {
                log_refused(parts, crashes, "store");
            }
        }
        let is_removed = |parts: &Combination| !recorded.contains_key(parts);
        let removed: Vec<_> = self.recorded_parts.extract_if(.., is_removed).collect();
        for parts in removed {
            self.lift_parts(&parts, now);
        }
    }

    /// Refuses parts no longer. Returns whether they were refused.
    pub(super) fn lift_parts(&mut self, parts: &Combination, now: Instant) -> bool {
        let was_refused = self.crashes.lift(parts, now);
        if was_refused {
            logging::event!(info, "parts_lifted", parts = parts);
        }
        was_refused
    }

    /// The parts that are refused, with the number of crashes.
    pub(super) fn refused_parts(&self) -> Vec<(Combination, u32)> {
        let entries = self.crashes.quarantine();
        entries
            .map(|(parts, entry)| (parts.clone(), entry.crashes))
            .collect()
    }
}

fn log_refused(parts: &Combination, crashes: u32, source: &str) {
    logging::event!(
        warn,
        "parts_refused",
        parts = parts,
        crashes = crashes,
        source = source
    );
}
