//! How old what a router knows of the store is.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use units::time::Instant;

use crate::source::Topic;

/// When the store last said that what is known is up to date.
#[derive(Debug, Default)]
pub struct Ages {
    configuration_us: AtomicU64,
    servers_us: AtomicU64,
}

impl Ages {
    /// The view of a topic is up to date at `now`.
    pub fn confirm(&self, topic: Topic, now: Instant) {
        let confirmed = match topic {
            Topic::Configuration => &self.configuration_us,
            Topic::Servers => &self.servers_us,
            Topic::Routers => return,
        };
        confirmed.store(now.as_micros(), Ordering::Relaxed);
    }

    /// How old the configuration is at `now`.
    pub fn configuration(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(
            self.configuration_us.load(Ordering::Relaxed),
        ))
    }

    /// How old the list of servers is at `now`.
    pub fn servers(&self, now: Instant) -> Duration {
        now.since(Instant::from_micros(
            self.servers_us.load(Ordering::Relaxed),
        ))
    }
}
