//! Prompt parts under which servers crash, as far as this router and others know.

use std::collections::BTreeMap;

use recovery::{
    Crash,
    quarantine::{self, Combination, Entry, Sighting},
};
use units::{request::Part, time::Instant};

use super::{Candidate, MAX_PUSHED, Request, Tracker};

impl Tracker {
    /// The parts because of which a request is refused, if they have crashed several servers.
    pub fn refused_parts(&self, request: &Request) -> Option<&Combination> {
        self.quarantine.refusal(&request.chain())
    }

    /// The number of crashes under refused parts since it was decided to refuse them.
    pub fn crashes_since_refused(&self, parts: &Combination) -> usize {
        self.quarantine.crashes_since(parts)
    }

    /// The combinations of parts that are refused.
    pub fn quarantine(&self) -> impl Iterator<Item = (&Combination, &Entry)> {
        self.quarantine.entries()
    }

    /// Records that a server has written the whole response to a request, which clears the parts
    /// of its prompt on all routers.
    pub fn record_written(&mut self, request: &Request, now: Instant) {
        let own = [Part(request.fingerprint.0)];
        self.quarantine.record_completed(&own, now);
        for part in self.quarantine.record_completed(&request.parts, now) {
            self.push_part_evidence(
                quarantine::Evidence::Completion {
                    part,
                    at: now.into(),
                },
                now,
            );
        }
    }

    /// Sends evidence on parts to other routers.
    fn push_part_evidence(&mut self, evidence: quarantine::Evidence, now: Instant) {
        self.outbox.push(evidence, now);
        self.has_news |= self.outbox.len() <= MAX_PUSHED;
    }

    /// Records the parts of a request that was in flight at a crash.
    pub(super) fn sight(&mut self, candidate: &Candidate, crash: Crash, now: Instant) {
        let request = &candidate.request;
        let sightings = Sighting::of_request(
            request.fingerprint,
            &request.parts,
            crash,
            candidate.interval,
        );
        for sighting in sightings {
            if self.quarantine.record_sighting(sighting.clone(), now) {
                self.push_part_evidence(quarantine::Evidence::Sighting(sighting), now);
            }
        }
        self.excuse_crashes();
    }

    /// Lets crashes that refused parts have caused, and those that were pauses, count against no
    /// request.
    pub(super) fn excuse_crashes(&mut self) {
        let mut crashes = self.quarantine.explained_crashes();
        crashes.extend(self.deaths.pauses());
        self.suspects.excuse(crashes);
    }

    /// Decides which parts are refused. Returns those that are refused from now on.
    pub fn decide(&mut self, now: Instant) -> Vec<(Combination, Entry)> {
        if self.quarantine.next_decision().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.quarantine
            .set_crashing_requests(self.suspects.refused_crashes(now));
        let found = self.quarantine.decide(now);
        let entries: BTreeMap<&Combination, &Entry> = self.quarantine.entries().collect();
        let found: Vec<_> = found
            .into_iter()
            .filter_map(|parts| {
                let entry = **entries.get(&parts)?;
                Some((parts, entry))
            })
            .collect();
        for (parts, entry) in &found {
            self.announce_refused(parts, entry, now);
        }
        found
    }

    fn announce_refused(&mut self, parts: &Combination, entry: &Entry, now: Instant) {
        let evidence = quarantine::Evidence::Refused {
            parts: parts.clone(),
            crashes: entry.crashes,
            last_crash_at: entry.last_crash_at,
        };
        self.outbox.push(evidence, now);
        self.has_news = true;
        self.excuse_crashes();
    }

    /// When [`Tracker::decide`] is to be called.
    pub fn next_decision(&self) -> Option<Instant> {
        self.quarantine.next_decision()
    }

    /// Refuses parts that another router has recorded in the store. Returns whether they were
    /// not refused before.
    pub fn adopt(&mut self, parts: &Combination, crashes: u32, now: Instant) -> bool {
        let entry = Entry::new(crashes, now.into());
        let is_new = self.quarantine.refuse(parts.clone(), entry);
        if is_new {
            self.has_news = true;
            self.excuse_crashes();
        }
        is_new
    }

    /// Refuses parts no longer, on all routers. Returns whether they were refused.
    pub fn lift(&mut self, parts: &Combination, now: Instant) -> bool {
        let was_refused = self.quarantine.lift(parts, now.into());
        if was_refused {
            let evidence = quarantine::Evidence::Lifted {
                parts: parts.clone(),
                at: now.into(),
            };
            self.outbox.push(evidence, now);
            self.has_news = true;
            self.excuse_crashes();
        }
        was_refused
    }

    /// Merges what another router knows of parts. Returns the parts that are refused from now on,
    /// with the number of crashes.
    pub fn merge_parts(
        &mut self,
        reports: Vec<quarantine::Report>,
        now: Instant,
    ) -> Vec<(Combination, u32)> {
        let mut refused = Vec::new();
        for report in reports {
            let evidence = report.evidence(now);
            if !self.quarantine.apply(&evidence, now) {
                continue;
            }
            if let quarantine::Evidence::Refused { parts, crashes, .. } = &evidence {
                refused.push((parts.clone(), *crashes));
            }
            if let quarantine::Evidence::Sighting(sighting) = &evidence {
                self.clear_parts(sighting, now);
            }
            self.push_part_evidence(evidence, now);
        }
        self.excuse_crashes();
        refused
    }

    /// Tells other routers of the parts that requests of this router have cleared since a crash
    /// that has become known now.
    fn clear_parts(&mut self, sighting: &Sighting, now: Instant) {
        let completions: Vec<_> = self.quarantine.completions_after(sighting).collect();
        for (part, at) in completions {
            if !self.outbox.clears(part) {
                self.push_part_evidence(quarantine::Evidence::Completion { part, at }, now);
            }
        }
    }

    /// What to send to other routers on parts.
    pub fn part_reports(&mut self, now: Instant) -> Vec<quarantine::Report> {
        self.outbox.reports(&self.quarantine, now)
    }
}
