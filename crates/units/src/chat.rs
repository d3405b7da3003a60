//! The keys that identify chats.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::workspace;

/// The key of a chat: the hash of its workspace and of the caller's chat identifier.
///
/// The hash is unseeded, so that every router computes the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u64);

impl Key {
    /// Computes the key of the chat that `workspace` identifies as `chat`.
    pub fn new(workspace: &workspace::Id, chat: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(chat.as_bytes());
        Self(hasher.digest())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
