//! Inputs and results of the admission control of a server.

use smallvec::SmallVec;
use units::{cost::Cost, request, time::Instant, workspace};
use verdict::Refusal;

/// Whether a request is suspected of crashing backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// It has no strike against it.
    #[default]
    Clear,
    /// It has a strike: a server failed while running it. A server runs at most
    /// one such request at a time, so that a request that crashes servers does not
    /// give a harmless one its second strike.
    Suspect,
}

/// An attempt that is offered for admission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The attempt, unique among the tickets of a server.
    pub attempt: request::Attempt,
    /// The workspace that the cost is charged to.
    pub workspace: workspace::Id,
    /// Prompt tokens to compute plus expected output tokens; see [`crate::OutputLengths`].
    pub cost: Cost,
    /// Priority among the tickets of its workspace.
    pub priority: request::Priority,
    /// Whether it is suspected of crashing servers.
    pub standing: Standing,
    /// Deadline of the caller.
    pub deadline: Instant,
}

/// Result for an offered ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request now.
    Admitted,
    /// The ticket is queued; an [`Action`] for its attempt follows.
    Queued,
    /// The request has not run and will not run under this attempt.
    Refused(Refusal),
}

/// Result of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offered {
    /// Decision on the offered ticket.
    pub decision: Decision,
    /// Actions for tickets queued earlier.
    pub others: Actions,
}

/// What the owner has to do for a queued ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request of this attempt now.
    Admit(request::Attempt),
    /// Respond with the refusal now. The request has not run.
    Refuse(request::Attempt, Refusal),
}

/// Actions, in the order in which the owner carries them out.
pub type Actions = SmallVec<[Action; 4]>;

/// How an admitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Completed {
        /// When the first token, or the head of the response, arrived.
        first_token_at: Instant,
        /// When the last byte arrived.
        ended_at: Instant,
    },
    /// The server failed: no connection, a truncated response or a server error.
    Failed,
    /// The caller cancelled the request. This is no evidence about the server.
    Cancelled,
}

/// A load report of the server. Its values are up to `report_lag` old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Boot id, which changes with each start of the server.
    pub boot: u64,
    /// Sequence number, which grows with each report of one boot.
    pub seq: u64,
    /// Requests that the server runs, from all routers.
    pub running: u32,
    /// Requests queued inside the server.
    pub waiting: u32,
    /// Maximum concurrent requests of the server; zero if not reported.
    pub capacity: u32,
}

/// Upper bound on the load of the server, derived from the mean load of its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Maximum requests in flight; at least one is always allowed. `None`: no bound.
    pub requests: Option<u32>,
    /// Maximum cost in flight; one request is always allowed, whatever its cost.
    /// `None`: no bound.
    pub cost: Option<Cost>,
}

/// State that an earlier owner passes to the next one after it has stopped
/// admitting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Concurrency limit of the earlier owner.
    pub limit: u32,
    /// Requests of the earlier owner that still run on the server.
    pub in_flight: u32,
}

/// State of the admission control of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Slow start: the limit grows from one after a start or a detected restart.
    Cold,
    /// The limit follows the latency of first tokens.
    Warm,
    /// First tokens are slow, so the server may have turned cold. At most one
    /// request at a time is admitted as a probe, until a first token arrives in time
    /// or the delay confirms that the server is cold.
    Doubt,
    /// An earlier owner may still admit requests; this one uses a small share.
    Takeover,
    /// The server is drained or out of service; nothing is admitted.
    Stopped,
}

/// Values for the status page and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// State of the admission control.
    pub state: State,
    /// Admitted attempts that have not finished.
    pub in_flight: u32,
    /// Cost of the attempts in flight.
    pub in_flight_cost: Cost,
    /// Requests of other routers, according to the server's load reports.
    pub foreign: u32,
    /// Maximum requests currently allowed, by limit and bound.
    pub limit: u32,
    /// Queued tickets.
    pub queued: u32,
    /// Cost of the queued tickets.
    pub queued_cost: Cost,
}
