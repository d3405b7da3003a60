//! The claims of one router.

mod entry;
mod operations;
mod results;

use std::{collections::BTreeMap, time::Duration};

use smallvec::SmallVec;
use units::{host, request, time};
use verdict::{Code, Refusal};

use crate::{
    row::{Bucket, Key, Outcome, State},
    settings::Settings,
};
use entry::{Entry, Goal, Next};

/// A request that asks to be run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The row of its idempotency key.
    pub key: Key,
    /// The attempt, drawn at random for this request by this router.
    pub attempt: request::Attempt,
    /// The request, to notice a key that is used for another one.
    pub fingerprint: request::Fingerprint,
    /// When the caller has to have an answer.
    pub deadline: time::Instant,
    /// The present bucket.
    pub bucket: Bucket,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent until this instant, after [`Ledger::start`].
    Granted {
        /// The last instant.
        send_by: time::Instant,
    },
    /// The request ran before; this is its outcome.
    Recorded(Outcome),
    /// The request is not sent.
    Refused(Refusal),
}

/// A claim that was settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// The attempt that made it.
    pub attempt: request::Attempt,
    /// What became of it.
    pub decision: Decision,
}

/// Claims that were settled by one step.
pub type Resolutions = SmallVec<[Resolution; 4]>;

/// The claims of one router.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    router: host::Id,
    entries: BTreeMap<request::Attempt, Entry>,
    keys: BTreeMap<Key, request::Attempt>,
    /// What is being read or written at present.
    in_flight: Vec<request::Attempt>,
    /// How many claims were made, to serve them in turn.
    claim_count: u64,
    write_interval: Duration,
    next_write_at: time::Instant,
    platform_down_until: time::Instant,
}

impl Ledger {
    /// The ledger of the router that runs on `router`.
    pub fn new(settings: Settings, router: host::Id) -> Self {
        Self {
            write_interval: settings.min_write_interval,
            settings,
            router,
            entries: BTreeMap::new(),
            keys: BTreeMap::new(),
            in_flight: Vec::new(),
            claim_count: 0,
            next_write_at: time::Instant::ZERO,
            platform_down_until: time::Instant::ZERO,
        }
    }

    /// Takes note of how many routers make claims, and so share the table's writes.
    pub fn set_routers(&mut self, routers: usize) {
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * routers / self.settings.writes_per_second.max(1);
        self.write_interval = interval.max(self.settings.min_write_interval);
    }

    /// How many requests are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Enqueues a claim; it is settled later.
    ///
    /// # Errors
    ///
    /// A refusal, given at once: the platform is down, too many requests are
    /// held (both not run), or this router holds a request with the same key
    /// (may have run).
    pub fn claim(&mut self, claim: Claim, now: time::Instant) -> Result<(), Refusal> {
        if now < self.platform_down_until || now >= claim.deadline {
            return Err(self.unavailable_refusal(now));
        }
        let released = match self.keys.get(&claim.key) {
            Some(attempt) => Some(self.take_over_released(*attempt, now)?),
            None => None,
        };
        if self.entries.len() >= self.settings.max_entries {
            let refusal = Refusal::not_run(Code::Busy, "Too many claims are waiting.");
            return Err(refusal.retry_at(now + self.settings.retry_after));
        }
        self.claim_count += 1;
        let entry = match released {
            Some(released) => Entry::taking_over(claim, self.claim_count, released),
            None => Entry::new(claim, self.claim_count, now),
        };
        self.keys
            .insert(entry.claim.key.clone(), entry.claim.attempt);
        self.entries.insert(entry.claim.attempt, entry);
        Ok(())
    }

    /// Takes over the claim of an attempt that was given up and never sent.
    ///
    /// Its row may stand in the table until it is taken back. A caller who was
    /// told to come back would otherwise hear that its request may have run.
    fn take_over_released(
        &mut self,
        attempt: request::Attempt,
        now: time::Instant,
    ) -> Result<Entry, Refusal> {
        let entry = self.entries.get(&attempt);
        if entry.is_some_and(|entry| entry.goal != Goal::Release) {
            return Err(self.running_refusal(now));
        }
        if entry.is_some_and(|entry| entry.next == Next::InFlight) {
            return Err(self.unavailable_refusal(now));
        }
        self.entries
            .remove(&attempt)
            .ok_or_else(|| self.unavailable_refusal(now))
    }

    /// Says whether the request may be sent now; true a single time.
    ///
    /// # Errors
    ///
    /// A refusal (not run) when the claim is not this router's, was used
    /// before, or is too old: an operator may have settled it meanwhile.
    pub fn start(&mut self, attempt: request::Attempt, now: time::Instant) -> Result<(), Refusal> {
        let refusal = self.unavailable_refusal(now);
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return Err(refusal);
        };
        match entry.goal {
            Goal::AwaitSend(send_by) if now < send_by => {
                entry.goal = Goal::AwaitOutcome;
                Ok(())
            }
            Goal::AwaitSend(_) => {
                self.release(attempt);
                Err(refusal)
            }
            _ => Err(refusal),
        }
    }

    /// Records the outcome of a request that was sent, `None` when it is unknown.
    pub fn finish(&mut self, attempt: request::Attempt, outcome: Option<Outcome>) {
        let limit = self.settings.max_body_bytes;
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        if entry.goal != Goal::AwaitOutcome {
            return;
        }
        let state = outcome.map_or(State::Unknown, |outcome| {
            State::Done(without_oversized_body(outcome, limit))
        });
        entry.goal = Goal::Record(state);
        entry.next = Next::Write;
    }

    /// Takes back the claim of a request that was not sent and will not be.
    ///
    /// Nothing happens to one that was sent.
    pub fn release(&mut self, attempt: request::Attempt) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        if entry.goal == Goal::Claim && !entry.claim_may_exist {
            self.remove(attempt);
            return;
        }
        if !matches!(entry.goal, Goal::Claim | Goal::AwaitSend(_)) {
            return;
        }
        entry.goal = Goal::Release;
        if entry.next != Next::InFlight {
            entry.next = if entry.claim_confirmed {
                Next::Write
            } else {
                Next::Read
            };
        }
    }

    /// Takes back the claim of a request that was started, where it is known
    /// for certain that no byte of it reached a backend server.
    ///
    /// Without this, a caller who was told truthfully that its request has not
    /// run, and comes back with the same key, would hear that it may have run.
    pub fn release_unsent(&mut self, attempt: request::Attempt) {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return;
        };
        if entry.goal == Goal::AwaitOutcome {
            entry.goal = Goal::Release;
            entry.next = Next::Write;
        }
    }

    fn remove(&mut self, attempt: request::Attempt) {
        if let Some(entry) = self.entries.remove(&attempt) {
            self.keys.remove(&entry.claim.key);
        }
    }

    fn unavailable_refusal(&self, now: time::Instant) -> Refusal {
        let text = "The request needs a claim, which the platform did not confirm.";
        let retry_at = (now + self.settings.retry_after).max(self.platform_down_until);
        Refusal::not_run(Code::ClaimUnavailable, text).retry_at(retry_at)
    }

    fn running_refusal(&self, now: time::Instant) -> Refusal {
        let text = "A request with this idempotency key is running.";
        Refusal::may_have_run(Code::ClaimTaken, text).retry_at(now + self.settings.retry_after)
    }
}

fn without_oversized_body(outcome: Outcome, limit: usize) -> Outcome {
    Outcome {
        body: outcome.body.filter(|body| body.len() <= limit),
        ..outcome
    }
}
