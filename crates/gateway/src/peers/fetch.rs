//! Rows that one router asks of another.

mod client;
mod server;

use std::{error, fmt, time::Duration};

use serde::{Deserialize, Serialize};

pub use client::request;
pub use server::{MAX_LARGE_RESPONSES, serve};

use super::Versions;
use crate::{link::Error, source::Topic};

/// How long one question and its answer may take; an answer whose bytes keep
/// coming may take longer.
const TIMEOUT: Duration = Duration::from_millis(1000);

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Request {
    versions: Versions,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum Reply {
    /// The rows of a topic follow, up to this version: all of them, or those
    /// that changed.
    Topic {
        topic: Topic,
        version: u64,
        is_snapshot: bool,
    },
    /// A row; its value follows as data.
    Row {
        key: String,
        version: u64,
        content: Content,
    },
    /// That was all.
    End,
    /// Others are being answered; nothing follows.
    Busy,
}

/// How the value of a row follows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum Content {
    /// The row was removed, and nothing follows.
    Removed,
    /// So many bytes follow.
    Plain(u64),
    /// So many bytes follow, which have this length when they are unpacked.
    Packed { bytes: u64, length: u64 },
}

/// Why another router's rows did not come.
#[derive(Debug)]
pub enum Failure {
    /// It is answering others.
    Busy,
    /// It did not answer, or not all of the answer came.
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
