//! The row of the table that holds a lease.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};
use units::{host, revision};

/// A fencing token: each new holder of a lease gets a higher one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Fence {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// The value of the lease's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The host of the holder; informational, for operators.
    pub holder: host::Id,
    /// A random number that identifies the process that acquired the lease.
    #[serde(rename = "token")]
    pub nonce: u64,
    /// The fencing token of the holder.
    pub fence: Fence,
    /// How often the holder has renewed the lease.
    pub renewals: u64,
    /// Whether the lease was released, with no order left in flight.
    pub released: bool,
}

/// A row with its generation, as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The row.
    pub row: Row,
    /// The generation of the row.
    pub generation: revision::Generation,
}

/// A table operation that the process has to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read the row, then call [`crate::Lease::handle_read`].
    Read,
    /// Write the row if it has this generation, then call [`crate::Lease::handle_write`].
    Write {
        /// The generation that the row must have; zero requires the row to be absent.
        generation: revision::Generation,
        /// The new value of the row.
        row: Row,
    },
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; holds the new generation of the row.
    Committed(revision::Generation),
    /// The row had a different generation; nothing was written.
    Conflict,
    /// The write was not sent, or the platform refused it: nothing was written.
    NotRun,
    /// The response was lost: the write may have taken effect, or may do so later.
    MayHaveRun,
}
