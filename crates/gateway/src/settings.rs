//! Settings of a router without owners.

use std::net::SocketAddr;

use units::{availability, host, time::Millis, workspace};

use crate::retry_budget;

/// The settings of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of its host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where other routers reach it, by UDP and TCP.
    pub peers: SocketAddr,
    /// Where routers that know nothing ask it for the key of the fleet.
    pub introductions: SocketAddr,
    /// Where this router asks for the key while the store is silent.
    pub introducers: Vec<SocketAddr>,
    /// Where its metrics are read.
    pub metrics: SocketAddr,
    /// Who is charged for requests without a key.
    pub anonymous: workspace::Id,
    /// Bounds that are summed over all routers.
    pub bounds: Bounds,
    /// The most connections of callers. Each may need another one to a server.
    pub connections: usize,
    /// Memory for the bodies of requests, in bytes.
    pub body_memory: usize,
    /// How long a stopped process has until it is killed.
    pub grace: Millis,
}

/// Bounds of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The most load of one server, as a multiple of its service's mean, plus three requests.
    pub load_multiple: f64,
    /// What a cold server may get in one second, as a multiple of what it bears.
    pub cold_multiple: f64,
    /// Requests that a cold server may get in one second besides.
    pub cold_extra: f64,
    /// What may be repeated at one service.
    pub retries: retry_budget::Allowance,
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
                window_s: 10,
            },
        }
    }
}
