//! Why streams leave their servers.

use std::fmt;

use super::Excess;
use crate::{pool::Outcome, silence::Cause};

/// Why a stream leaves its server.
pub(super) enum Failure {
    /// The connection broke, or the response ended too early.
    Broken(String),
    /// The server was silent.
    Silent(Cause),
    /// The response has no end in sight.
    Endless(Excess),
}

impl Failure {
    /// The outcome of the attempt. A pause is no failure of the server.
    pub(super) const fn outcome(&self) -> Outcome {
        match self {
            Self::Broken(_) | Self::Silent(Cause::Request) => Outcome::Broken,
            Self::Silent(Cause::Pause) => Outcome::Interrupted,
            Self::Endless(_) => Outcome::Failed,
        }
    }

    /// The outcome of a response that breaks off for its caller.
    pub(super) const fn ending_outcome(&self) -> Outcome {
        match self {
            Self::Endless(_) => Outcome::Failed,
            Self::Broken(_) | Self::Silent(_) => Outcome::Broken,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(reason) => f.write_str(reason),
            Self::Silent(_) => f.write_str("silent"),
            Self::Endless(excess) => write!(f, "{excess} without end"),
        }
    }
}
