//! The row of the table that holds a lease.

use std::{fmt, num, str};

use serde::{Deserialize, Serialize};
use units::{host, revision};

/// A fencing number: each holder of a lease gets a higher one.
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

/// The value of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Who holds the lease, for operators to read.
    pub holder: host::Id,
    /// A number drawn at random by the process that took the lease.
    #[serde(rename = "token")]
    pub nonce: u64,
    /// The holder's fencing number.
    pub fence: Fence,
    /// How often the holder renewed it.
    pub renewals: u64,
    /// Whether it was given back, with no order left in flight.
    pub released: bool,
}

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The row.
    pub row: Row,
    /// Its generation.
    pub generation: revision::Generation,
}

/// What the process has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read the row, then call [`crate::Lease::handle_read`].
    Read,
    /// Write the row if it has this generation, zero for absent, then call [`crate::Lease::handle_write`].
    Write {
        /// The generation that the row must have.
        generation: revision::Generation,
        /// The row.
        row: Row,
    },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect; the row's new generation.
    Committed(revision::Generation),
    /// The row had another generation; nothing took effect.
    Conflict,
    /// It was not sent, or the platform refused it.
    NotRun,
    /// Its answer was lost: it may have taken effect, or may do so later.
    MayHaveRun,
}
