//! A simulated model engine that is slow and has little capacity while it is cold.

use std::time::Duration;

use admission::Report;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{cost::Cost, time::Instant};

/// Performance profile of a simulated engine.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Concurrent requests without overload, right after a start and when warm.
    pub capacity: (u32, u32),
    /// Factor by which the engine is slower right after a start.
    pub slowdown: f64,
    pub warm_up: Duration,
    pub prefill: Duration,
    pub decode: Duration,
    /// Divisor of the cost: the fraction `1 / output_share` of a request's cost is
    /// output.
    pub output_share: u64,
    /// Sigma of the log-normal factor on prefill times.
    pub noise: f64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            capacity: (2, 32),
            slowdown: 8.0,
            warm_up: Duration::from_secs(20),
            prefill: Duration::from_micros(100),
            decode: Duration::from_millis(20),
            output_share: 10,
            noise: 0.5,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Engine {
    profile: Profile,
    boot: u64,
    seq: u64,
    started_at: Instant,
    pub running: u32,
    rng: ChaCha8Rng,
}

impl Engine {
    pub fn new(profile: Profile, now: Instant) -> Self {
        Self {
            profile,
            boot: 1,
            seq: 0,
            started_at: now,
            running: 0,
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    fn noise(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum();
        (self.profile.noise * (sum - 6.0)).exp()
    }

    /// Progress of the warm-up, from zero right after a start to one.
    pub fn warm_fraction(&self, now: Instant) -> f64 {
        let age = now.since(self.started_at).as_secs_f64();
        (age / self.profile.warm_up.as_secs_f64()).min(1.0)
    }

    pub fn capacity(&self, now: Instant) -> u32 {
        let (cold, warm) = self.profile.capacity;
        cold + (f64::from(warm - cold) * self.warm_fraction(now).powi(2)) as u32
    }

    /// Starts a request. Returns the instants of its first and its last token.
    pub fn start(&mut self, cost: Cost, now: Instant) -> (Instant, Instant) {
        self.running += 1;
        let slowdown = 1.0 + (self.profile.slowdown - 1.0) * (1.0 - self.warm_fraction(now));
        let load = f64::from(self.running) / f64::from(self.capacity(now));
        let contention = if load > 1.0 {
            load.min(3.0).powi(2)
        } else {
            1.0 + load / 4.0
        };
        let output = cost.0 / self.profile.output_share;
        let prefill = self.profile.prefill * (cost.0 - output) as u32;
        let first = now + prefill.mul_f64(slowdown * contention * self.noise());
        let decode = self.profile.decode * output as u32;
        (first, first + decode.mul_f64(slowdown.sqrt() * contention))
    }

    /// Resets the warm-up. Running requests continue.
    pub fn turn_cold(&mut self, now: Instant) {
        self.started_at = now;
    }

    pub fn restart(&mut self, now: Instant) {
        self.turn_cold(now);
        self.boot += 1;
        self.seq = 0;
        self.running = 0;
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            boot: self.boot,
            seq: self.seq,
            running: self.running,
            waiting: 0,
            capacity: 0,
        }
    }
}
