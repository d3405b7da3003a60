//! The age of the router's views of the store.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use units::time::Instant;

use crate::source::Topic;

/// The longest time between two confirmations of a view in which changes cannot have been missed.
///
/// After a longer one, the view may come from a snapshot that does not show what came and went.
const MAX_GAP: Duration = Duration::from_secs(5);

/// When each view was last confirmed to be up to date.
#[derive(Debug, Default)]
pub struct Staleness {
    configuration_us: AtomicU64,
    servers_us: AtomicU64,
    /// Since when the list of servers has been confirmed without a longer gap.
    servers_since_us: AtomicU64,
}

impl Staleness {
    /// Records that the view of a topic is up to date at `now`.
    pub fn confirm(&self, topic: Topic, now: Instant) {
        let confirmed = match topic {
            Topic::Configuration => &self.configuration_us,
            Topic::Servers => &self.servers_us,
            Topic::Routers => return,
        };
        let is_first = self.servers_since_us.load(Ordering::Relaxed) == 0;
        if topic == Topic::Servers && (is_first || self.servers(now) > MAX_GAP) {
            self.servers_since_us
                .store(now.as_micros(), Ordering::Relaxed);
        }
        confirmed.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Whether no change of the list of servers can have been missed in the last `span`.
    pub fn covers_servers(&self, span: Duration, now: Instant) -> bool {
        let since = self.servers_since_us.load(Ordering::Relaxed);
        let known_for = now.since(Instant::from_micros(since));
        since > 0 && known_for >= span && self.servers(now) <= MAX_GAP
    }

    /// The age of the configuration at `now`.
    pub fn configuration(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(
            self.configuration_us.load(Ordering::Relaxed),
        ))
    }

    /// The age of the list of servers at `now`.
    pub fn servers(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(
            self.servers_us.load(Ordering::Relaxed),
        ))
    }
}
