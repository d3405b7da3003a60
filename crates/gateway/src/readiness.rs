//! Whether a router can serve.

use std::fmt;

/// What a router still misses to serve requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It knows no configuration.
    #[default]
    NoConfiguration,
    /// It knows no backend server.
    NoServers,
    /// It can serve.
    Ready,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoConfiguration => "no configuration",
            Self::NoServers => "no servers",
            Self::Ready => "ready",
        })
    }
}
