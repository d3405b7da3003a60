//! Settings of the platform.

use std::{net::SocketAddr, time::Duration};

use crate::server;

/// The behaviour of the platform without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Delay before a change of the host list is visible.
    pub hosts_lag: Duration,
    /// The effect of a crash.
    pub crash: server::Crash,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            hosts_lag: Duration::ZERO,
            crash: server::Crash::Abort,
        }
    }
}
