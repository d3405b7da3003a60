//! What a ledger makes of the table's answers.

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
    /// Takes in how the outstanding write ended.
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
                // The claim was given up while it was being written.
                Goal::Release if !entry.write_releases => self.confirm(*attempt, *generation),
                _ => self.remove(*attempt),
            }
        }
    }

    /// The claim is known to stand: the request may be sent, by nobody else.
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

    /// Nothing was written: the rows in conflict are read, the others written again.
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

    /// The platform is down: claims are refused at once, the rest is tried again later.
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

    /// What was written is not known: only the rows tell.
    fn schedule_reads(&mut self, attempts: &[request::Attempt], now: time::Instant) {
        for attempt in attempts {
            if let Some(entry) = self.entries.get_mut(attempt) {
                entry.next = Next::Read;
                entry.not_before = self.platform_down_until.max(now);
            }
        }
    }

    /// Takes in the rows that were read, in the order asked for; `None` when
    /// they could not be read.
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

    /// The row is absent: a lost write did not take effect yet.
    ///
    /// A claim is written again under the same attempt. Should the lost write
    /// arrive late, one of the two meets the other and changes nothing, and
    /// the row names this attempt either way. For a claim that was given up,
    /// the row is written as released, so that a late write fails on it.
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
            // The outcome was written, or an operator settled the claim.
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
            // A release is written again too: a lost write of this attempt may
            // arrive late, and fails on the row's new generation.
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

    /// What a caller is told whose key another attempt has claimed.
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

    /// Refuses what cannot be settled by its deadline, and takes back what was
    /// granted and not sent in time.
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

    /// Refuses a claim that is not settled. It is never granted afterwards, so
    /// "not run" is true even if the claim turns out to stand.
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
