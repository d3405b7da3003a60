//! Why streams leave their servers.

use std::fmt;

use crate::{pool::Outcome, silence::Cause};

/// Why a stream leaves its server.
pub(super) enum Failure {
    /// The connection broke, or the response ended too early.
    Broken(String),
    /// The server was silent.
    Silent(Cause),
}

impl Failure {
    /// The outcome of the attempt. A pause is no failure of the server.
    pub(super) const fn outcome(&self) -> Outcome {
        match self {
            Self::Broken(_) | Self::Silent(Cause::Request) => Outcome::Broken,
            Self::Silent(Cause::Pause) => Outcome::Interrupted,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => f.write_str(reason),
            Self::Silent(_) => f.write_str("silent"),
        }
    }
}
