//! The status page of the router.

use serde::Serialize;
use units::{availability, backend, host, revision};
use verdict::{Code, Verdict};

/// State of a backend server that this router owns.
#[derive(Clone, Debug, Serialize)]
pub struct Engine {
    /// Name of the server.
    pub name: backend::Server,
    /// Availability zone of the server.
    pub zone: availability::Zone,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Current state of admission control.
    pub state: String,
}

/// A router, as known from heartbeats.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Host of the router.
    pub host: host::Id,
    /// Availability zone of the router.
    pub zone: availability::Zone,
    /// Configuration revision that the router applied.
    pub revision: revision::Id,
    /// Lifecycle phase of the router.
    pub state: String,
}

/// Number of refusals with one code and verdict since the start.
#[derive(Clone, Debug, Serialize)]
pub struct Refusals {
    /// Error code of the refusals.
    pub code: Code,
    /// Whether the refused requests may have run.
    pub verdict: Verdict,
    /// Number of refusals.
    pub count: u64,
}

/// Response body of `/weir/status`.
#[derive(Clone, Debug, Serialize)]
pub struct Page {
    /// Host of this router.
    pub host: host::Id,
    /// Availability zone of this router.
    pub zone: availability::Zone,
    /// Configuration revision that this router applied.
    pub revision: revision::Id,
    /// Whether this router accepts requests from callers.
    pub ready: bool,
    /// The known routers, including this one.
    pub members: Vec<Member>,
    /// The backend servers that this router owns.
    pub engines: Vec<Engine>,
    /// The refusals that this router returned, by kind.
    pub refusals: Vec<Refusals>,
}
