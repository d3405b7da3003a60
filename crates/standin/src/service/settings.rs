//! Settings of a plain service.

use std::{net::SocketAddr, time::Duration};

use crate::server;

/// How a plain service behaves while no fault is on.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How long a call takes.
    pub call_duration: Duration,
    /// How many calls it runs at once; the others wait.
    pub capacity: u32,
    /// What a crash does.
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
