//! Reserves for more urgent requests, and shares of workspaces over the fleet.

use serde::{Deserialize, Serialize};

/// The requests of a workspace that a router has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash of the workspace's name.
    pub workspace: u32,
    /// Requests in flight.
    pub running: u32,
}
