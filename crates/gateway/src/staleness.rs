//! The age of the router's views of the store.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use units::time::Instant;

use crate::source::Topic;

/// When each view was last confirmed to be up to date.
#[derive(Debug, Default)]
pub struct Staleness {
    configuration_us: AtomicU64,
    servers_us: AtomicU64,
}

impl Staleness {
    /// Records that the view of a topic is up to date at `now`.
    pub fn confirm(&self, topic: Topic, now: Instant) {
        let confirmed = match topic {
            Topic::Configuration => &self.configuration_us,
            Topic::Servers => &self.servers_us,
            Topic::Routers => return,
        };
        confirmed.store(now.as_micros(), Ordering::Relaxed);
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
