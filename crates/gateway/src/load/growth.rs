//! An estimate of the requests that other routers have placed since the last sum of their
//! loads.

use std::{collections::BTreeMap, time::Duration};

use units::time::Instant;

/// The shortest interval between two sums whose difference gives a rate. Digests of single
/// routers arrive more often, and each changes a part of the sum only.
const MIN_INTERVAL: Duration = Duration::from_millis(150);
/// The longest one: three rounds and some delay. An older sum says nothing about the present
/// rate.
const MAX_INTERVAL: Duration = Duration::from_millis(800);
/// The age of a sum until which placements are estimated: the oldest one that is used.
const MAX_AGE: Duration = Duration::from_millis(700);
/// The time after the arrival of a sum from which the estimate decays: the next one is late
/// then.
const DECAY_AFTER: Duration = Duration::from_millis(300);
/// The time after which nothing is estimated: the sum is no longer used.
const DECAY_END: Duration = Duration::from_millis(800);

/// The requests of other routers at one server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The hash of the server's name.
    pub server: u32,
    /// The requests in the last sum.
    pub running: u32,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
}

impl Known {
    fn free(self) -> u32 {
        self.slots.saturating_sub(self.running)
    }
}

/// Estimates what other routers have placed at the servers of one service since the last sum:
/// the rate at which the sums grew, times their age.
///
/// The growth of one server shows that many routers have chosen it. The growth of the whole
/// service, which fluctuates less, counts for all servers by their free slots.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    known: BTreeMap<u32, Known>,
    /// When the requests of `known` were counted, on average.
    counted_at: Instant,
    received_at: Instant,
    /// The sum to which the next one is compared, and when it was counted.
    previous: BTreeMap<u32, u32>,
    previous_at: Instant,
    /// Growth by server, in requests per second.
    rates: BTreeMap<u32, f64>,
    /// Growth of the whole service, in requests per second and free slot.
    rate_per_slot: f64,
}

impl Estimator {
    /// Records a sum whose requests were counted `age` ago on average.
    pub fn record(&mut self, sum: impl Iterator<Item = Known>, age: Duration, now: Instant) {
        self.known = sum.map(|known| (known.server, known)).collect();
        self.counted_at = now - age;
        self.received_at = now;
        let interval = self.counted_at.since(self.previous_at);
        if interval < MIN_INTERVAL {
            return;
        }
        self.rates.clear();
        self.rate_per_slot = 0.0;
        if interval <= MAX_INTERVAL {
            self.set_rates(interval);
        }
        self.previous = self
            .known
            .values()
            .map(|known| (known.server, known.running))
            .collect();
        self.previous_at = self.counted_at;
    }

    fn set_rates(&mut self, interval: Duration) {
        let (mut before, mut after, mut free) = (0_u32, 0_u32, 0_u32);
        for known in self.known.values() {
            let Some(&previous) = self.previous.get(&known.server) else {
                continue;
            };
            before += previous;
            after += known.running;
            free += known.free();
            let growth = known.running.saturating_sub(previous);
            if growth > 0 {
                let rate = f64::from(growth) / interval.as_secs_f64();
                self.rates.insert(known.server, rate);
            }
        }
        let rate = f64::from(after.saturating_sub(before)) / interval.as_secs_f64();
        self.rate_per_slot = rate / f64::from(free.max(1));
    }

    /// The requests that others have placed at a server since the last sum, at most as many as
    /// it had slots free.
    pub fn estimate(&self, server: u32, now: Instant) -> u32 {
        let Some(known) = self.known.get(&server) else {
            return 0;
        };
        let free = known.free();
        let own_rate = self.rates.get(&server).copied().unwrap_or(0.0);
        let rate = own_rate.max(self.rate_per_slot * f64::from(free));
        let age = now.since(self.counted_at).min(MAX_AGE);
        let placed = rate * age.as_secs_f64() * self.weight(now);
        // The cast saturates.
        (placed as u32).min(free)
    }

    /// The weight of the estimate, which falls to zero when sums stop coming.
    fn weight(&self, now: Instant) -> f64 {
        let late = now.since(self.received_at).saturating_sub(DECAY_AFTER);
        let span = DECAY_END - DECAY_AFTER;
        (1.0 - late.as_secs_f64() / span.as_secs_f64()).max(0.0)
    }

    /// Whether the estimate of any server differs from zero.
    pub fn is_growing(&self) -> bool {
        self.rate_per_slot > 0.0 || !self.rates.is_empty()
    }

    /// The age of the last sum.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.counted_at)
    }

    /// The requests of others at all servers in the last sum, and the estimate of those that
    /// were placed since.
    pub fn totals(&self, now: Instant) -> (u32, u32) {
        self.known.values().fold((0, 0), |(known, placed), server| {
            let estimate = self.estimate(server.server, now);
            (known + server.running, placed + estimate)
        })
    }

    /// The requests of others at a server in the last sum.
    pub fn known(&self, server: u32) -> u32 {
        self.known.get(&server).map_or(0, |known| known.running)
    }
}
