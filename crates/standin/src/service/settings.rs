//! Settings of a plain service.

use std::{net::SocketAddr, time::Duration};

use crate::server;

/// The behaviour of a plain service without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Duration of a call.
    pub call_duration: Duration,
    /// Maximum number of concurrent calls; the others are queued.
    pub capacity: u32,
    /// The effect of a crash.
    pub crash: server::Crash,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_duration: Duration::from_millis(2),
            capacity: 32,
            crash: server::Crash::Abort,
        }
    }
}
