//! What the owner tells a server's admission, and what it is told.

use smallvec::SmallVec;
use units::{cost::Cost, request, time::Instant, workspace};
use verdict::Refusal;

/// Whether a request is suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has no strike.
    #[default]
    Clear,
    /// It has a strike. A server runs at most one such request at a time, so
    /// that the one that crashes servers does not give an innocent one its
    /// second strike.
    Suspect,
}

/// One attempt that asks to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The attempt, unique among the tickets of a server.
    pub attempt: request::Attempt,
    /// The workspace that it is charged to.
    pub workspace: workspace::Id,
    /// Prompt tokens to compute plus output tokens expected; see [`crate::OutputLengths`].
    pub cost: Cost,
    /// Its urgency among the tickets of its workspace.
    pub priority: request::Priority,
    /// Whether it is suspected of crashing servers.
    pub standing: Standing,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// What became of an offered ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Admitted,
    /// It waits; an [`Action`] for its attempt follows.
    Queued,
    /// It has not run and never will under this attempt.
    Refused(Refusal),
}

/// The answer to an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offered {
    /// What became of the offered ticket.
    pub decision: Decision,
    /// What became of tickets queued earlier.
    pub others: Actions,
}

/// What the owner has to do for a ticket that was queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request of this attempt now.
    Admit(request::Attempt),
    /// Answer with the refusal now. The request has not run.
    Refuse(request::Attempt, Refusal),
}

/// Actions in the order in which they are to be carried out.
pub type Actions = SmallVec<[Action; 4]>;

/// How an admitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Completed {
        /// When the first token, or the head of the answer, arrived.
        first_token_at: Instant,
        /// When the last byte arrived.
        ended_at: Instant,
    },
    /// The server failed: no connection, a broken answer or a server error.
    Failed,
    /// The caller left. It tells nothing about the server.
    Cancelled,
}

/// A load report of the server, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Differs after each start of the server.
    pub boot: u64,
    /// Grows with each report of one boot.
    pub seq: u64,
    /// Requests that it runs, of all routers.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// The most requests that it runs at once. Zero: it does not say.
    pub capacity: u32,
}

/// The most that the server may carry by the mean load of its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Requests; at least one is always allowed. Unset: no bound.
    pub requests: Option<u32>,
    /// Cost; one request is always allowed, whatever it costs. Unset: no bound.
    pub cost: Option<Cost>,
}

/// What the earlier owner passes on when it has stopped admitting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The limit that it had learned.
    pub limit: u32,
    /// Its requests that still run on the server.
    pub in_flight: u32,
}

/// What a server's admission does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Its limit grows from one after a start or a detected restart.
    Cold,
    /// Its limit follows the latency.
    Warm,
    /// A first token is overdue. Nothing is admitted until it arrives or shows
    /// that the server turned cold.
    Doubt,
    /// An earlier owner may still admit; only a small share is used.
    Takeover,
    /// It is drained or out and admits nothing.
    Stopped,
}

/// Figures for the status page and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// What admission does at present.
    pub state: State,
    /// Attempts admitted and not finished.
    pub in_flight: u32,
    /// Their cost.
    pub in_flight_cost: Cost,
    /// Requests of others that the server reports.
    pub foreign: u32,
    /// The most requests allowed at present, by limit and bound.
    pub limit: u32,
    /// Tickets that wait.
    pub queued: u32,
    /// Their cost.
    pub queued_cost: Cost,
}
