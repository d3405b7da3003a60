//! The stages of a roll-out.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The stage of a roll-out.
///
/// Stages only advance, in the order in which they are declared. Routers that hear of a
/// later stage adopt it, so they agree after any exchange of messages, whatever the order
/// in which these arrive. Rolling back takes precedence over promoting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The new version receives a small share of the requests.
    Canary,
    /// The new version receives all requests, and the old one completes those in flight.
    Promoting,
    /// The old servers are idle and about to stop. The new version is not judged any more.
    Completing,
    /// The new version is faulty and receives no more requests.
    RollingBack,
    /// The store has recorded the rollback.
    RolledBack,
    /// The store has recorded the promotion, and the old servers have stopped.
    Completed,
}

impl Stage {
    /// Whether the new version receives all requests that its servers can take.
    pub const fn is_promoted(self) -> bool {
        matches!(self, Self::Promoting | Self::Completing)
    }

    /// Whether the store has recorded this stage as the end of the roll-out.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }

    /// The name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Canary => "canary",
            Self::Promoting => "promoting",
            Self::Completing => "completing",
            Self::RollingBack => "rolling_back",
            Self::RolledBack => "rolled_back",
            Self::Completed => "completed",
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The state of a roll-out in the store, as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The roll-out has begun.
    InProgress,
    /// The service has moved to the new version.
    Completed,
    /// The service stays with the old version.
    RolledBack,
}

impl State {
    /// The name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }

    /// Whether the state cannot change any more.
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::InProgress)
    }

    /// The first stage of a roll-out that the store lists in this state.
    pub const fn stage(self) -> Stage {
        match self {
            Self::InProgress => Stage::Canary,
            Self::Completed => Stage::Completed,
            Self::RolledBack => Stage::RolledBack,
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
