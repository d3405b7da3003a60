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
    /// The router does not know which versions of services are on record, and may take a new one for the
    /// one in service.
    NoRecords,
    /// The router can serve requests.
    Ready,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoConfiguration => "no configuration",
            Self::NoServers => "no servers",
            Self::NoRecords => "no records of versions",
            Self::Ready => "ready",
        })
    }
}
