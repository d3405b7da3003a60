//! The state of one request in a ledger.

use units::{host, request, revision, time};

use super::Claim;
use crate::row::{Row, State};

/// The state of the row that an entry is to reach in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Goal {
    /// The claim has to be written.
    Claim,
    /// The claim is written; the request may be sent until this instant.
    AwaitSend(time::Instant),
    /// The request was started; its outcome is awaited.
    AwaitOutcome,
    /// The outcome has to be written.
    Record(State),
    /// The release of the claim has to be written; the request was not sent and never will be.
    Release,
}

/// The next operation for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Idle,
    Write,
    Read,
    /// The entry is part of the operation in flight.
    InFlight,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) claim: Claim,
    /// The attempt that the row names: this one, or an earlier one that was released unsent.
    pub(super) row_attempt: request::Attempt,
    pub(super) sequence: u64,
    pub(super) goal: Goal,
    pub(super) next: Next,
    /// The generation of the row, zero when the row is absent.
    pub(super) generation: revision::Generation,
    /// Whether a write of the claim may have taken effect or may still do so.
    pub(super) claim_may_exist: bool,
    /// Whether the claim is known to be in the table.
    pub(super) claim_confirmed: bool,
    /// Whether the write in flight releases the claim rather than makes it.
    pub(super) write_releases: bool,
    /// The earliest instant of the next operation for the entry.
    pub(super) not_before: time::Instant,
}

impl Entry {
    pub(super) fn new(claim: Claim, sequence: u64, now: time::Instant) -> Self {
        Self {
            row_attempt: claim.attempt,
            claim,
            sequence,
            goal: Goal::Claim,
            next: Next::Write,
            generation: revision::Generation::default(),
            claim_may_exist: false,
            claim_confirmed: false,
            write_releases: false,
            not_before: now,
        }
    }

    /// Creates an entry that takes over the row of an entry that was released unsent.
    pub(super) fn taking_over(claim: Claim, sequence: u64, released: Self) -> Self {
        Self {
            claim,
            sequence,
            goal: Goal::Claim,
            next: Next::Read,
            claim_confirmed: false,
            write_releases: false,
            ..released
        }
    }

    /// The row to write for the entry.
    pub(super) fn row(&self, router: &host::Id) -> Row {
        let state = match &self.goal {
            Goal::Record(state) => state.clone(),
            Goal::Release => State::Released,
            Goal::Claim | Goal::AwaitSend(_) | Goal::AwaitOutcome => State::Claimed,
        };
        Row {
            attempt: self.row_attempt,
            router: router.clone(),
            fingerprint: self.claim.fingerprint,
            bucket: self.claim.bucket,
            state,
        }
    }

    /// The deadline after which [`crate::Ledger::expire`] abandons the entry.
    pub(super) fn deadline(&self) -> time::Instant {
        match self.goal {
            Goal::Claim => self.claim.deadline,
            Goal::AwaitSend(send_by) => send_by,
            _ => time::Instant::NEVER,
        }
    }
}
