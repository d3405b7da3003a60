//! Errors of calls to the platform.

use std::{error, fmt};

use serde::{Deserialize, Serialize};
use units::revision;

/// A row whose generation differs from the one that a transaction required.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The key of the row.
    pub key: String,
    /// The current generation of the row, zero when it is absent.
    pub generation: revision::Generation,
}

/// Why a call to the platform failed, and whether it took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call did not take effect: it was not sent, or the platform responded that it is unavailable.
    NotRun(String),
    /// The call was sent and its response was lost. A write may have taken
    /// effect; only a read can show whether it has.
    MayHaveRun(String),
    /// A condition of the write did not hold; nothing was written.
    Conflict(Vec<Conflict>),
    /// The platform refused the call as malformed; a retry does not help.
    Rejected(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(f, "unavailable, not run: {reason}"),
            Self::MayHaveRun(reason) => write!(f, "answer lost, may have run: {reason}"),
            Self::Conflict(rows) => {
                f.write_str("condition failed:")?;
                for row in rows {
                    write!(f, " {} is at generation {}", row.key, row.generation)?;
                }
                Ok(())
            }
            Self::Rejected(reason) => write!(f, "rejected: {reason}"),
        }
    }
}

impl error::Error for Error {}
