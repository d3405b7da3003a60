//! Where a router asks for a configuration that it has missed.

use std::time::Duration;

use units::time::Instant;

/// How long a router that others are ahead of, and that none of them answers,
/// waits until it asks the store.
const PEER_TIMEOUT: Duration = Duration::from_millis(1200);
/// The same while one of them is answering.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(2500);
/// After so many others that did not answer the store is asked at once.
const MAX_PEER_FAILURES: u32 = 2;
/// How long the store is not asked again after a read of it failed.
const STORE_BACKOFF: Duration = Duration::from_millis(1500);

/// Which of the store and other routers to ask for a configuration.
///
/// Other routers have it packed, and near by. Read from the store by each
/// router, one change would cost as many calls as there are routers, and its
/// plain form would fill the links of small ones. So the store is asked only
/// where the others fail or take long.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreFallback {
    behind_since: Option<Instant>,
    peer_failures: u32,
    store_retry_at: Instant,
}

impl StoreFallback {
    /// The configuration is up to date.
    pub fn caught_up(&mut self) {
        self.behind_since = None;
        self.peer_failures = 0;
    }

    /// Whether to ask the store, now that others know a newer configuration, and
    /// one of them `is_answering` this router or not.
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

    /// Another router did not answer.
    pub fn peer_failed(&mut self) {
        self.peer_failures = self.peer_failures.saturating_add(1);
    }

    /// The store did not answer, or knew nothing new.
    pub fn store_failed(&mut self, now: Instant) {
        self.store_retry_at = now + STORE_BACKOFF;
    }
}
