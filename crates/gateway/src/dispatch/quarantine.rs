//! Prompt parts that are refused because they crash servers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use recovery::quarantine::{Combination, Report};
use units::time::Instant;

use super::{AcquireRequest, Dispatch, RefusedParts};
use crate::{
    crashes::Request,
    parts,
    quarantine::{self, Backlog},
};

/// The time before a request is let through although its parts are refused, by the number of
/// crashes under them since then. After the last one no further request is.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(4),
    Duration::from_secs(60),
];
/// The time in which such a request shows whether the parts are harmless.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// The share of this router's requests from which on parts are tried.
const TRIAL_SHARE: f64 = 0.3;
/// The refusals from which on that share is known.
const MIN_REFUSALS: u64 = 10;

/// The requests that this router has refused because of the same parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    count: u64,
    /// The number of the first of them among all requests.
    first: u64,
    /// When one may be let through.
    trial_at: Instant,
}

impl Dispatch {
    /// Whether parts of a request's prompt are refused. Counts the refusal.
    pub(super) fn is_quarantined(&mut self, request: &AcquireRequest, now: Instant) -> bool {
        if self.part_trial == Some(request.fingerprint) {
            return false;
        }
        let fingerprint = request.fingerprint;
        let request = Request {
            fingerprint: request.fingerprint,
            parts: parts::shared(&request.pool, &request.demand.parts),
        };
        let Some(parts) = self.crashes.refused_parts(&request) else {
            return false;
        };
        let parts = parts.clone();
        if self.starts_trial(&parts, now) {
            logging::event!(
                info,
                "parts_tried",
                parts = parts,
                fingerprint = fingerprint
            );
            self.part_trial = Some(fingerprint);
            return false;
        }
        true
    }

    /// Counts a refusal because of `parts`. Returns whether the request is to show that they are
    /// harmless, instead of being refused.
    ///
    /// Parts that many requests hold may be refused by mistake if none of these completed between
    /// some crashes. Nothing would ever clear them.
    fn starts_trial(&mut self, parts: &Combination, now: Instant) -> bool {
        let failures = self.crashes.crashes_since_refused(parts);
        let is_first = quarantine::rank(&self.fleet.members, &self.fleet.own, parts) == 0;
        let acquisitions = self.acquisitions;
        let refusals = self.part_refusals.entry(parts.clone()).or_insert(Refusals {
            count: 0,
            first: acquisitions,
            trial_at: now + TRIAL_DELAYS[0],
        });
        refusals.count += 1;
        let requests = acquisitions - refusals.first + 1;
        let is_widespread = refusals.count >= MIN_REFUSALS
            && refusals.count as f64 >= requests as f64 * TRIAL_SHARE;
        let Some(delay) = TRIAL_DELAYS.get(failures) else {
            return false;
        };
        if !is_first || !is_widespread || now < refusals.trial_at {
            return false;
        }
        refusals.trial_at = now + (*delay).max(TRIAL_TIME);
        true
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
        self.update_backlog();
    }

    /// Publishes what differs between the refused parts and those that the store lists.
    pub(super) fn update_backlog(&mut self) {
        let refused: BTreeMap<_, _> = self.crashes.quarantine().collect();
        let is_recorded = |parts: &Combination| self.recorded_parts.contains(parts);
        // A narrower combination replaces a recorded one once it is recorded itself.
        let is_replaced = |parts: &Combination| {
            let mut narrower = refused.keys().filter(|other| other.is_held_by(parts));
            narrower.all(|other| is_recorded(other))
        };
        let unrecorded = refused.iter().filter(|(parts, _)| !is_recorded(parts));
        let recorded = self.recorded_parts.iter();
        let superseded =
            recorded.filter(|parts| !refused.contains_key(*parts) && is_replaced(parts));
        let backlog = Backlog {
            unrecorded: unrecorded
                .map(|(parts, entry)| ((*parts).clone(), entry.crashes))
                .collect(),
            superseded: superseded.cloned().collect(),
            members: self.fleet.members.clone(),
        };
        let is_same = |known: &Backlog| {
            known.unrecorded == backlog.unrecorded && known.superseded == backlog.superseded
        };
        if !is_same(&self.backlog.borrow()) {
            self.backlog.send_replace(Arc::new(backlog));
        }
    }

    /// Refuses parts no longer. Returns whether they were refused.
    pub(super) fn lift_parts(&mut self, parts: &Combination, now: Instant) -> bool {
        let was_refused = self.crashes.lift(parts, now);
        self.part_refusals.remove(parts);
        if was_refused {
            logging::event!(info, "parts_lifted", parts = parts);
        }
        was_refused
    }

    /// The parts that are refused.
    pub(super) fn refused_parts(&self) -> Vec<RefusedParts> {
        let entries = self.crashes.quarantine();
        let refused = entries.map(|(parts, entry)| RefusedParts {
            parts: parts.clone(),
            entry: *entry,
            refusals: self.part_refusals.get(parts).map_or(0, |known| known.count),
            is_recorded: self.recorded_parts.contains(parts),
        });
        refused.collect()
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
