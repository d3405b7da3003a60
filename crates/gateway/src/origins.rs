//! The software versions that began streams, kept for callers that take a stream up at another
//! router.
//!
//! Versions do not continue each other's streams, and neither the id that the caller names nor
//! that of the last event tells the version. The router that forwards the first event of a
//! stream therefore tells it to some routers, the keepers, which follow from a hash of the
//! stream; the router to which the caller comes back asks these. All that hold a record tell it to
//! routers that become keepers later. A version is never assumed: if no keeper knows it, the stream
//! is refused.

mod handover;
mod history;
mod keepers;
mod lookups;
mod renewals;
mod silence;
mod table;

use std::{sync::Weak, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use units::{backend, chat, pool, workspace};
use xxhash_rust::xxh3;

pub use handover::Handover;
pub use history::{Entry, History, MEMORY};
pub use keepers::{journal_writer, keepers};
pub use lookups::Lookups;
pub use renewals::{RENEWAL_INTERVAL, Renewals};
pub use silence::{LOST_AFTER, MAX_SILENCE, Silence};
pub use table::Table;

/// The number of keepers of a stream. There is one in each zone if there are not more zones, so
/// that copies are left when a zone loses power, or a third of the routers end at once.
pub const COPIES: usize = 4;
/// The number of routers that are asked. One more than [`COPIES`], since a router that has joined
/// since may have displaced a keeper.
pub const ASKED: usize = COPIES + 1;
/// How long the version of a stream is kept after it was told last.
pub const RETENTION: Duration = Duration::from_secs(60);

/// Identifies a stream over all attempts of its caller.
///
/// It covers the workspace, so that the ids of one workspace say nothing about the streams of
/// another, and the service, whose versions are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// The key of the stream that the request `id` began.
    pub fn new(workspace: &workspace::Id, pool: &pool::Id, id: &str) -> Self {
        let mut hasher = xxh3::Xxh3Default::new();
        for part in [workspace.as_str(), pool.as_str(), id] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        Self(hasher.digest())
    }

    const fn as_chat(self) -> chat::Key {
        chat::Key(self.0)
    }
}

/// The version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The stream.
    pub key: Key,
    /// The version of the server whose event was the first to be forwarded.
    pub version: backend::Version,
}

/// What a router knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing.
    Unknown,
    /// The version that began it.
    Version(backend::Version),
    /// Requests with the same id began streams at several versions.
    Ambiguous,
}

/// Held for as long as a stream is forwarded.
#[derive(Debug)]
pub struct Lease;

/// A message to the task that exchanges records with other routers.
#[derive(Debug)]
pub enum Message {
    /// The first event of a stream of a service was forwarded. The stream goes on for as long as the
    /// [`Lease`] exists.
    Began(pool::Id, Record, Weak<Lease>),
    /// Asks for the version that began a stream.
    Find(Key, oneshot::Sender<Answer>),
}
