//! When servers work and what of it arrives.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use units::time::Instant;

use super::scenario::{FAULT_AT, Fault, Scenario};
use crate::world::START;

/// The time from a request to its first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);
/// Pauses of several servers begin within this time.
const JITTER_MS: u64 = 50;
/// The time until the entry of a dark host lapses, and until another server has started.
const LAPSE: Duration = Duration::from_millis(2500);
const REPLACEMENT: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// The time during which it works on nothing.
    silent: (Instant, Instant),
    /// Whether it responds to checks meanwhile.
    is_busy: bool,
    /// The time during which it is listed.
    listed: (Instant, Instant),
    pub in_use: u32,
}

impl Server {
    fn new() -> Self {
        Self {
            silent: (Instant::NEVER, Instant::NEVER),
            is_busy: false,
            listed: (START, Instant::NEVER),
            in_use: 0,
        }
    }

    /// The servers of a scenario.
    pub fn all(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Self> {
        let mut servers = vec![Self::new(); scenario.servers];
        let (share, length) = match scenario.fault {
            Fault::Pause(share, length)
            | Fault::Busy(share, length)
            | Fault::BusyBesideHung(share, length) => (share, Some(length)),
            Fault::Hung | Fault::Dark => (0.1, None),
            Fault::Lost | Fault::Requests => return servers,
        };
        let count = (share * scenario.servers as f64).round() as usize;
        for server in &mut servers[..count] {
            let from = START + FAULT_AT + Duration::from_millis(rng.random_range(0..JITTER_MS));
            server.silent = (from, length.map_or(Instant::NEVER, |length| from + length));
            server.is_busy = matches!(scenario.fault, Fault::Busy(..) | Fault::BusyBesideHung(..));
            if scenario.fault == Fault::Dark {
                server.listed.1 = from + LAPSE;
            }
        }
        if matches!(scenario.fault, Fault::BusyBesideHung(..)) {
            let hung = scenario.servers / 10;
            for server in servers.iter_mut().rev().take(hung) {
                server.silent = (START + FAULT_AT, Instant::NEVER);
            }
        }
        if scenario.fault == Fault::Dark {
            let mut replacement = Self::new();
            replacement.listed.0 = START + FAULT_AT + REPLACEMENT;
            servers.extend(vec![replacement; count]);
        }
        servers
    }

    pub fn is_listed(&self, now: Instant) -> bool {
        self.listed.0 <= now && now < self.listed.1
    }

    pub fn is_silent(&self, now: Instant) -> bool {
        self.silent.0 <= now && now < self.silent.1
    }

    /// From when on it responds to a check of this instant.
    pub fn responds_at(&self, now: Instant) -> Instant {
        if self.is_silent(now) && !self.is_busy {
            return self.silent.1;
        }
        now
    }

    /// The instant at which work that would be done at `at` is done, when it began at `from`.
    fn done_at(&self, from: Instant, work: Duration) -> Instant {
        let (begin, end) = self.silent;
        if from >= begin && from < end {
            return end + work;
        }
        let at = from + work;
        if from < begin && at > begin {
            return end + at.since(begin);
        }
        at
    }

    /// How long it works between two instants.
    fn work(&self, from: Instant, to: Instant) -> Duration {
        let silent = self.silent.1.min(to).since(self.silent.0.max(from));
        to.since(from).saturating_sub(silent)
    }
}

/// A request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: usize,
    pub sent_at: Instant,
    /// The number of the first event that it asks for.
    pub first: u32,
    /// How many events the router has received.
    pub received: u32,
    /// The number of the current schedule of its events.
    pub plan: u64,
    pub is_repeat: bool,
    /// From when on nothing arrives, and whether the server works on.
    pub broken: Option<(Instant, bool)>,
    /// The interval between two events.
    pub gap: Duration,
}

impl Attempt {
    /// When the router receives the event of this number, from 1; 0 is the request itself.
    pub fn arrives_at(&self, server: &Server, number: u32) -> Instant {
        if number == 0 {
            return self.sent_at;
        }
        let work = FIRST_EVENT + self.gap * (number - 1);
        let at = server.done_at(self.sent_at, work);
        if self.broken.is_some_and(|(since, _)| at >= since) {
            return Instant::NEVER;
        }
        at
    }

    /// How long the server works on it between two instants.
    pub fn work(&self, server: &Server, from: Instant, to: Instant) -> Duration {
        match self.broken {
            Some((since, false)) => server.work(from, to.min(since)),
            _ => server.work(from, to),
        }
    }
}
