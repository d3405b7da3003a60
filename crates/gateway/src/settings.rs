//! The settings of a router.

use std::{net::SocketAddr, time::Duration};

use units::{availability, host, time::Millis, workspace};

use crate::retry_budget;

/// The settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the host that the router runs on.
    pub host: host::Id,
    /// The availability zone of the router.
    pub zone: availability::Zone,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address on which the load balancer probes readiness.
    pub readiness: SocketAddr,
    /// The address on which other routers connect, by UDP and TCP.
    pub peers: SocketAddr,
    /// The address on which other routers open tunnels to backend servers.
    pub tunnels: SocketAddr,
    /// The address on which routers without any state request the fleet key.
    pub introductions: SocketAddr,
    /// The addresses from which this router requests the fleet key while the store is
    /// unavailable.
    pub introducers: Vec<SocketAddr>,
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// The workspace charged for requests without an API key.
    pub anonymous: workspace::Id,
    /// The limits that apply to all routers together.
    pub bounds: Bounds,
    /// The maximum number of callers' connections. Each may require a second connection, to
    /// a server.
    pub connections: usize,
    /// The maximum number of tunnels that this router carries for others. Each requires two
    /// connections.
    pub max_tunnels: usize,
    /// The memory for request bodies, in bytes.
    pub body_memory: usize,
    /// The memory for parts of responses that are held for callers that read slowly, in bytes.
    pub held_memory: usize,
    /// The memory that the kernel may hold of what callers have sent, in bytes, and as much again of
    /// what is to be sent to them.
    pub socket_memory: usize,
    /// The most bytes of an event that are held back until it is complete. A stream with a longer
    /// one is forwarded as it arrives from then on, and no longer continued at another server.
    pub max_event_bytes: usize,
    /// The grace period between the termination signal and the kill signal.
    pub grace: Millis,
}

/// The limits of the deployment, each over all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The maximum load of a server, as a multiple of the mean over its service, plus three
    /// requests.
    pub load_multiple: f64,
    /// The maximum number of requests to a cold server per second, as a multiple of the
    /// rate that it can handle.
    pub cold_multiple: f64,
    /// Additional requests that a cold server may receive per second.
    pub cold_extra: f64,
    /// The retries that one service may receive.
    pub retries: retry_budget::Allowance,
    /// The bounds of roll-outs; `None` if the versions of servers are of no significance.
    pub rollouts: Option<rollout::Settings>,
    /// Whether callers compete for scarce capacity, so that requests are scheduled by urgency
    /// over the whole fleet and memory is accounted for.
    pub is_contended: bool,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            load_multiple: 2.0,
            cold_multiple: 1.0,
            cold_extra: 0.0,
            retries: retry_budget::Allowance {
                ratio: 0.1,
                burst: 0.0,
                window: Duration::from_secs(10),
            },
            rollouts: None,
            is_contended: false,
        }
    }
}
