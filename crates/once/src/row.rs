//! The rows of the table that hold claims.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{host, request, workspace};

/// What the keys of all claims begin with.
pub const CLAIMS: &str = "once/";
/// What the keys of the index of outcomes begin with.
pub const OUTCOMES: &str = "once-outcome/";

/// The key of the row of a claim: `once/WORKSPACE/HASH`.
///
/// The hash covers the workspace, the route and the caller's idempotency key;
/// nobody can find two keys with the same hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    workspace: workspace::Id,
    hash: String,
}

impl Key {
    /// The key of what `workspace` calls `key` on `route`.
    pub fn new(workspace: &workspace::Id, route: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [workspace.as_str(), route, key] {
            hasher.update(&u64::try_from(field.len()).unwrap_or(u64::MAX).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let hash = hasher.finalize().to_hex();
        Self {
            workspace: workspace.clone(),
            hash: String::from(&hash[..32]),
        }
    }

    /// The key of the row in the index of outcomes of `bucket`.
    pub fn index(&self, bucket: Bucket) -> String {
        format!("{OUTCOMES}{bucket}/{}/{}", self.workspace, self.hash)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{CLAIMS}{}/{}", self.workspace, self.hash)
    }
}

/// A span of wall-clock time, such as the hours since 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Bucket(pub u64);

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012}", self.0)
    }
}

/// The answer of the backend server, as far as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body; left out when it is too long or no text.
    pub body: Option<String>,
}

/// How far the request got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt may be sent, was sent or is running.
    Claimed,
    /// The attempt was not sent and never will be: the next claim may take the row.
    ///
    /// The row isn't deleted, since a delete that arrives late could hit the
    /// row of a later claim.
    Released,
    /// The attempt ran.
    Done(Outcome),
    /// The attempt may have run; nobody knows its outcome.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The attempt that may send the request.
    pub attempt: request::Attempt,
    /// The router that made the attempt.
    pub router: host::Id,
    /// The request that the key was used for.
    pub fingerprint: request::Fingerprint,
    /// When the row was written.
    pub bucket: Bucket,
    /// How far the request got.
    pub state: State,
}
