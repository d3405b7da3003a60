//! Decides when a router reads a missed configuration from the store instead of from its
//! peers.

use std::time::Duration;

use units::time::Instant;

/// How long a router that is behind its peers waits for one of them to respond before it
/// reads the store.
const PEER_TIMEOUT: Duration = Duration::from_millis(1200);
/// The same while a transfer from a peer is in progress.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2500);
/// After this many failed requests to peers the store is read at once.
const MAX_PEER_FAILURES: u32 = 2;
/// How long the store is not read again after a failed read.
const STORE_BACKOFF: Duration = Duration::from_millis(1500);

/// Tracks failed attempts to fetch a configuration from peers.
///
/// Peers hold the configuration compressed and near by. If each router read it from the
/// store, one change would cost as many calls as there are routers, and its uncompressed
/// form would fill the links of small routers. So the store is read only when the peers
/// fail or take too long.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFallback {
    behind_since: Option<Instant>,
    peer_failures: u32,
    store_retry_at: Instant,
}

impl StoreFallback {
    /// Records that the configuration is up to date.
    pub fn caught_up(&mut self) {
        self.behind_since = None;
        self.peer_failures = 0;
    }

    /// Whether to read the store, given that peers hold a newer configuration.
    /// `is_transferring` says whether a request to a peer is in progress.
    pub fn is_store_due(&mut self, is_transferring: bool, now: Instant) -> bool {
        let since = *self.behind_since.get_or_insert(now);
        let timeout = if is_transferring {
            TRANSFER_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        let is_late = self.peer_failures >= MAX_PEER_FAILURES || now >= since + timeout;
        is_late && now >= self.store_retry_at
    }

    /// Records a failed request to a peer.
    pub fn peer_failed(&mut self) {
        self.peer_failures = self.peer_failures.saturating_add(1);
    }

    /// Records that the store did not answer or had nothing newer.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_retry_at = now + STORE_BACKOFF;
    }
}
