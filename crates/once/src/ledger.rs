//! The state machine of the claims of one router.

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

/// The claim of a request that has to run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The key of the row of its idempotency key.
    pub key: Key,
    /// The attempt, drawn at random for this request by this router.
    pub attempt: request::Attempt,
    /// The fingerprint of the request, to detect a key that is reused for another one.
    pub fingerprint: request::Fingerprint,
    /// The deadline of the request.
    pub deadline: time::Instant,
    /// The current bucket.
    pub bucket: Bucket,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent until `send_by`, after [`Ledger::start`] returned `Ok`.
    Granted {
        /// The instant from which the request may no longer be sent.
        send_by: time::Instant,
    },
    /// The request has already run with this outcome.
    Recorded(Outcome),
    /// The request must not be sent.
    Refused(Refusal),
}

/// A claim that has been decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// The attempt that made the claim.
    pub attempt: request::Attempt,
    /// The decision on the claim.
    pub decision: Decision,
}

/// The claims that were decided by one call.
pub type Resolutions = SmallVec<[Resolution; 4]>;

/// The claims of one router, from the request until its outcome is recorded.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    router: host::Id,
    entries: BTreeMap<request::Attempt, Entry>,
    keys: BTreeMap<Key, request::Attempt>,
    /// The attempts whose rows are being read or written.
    in_flight: Vec<request::Attempt>,
    /// The number of claims made so far; gives each claim its place in the queue.
    claim_count: u64,
    write_interval: Duration,
    next_write_at: time::Instant,
    platform_down_until: time::Instant,
}

impl Ledger {
    /// Creates the ledger of the router on the host `router`.
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

    /// Sets the number of routers that share the write rate of the table.
    pub fn set_routers(&mut self, routers: usize) {
        let routers = u32::try_from(routers.max(1)).unwrap_or(u32::MAX);
        let interval = Duration::from_secs(1) * routers / self.settings.writes_per_second.max(1);
        self.write_interval = interval.max(self.settings.min_write_interval);
    }

    /// The number of requests that the ledger holds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger holds no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Enqueues a claim, which is decided by a later call.
    ///
    /// # Errors
    ///
    /// An immediate refusal: the platform is down, the ledger is full, or the
    /// deadline has passed (not run), or this router holds a request with the
    /// same key (not run while its release is being written, else may have run).
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

    /// Takes over the entry of an attempt that is being released and was never sent.
    ///
    /// Its row may remain in the table until the release is written. A caller
    /// that retries as it was asked to would otherwise get the refusal that its
    /// request may have run.
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

    /// Starts sending the request. Succeeds only once per attempt.
    ///
    /// # Errors
    ///
    /// A refusal (not run) when this router does not hold the claim, when the
    /// request was started before, or when [`Settings::send_timeout`] has
    /// passed: an operator may have resolved the claim in the meantime.
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

    /// Records the outcome of a request that was sent; `None` when it is unknown.
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

    /// Releases the claim of a request that was not sent and will not be.
    ///
    /// Does nothing for a request that was started.
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

    /// Releases the claim of a request that was started but of which, for
    /// certain, no byte reached a backend server.
    ///
    /// Without this, a caller that was refused as not run and retries with the
    /// same key would get the refusal that the request may have run.
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
