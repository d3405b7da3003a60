//! One request of a ledger.

use units::{host, request, revision, time};

use super::Claim;
use crate::row::{Row, State};

/// What an entry wants to have in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Goal {
    /// The claim.
    Claim,
    /// Nothing more for now: the request may be sent until the instant.
    AwaitSend(time::Instant),
    /// Nothing more for now: the request was sent.
    AwaitOutcome,
    /// The outcome.
    Record(State),
    /// That the claim is given back; the request was not sent and never will be.
    Release,
}

/// What has to be done for an entry next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    Idle,
    Write,
    Read,
    /// It is part of the outstanding work.
    InFlight,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) claim: Claim,
    /// The attempt that the row names: this one, or one that was given up unsent.
    pub(super) row_attempt: request::Attempt,
    pub(super) sequence: u64,
    pub(super) goal: Goal,
    pub(super) next: Next,
    /// The generation of the row, zero when it is absent.
    pub(super) generation: revision::Generation,
    /// Whether a write of the claim may have taken effect, or may still do so.
    pub(super) claim_may_exist: bool,
    /// Whether the claim was seen to stand.
    pub(super) claim_confirmed: bool,
    /// Whether the outstanding write gives the claim back, rather than makes it.
    pub(super) write_releases: bool,
    /// Not before this instant is anything done for the entry.
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

    /// An entry that takes over the row of one that was given up unsent.
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

    /// The row that the entry wants to have in the table.
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

    /// When the entry has to be settled at the latest.
    pub(super) fn deadline(&self) -> time::Instant {
        match self.goal {
            Goal::Claim => self.claim.deadline,
            Goal::AwaitSend(send_by) => send_by,
            _ => time::Instant::NEVER,
        }
    }
}
