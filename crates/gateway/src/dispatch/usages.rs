//! The requests of workspaces that routers have in flight.

use units::time::Instant;

use super::Dispatch;

impl Dispatch {
    /// Sets the requests in flight of each workspace at all other routers.
    pub(super) fn set_peer_usages(&mut self, _usages: &[scheduling::Usage], _now: Instant) {}

    /// The requests in flight of each workspace that this router tells others.
    pub(super) fn usages(&self, _now: Instant) -> Vec<scheduling::Usage> {
        Vec::new()
    }
}
