//! Handling of the results of table operations.

use units::{request, revision, time};
use verdict::{Code, Refusal};

use super::{
    Claim, Decision, Ledger, Resolution, Resolutions,
    entry::{Goal, Next},
};
use crate::{
    batch::{Stored, WriteResult},
    row::{Key, Row, State},
};

impl Ledger {
    /// Handles the result of the write in flight.
    pub fn handle_write(&mut self, result: WriteResult, now: time::Instant) -> Resolutions {
        let attempts = std::mem::take(&mut self.in_flight);
        let mut resolutions = Resolutions::new();
        match result {
            WriteResult::Committed(generations) => {
                self.handle_commit(&attempts, &generations, now, &mut resolutions)
            }
            WriteResult::Conflict(keys) => self.handle_conflict(&attempts, &keys, now),
            WriteResult::NotRun => self.handle_not_run(&attempts, now, &mut resolutions),
            WriteResult::MayHaveRun => self.schedule_reads(&attempts, now),
        }
        resolutions
    }

    fn handle_commit(
        &mut self,
        attempts: &[request::Attempt],
        generations: &[revision::Generation],
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        for (attempt, generation) in attempts.iter().zip(generations) {
            let Some(entry) = self.entries.get(attempt) else {
                continue;
            };
            match entry.goal {
                Goal::Claim => self.grant(*attempt, *generation, now, resolutions),
                // The claim was abandoned while it was being written.
                Goal::Release if !entry.write_releases => self.confirm(*attempt, *generation),
                _ => self.remove(*attempt),
            }
        }
    }

    /// The claim is confirmed: only this router may send the request.
    fn grant(
        &mut self,
        attempt: request::Attempt,
        generation: revision::Generation,
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        self.confirm(attempt, generation);
        let send_by = now + self.settings.send_timeout;
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.goal = Goal::AwaitSend(send_by);
            entry.next = Next::Idle;
            resolutions.push(Resolution {
                attempt,
                decision: Decision::Granted { send_by },
            });
        }
    }

    fn confirm(&mut self, attempt: request::Attempt, generation: revision::Generation) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.generation = generation;
            entry.claim_confirmed = true;
            entry.next = Next::Write;
        }
    }

    /// Handles a conflict: reads the rows in conflict and retries the others.
    fn handle_conflict(&mut self, attempts: &[request::Attempt], keys: &[Key], now: time::Instant) {
        for attempt in attempts {
            let Some(entry) = self.entries.get_mut(attempt) else {
                continue;
            };
            let is_abandoned = entry.goal == Goal::Release && !entry.write_releases;
            let in_conflict = keys.is_empty() || keys.contains(&entry.claim.key);
            entry.next = if in_conflict || is_abandoned {
                Next::Read
            } else {
                Next::Write
            };
        }
        self.next_write_at = now;
    }

    /// Handles an unavailable platform: refuses all pending claims and retries the rest later.
    fn handle_not_run(
        &mut self,
        attempts: &[request::Attempt],
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        self.platform_down_until = now + self.settings.down_period;
        self.schedule_reads(attempts, now);
        let pending = self.entries.values().filter(|e| e.goal == Goal::Claim);
        let pending: Vec<request::Attempt> = pending.map(|entry| entry.claim.attempt).collect();
        for attempt in pending {
            self.abandon(attempt, now, resolutions);
        }
    }

    /// Schedules reads of the rows, since it is unknown what was written.
    fn schedule_reads(&mut self, attempts: &[request::Attempt], now: time::Instant) {
        for attempt in attempts {
            if let Some(entry) = self.entries.get_mut(attempt) {
                entry.next = Next::Read;
                entry.not_before = self.platform_down_until.max(now);
            }
        }
    }

    /// Handles the rows that were read, in the order of the requested keys;
    /// `None` when the read failed.
    pub fn handle_read(
        &mut self,
        rows: Option<Vec<Option<Stored>>>,
        now: time::Instant,
    ) -> Resolutions {
        let attempts = std::mem::take(&mut self.in_flight);
        let mut resolutions = Resolutions::new();
        let Some(rows) = rows else {
            self.platform_down_until = now + self.settings.down_period;
            self.schedule_reads(&attempts, now);
            return resolutions;
        };
        for (attempt, stored) in attempts.into_iter().zip(rows) {
            self.handle_row(attempt, stored, now, &mut resolutions);
        }
        resolutions
    }

    fn handle_row(
        &mut self,
        attempt: request::Attempt,
        stored: Option<Stored>,
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        let row_attempt = self.entries.get(&attempt).map(|entry| entry.row_attempt);
        match stored {
            None => self.handle_absent_row(attempt),
            Some(stored) if Some(stored.row.attempt) == row_attempt => {
                self.handle_own_row(attempt, &stored, now, resolutions);
            }
            Some(stored) => self.handle_other_row(attempt, &stored, now, resolutions),
        }
    }

    /// Handles an absent row: the write in doubt has not taken effect yet.
    ///
    /// A claim is written again under the same attempt. If the first write
    /// arrives late, whichever of the two is second fails its check, and the row
    /// names this attempt either way. For an abandoned claim, the row is written
    /// as released, so that a delayed write of the claim fails its check.
    fn handle_absent_row(&mut self, attempt: request::Attempt) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        entry.generation = revision::Generation::default();
        match entry.goal {
            Goal::Claim | Goal::Release => entry.next = Next::Write,
            _ => self.remove(attempt),
        }
    }

    fn handle_own_row(
        &mut self,
        attempt: request::Attempt,
        stored: &Stored,
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        let goal = self.entries.get(&attempt).map(|entry| &entry.goal);
        match goal {
            Some(Goal::Claim) if stored.row.state == State::Claimed => {
                self.grant(attempt, stored.generation, now, resolutions);
            }
            Some(Goal::Release | Goal::Record(_)) if stored.row.state == State::Claimed => {
                self.confirm(attempt, stored.generation);
            }
            // The outcome was written, or an operator resolved the claim.
            Some(Goal::Claim) => self.handle_other_row(attempt, stored, now, resolutions),
            _ => self.remove(attempt),
        }
    }

    fn handle_other_row(
        &mut self,
        attempt: request::Attempt,
        stored: &Stored,
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        let is_wanted = matches!(entry.goal, Goal::Claim | Goal::Release);
        if is_wanted && stored.row.state == State::Released {
            // A release is rewritten too: it gives the row a new generation, on
            // which a delayed write of this attempt fails.
            entry.row_attempt = attempt;
            entry.generation = stored.generation;
            entry.next = Next::Write;
            return;
        }
        let entry = &self.entries[&attempt];
        if entry.goal == Goal::Claim {
            let decision = self.decision_for_existing_claim(&entry.claim, &stored.row, now);
            resolutions.push(Resolution { attempt, decision });
        }
        self.remove(attempt);
    }

    /// The decision on a claim whose key another attempt has claimed.
    fn decision_for_existing_claim(
        &self,
        claim: &Claim,
        row: &Row,
        now: time::Instant,
    ) -> Decision {
        if row.fingerprint != claim.fingerprint {
            let text = "The idempotency key was used for another request.";
            return Decision::Refused(Refusal::not_run(Code::Malformed, text));
        }
        match &row.state {
            State::Done(outcome) => Decision::Recorded(outcome.clone()),
            State::Claimed if row.bucket.0 + 1 >= claim.bucket.0 => {
                Decision::Refused(self.running_refusal(now))
            }
            State::Claimed | State::Released | State::Unknown => {
                let text = "The request may have run; its outcome is unknown.";
                Decision::Refused(Refusal::may_have_run(Code::ClaimTaken, text))
            }
        }
    }

    /// Refuses the claims that were not decided by their deadline, and releases
    /// those that were granted and not started in time.
    pub fn expire(&mut self, now: time::Instant) -> Resolutions {
        let entries = self.entries.values();
        let expired = entries.filter(|entry| entry.deadline() <= now);
        let attempts: Vec<request::Attempt> = expired.map(|entry| entry.claim.attempt).collect();
        let mut resolutions = Resolutions::new();
        for attempt in attempts {
            self.abandon(attempt, now, &mut resolutions);
        }
        resolutions
    }

    /// Refuses a claim that is not decided yet, and releases it. It is never granted
    /// afterwards, so "not run" holds even if the claim turns out to be in the table.
    fn abandon(
        &mut self,
        attempt: request::Attempt,
        now: time::Instant,
        resolutions: &mut Resolutions,
    ) {
        let goal = self.entries.get(&attempt).map(|entry| &entry.goal);
        if goal == Some(&Goal::Claim) {
            resolutions.push(Resolution {
                attempt,
                decision: Decision::Refused(self.unavailable_refusal(now)),
            });
        }
        self.release(attempt);
    }
}
