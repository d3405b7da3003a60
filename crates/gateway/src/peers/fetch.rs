//! Transfer of replicated rows from one router to another.

mod client;
mod pack;
mod request;
mod server;

use std::{error, fmt, time::Duration};

use serde::{Deserialize, Serialize};

pub use client::request;
use request::Request;
pub use server::{MAX_LARGE_RESPONSES, serve};

use crate::{
    link::Error,
    source::{Batch, Topic},
};

/// The timeout of a request and its response; a response that keeps making progress may
/// take longer.
const TIMEOUT: Duration = Duration::from_millis(1000);

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Reply {
    /// Starts the rows of a topic, up to this version: all rows if it is a snapshot,
    /// otherwise the changed ones.
    Topic {
        topic: Topic,
        version: u64,
        #[serde(rename = "is_whole")]
        is_snapshot: bool,
    },
    /// A row; its value follows in data frames.
    Row {
        key: String,
        version: u64,
        content: Content,
    },
    /// The end of the response.
    End,
    /// The server is at its limit of large responses; nothing follows.
    Busy,
    /// All rows of a topic, up to this version, as one compressed value of `bytes` bytes that
    /// follows and decompresses to `length` bytes.
    Packed {
        topic: Topic,
        version: u64,
        is_snapshot: bool,
        bytes: u64,
        length: u64,
    },
}

/// How the value of a row is transferred.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Content {
    /// The row was removed; no data follows.
    Removed,
    /// This many uncompressed bytes follow.
    Plain(u64),
    /// `bytes` compressed bytes follow, which decompress to `length` bytes.
    Packed { bytes: u64, length: u64 },
}

/// The rows that a peer sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// The rows of each requested topic.
    pub batches: Vec<(Topic, Batch)>,
    /// The bytes of their values as they were transferred.
    pub bytes: u64,
}

/// Why a transfer failed.
#[derive(Debug)]
pub enum Failure {
    /// The peer is at its limit of large responses.
    Busy,
    /// The connection failed, timed out or was closed before the end of the response.
    Link(Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("busy"),
            Self::Link(error) => error.fmt(f),
        }
    }
}

impl error::Error for Failure {}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Link(error)
    }
}
