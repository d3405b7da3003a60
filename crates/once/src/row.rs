//! The rows of the table that hold claims.

use std::fmt;

use serde::{Deserialize, Serialize};
use units::{host, request, workspace};

/// The prefix of the keys of all claims.
pub const CLAIMS: &str = "once/";
/// The prefix of the keys of the outcome index.
pub const OUTCOMES: &str = "once-outcome/";

/// The key of the row of a claim: `once/WORKSPACE/HASH`.
///
/// The hash covers the workspace, the route and the caller's idempotency key. It
/// is collision-resistant, so callers cannot construct two keys with the same hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    workspace: workspace::Id,
    hash: String,
}

impl Key {
    /// The row key for the idempotency key `key` that `workspace` uses on `route`.
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

    /// The key of the row in the outcome index, for the outcome of a claim made in `bucket`.
    pub fn index(&self, bucket: Bucket) -> String {
        format!("{OUTCOMES}{bucket}/{}/{}", self.workspace, self.hash)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{CLAIMS}{}/{}", self.workspace, self.hash)
    }
}

/// The number of a fixed span of wall-clock time, such as the hours since 1970.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Bucket(pub u64);

impl fmt::Display for Bucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:012}", self.0)
    }
}

/// The stored part of the response of the backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body; `None` when it is too long or not text.
    pub body: Option<String>,
}

/// The state of the claim and of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The request may be sent, was sent or is running.
    Claimed,
    /// The request was not sent and never will be: the next claim may overwrite the row.
    ///
    /// The row is not deleted, since a delayed delete could remove the row of a
    /// later claim.
    Released,
    /// The request ran.
    Done(Outcome),
    /// The request may have run; its outcome is unknown.
    Unknown,
}

/// The row of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The attempt that may send the request.
    pub attempt: request::Attempt,
    /// The router that made the claim.
    pub router: host::Id,
    /// The fingerprint of the request that the key was used for.
    pub fingerprint: request::Fingerprint,
    /// The bucket of the claim.
    pub bucket: Bucket,
    /// The state of the claim and of its request.
    pub state: State,
}
