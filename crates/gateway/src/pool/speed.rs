//! Placement at servers that report their speed.

use std::time::Duration;

use load_report::{Arrivals, Candidate, Report, ServiceTime, Shared, TTL, candidate};
use smallvec::SmallVec;
use units::{backend, time::Instant};
use xxhash_rust::xxh3;

use super::{Fleet, Pool, Server, cost, server::Effect, server::Update};

/// How long after the last report with a speed the service is treated as one whose servers report
/// it. They do so in all responses.
const REPORTS_FOR: Duration = Duration::from_secs(5);
/// The usual time of a request at a plain service before it is measured: a short response.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// How many times the usual time a server may take without a lag, as for the read rate of engines.
const TOLERANCE: u32 = 2;

/// What is known of the speed of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    reported_until: Instant,
    service_time: ServiceTime,
    /// The requests of this router.
    arrivals: Arrivals,
    /// The number of choices so far, from which random numbers are derived.
    choices: u64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            reported_until: Instant::ZERO,
            service_time: ServiceTime::new(SERVICE_TIME),
            arrivals: Arrivals::default(),
            choices: 0,
        }
    }
}

impl Speed {
    /// Records that a request of this router was placed.
    pub(super) fn placed(&mut self, now: Instant) {
        if now < self.reported_until {
            self.choices = self.choices.wrapping_add(1);
            self.arrivals.record(now);
        }
    }

    /// A number that differs between routers and choices.
    fn random(&self, fleet: &Fleet, now: Instant) -> u64 {
        let own = xxh3::xxh3_64_with_seed(fleet.own.as_str().as_bytes(), self.choices);
        xxh3::xxh3_64_with_seed(&now.as_micros().to_le_bytes(), own)
    }
}

impl Pool {
    /// Whether the servers of the service report their speed.
    pub fn reports_speed(&self, now: Instant) -> bool {
        now < self.speed.reported_until
    }

    /// Records what `incarnation` of a server has reported in a response.
    pub fn record_load_report(
        &mut self,
        name: &backend::Server,
        incarnation: u64,
        report: Report,
        now: Instant,
    ) -> Effect {
        let Some(server) = self.servers.get_mut(name) else {
            return Effect::Ignored;
        };
        let effect = server.record_load_report(incarnation, report, now);
        if effect != Effect::Ignored && report.slowdown.is_some() {
            self.speed.reported_until = now + REPORTS_FOR;
        }
        effect
    }

    /// Records what servers have reported to other routers, sorted by server. Returns the
    /// servers whose slowdown has changed.
    pub fn record_peer_slowdowns(
        &mut self,
        reports: &[Shared],
        now: Instant,
    ) -> Vec<backend::Server> {
        let mut changed = Vec::new();
        for server in self.servers.values_mut() {
            let hash = server.hash();
            let first = reports.partition_point(|report| report.server < hash);
            let own = reports[first..].iter();
            for report in own.take_while(|report| report.server == hash) {
                let age = report.age.duration();
                // The age is input from the network.
                if age >= TTL {
                    continue;
                }
                let effect = server.record_peer_slowdown(report.slowdown, now - age, now);
                if effect != Effect::Ignored {
                    self.speed.reported_until = now + REPORTS_FOR;
                }
                if effect == Effect::Changed {
                    changed.push(server.name().clone());
                }
            }
        }
        changed
    }

    /// The slowdowns that other routers are told of.
    pub fn slowdown_updates(&self, now: Instant) -> impl Iterator<Item = Update> {
        let servers = self
            .servers
            .values()
            .filter(move |_| self.reports_speed(now));
        servers.filter_map(move |server| server.slowdown_update(now))
    }

    /// The time to first byte at a server that needs no correction by measured times, where
    /// `usual` is expected at the usual speed.
    pub fn expected_first_byte(
        &self,
        name: &backend::Server,
        usual: Duration,
        now: Instant,
    ) -> Duration {
        let Some(server) = self.servers.get(name).filter(|_| self.reports_speed(now)) else {
            return usual;
        };
        let usual_us = if self.is_engine() {
            u64::try_from(usual.as_micros()).unwrap_or(u64::MAX)
        } else {
            self.speed.service_time.micros() * u64::from(TOLERANCE)
        };
        Duration::from_micros(server.slowdown(now).scale(usual_us))
    }

    /// Records the time to first byte of a request that was expected to take `expected`. Returns
    /// whether the reported slowdown is ignored from now on, since measured times contradict it.
    pub fn record_time(
        &mut self,
        name: &backend::Server,
        waited: Duration,
        expected: Duration,
        now: Instant,
    ) -> bool {
        if !self.reports_speed(now) {
            return false;
        }
        let is_engine = self.is_engine();
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        if !is_engine {
            let percent = u32::from(server.slowdown(now).percent());
            let usual = waited.saturating_mul(100) / percent.max(1);
            self.speed.service_time.record(usual);
        }
        server.record_time(waited, expected, now)
    }

    /// Chooses among servers of a plain service by their expected completion times.
    pub(super) fn choose_by_completion(
        &self,
        candidates: &[&Server],
        fleet: &Fleet,
        now: Instant,
    ) -> Option<backend::Server> {
        let weighed: SmallVec<[Candidate; 8]> = candidates
            .iter()
            .map(|server| Candidate {
                overhead_us: cost::overhead_us(server, &self.zone, now),
                service_us: self.speed.service_time.micros(),
                slots: server.slots(),
                slowdown: server.slowdown(now),
                load: server.expected_load(now),
            })
            .collect();
        // With the age of the oldest figure, one server without a recent report would hide what is
        // known of the others; with that of the newest, one report would attract too much.
        let ages = candidates.iter().map(|server| {
            let age = server.slowdown_age(now).into_iter();
            age.chain(server.report_age(now)).min().unwrap_or(TTL)
        });
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let age = ages.sum::<Duration>() / count.max(1);
        // This router knows its own requests. One with more requests than the mean overestimates
        // those of the others, and its choice is closer to even.
        let others = fleet.members.len().saturating_sub(1);
        let arrivals = self.speed.arrivals.within(age, now) * others as f64;
        let chosen = candidate::choose(&weighed, arrivals, self.speed.random(fleet, now))?;
        Some(candidates[chosen].name().clone())
    }

    /// Whether a server may receive one more request at its present speed.
    pub(super) fn has_effective_slot(&self, server: &Server, now: Instant) -> bool {
        !self.is_engine() || !self.reports_speed(now) || server.load() < server.effective_slots(now)
    }
}
