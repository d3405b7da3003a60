//! The readiness of a router.

use std::fmt;

/// Whether a router can serve requests, and if not, what is missing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The router has no configuration.
    #[default]
    NoConfiguration,
    /// The router knows no backend server.
    NoServers,
    /// The router can serve requests.
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
