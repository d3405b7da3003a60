//! A fleet of routers in virtual time, with requests that share a prompt part under which servers
//! crash.

use std::{collections::BTreeMap, thread, time::Duration};

use gateway::{
    crashes::{Request, Sign, Tracker},
    peers::{FAN_OUT, INTERVAL, MIN_PUSH_INTERVAL, QUIET_FAN_OUT, gossip_targets},
    source::Member,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use recovery::quarantine::{self, Settings};
use units::{
    request::{Fingerprint, Part},
    time::Instant,
};

use crate::world;

const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(14);
/// How long a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(3);
/// How long deadly requests run until the server crashes.
const DEADLY_RUN: Duration = Duration::from_millis(60);
/// The time after the fifth crash from which on a deadly request that reaches a server is late.
const LATE: Duration = Duration::from_secs(3);
const LOSS: f64 = 0.01;
/// The part of all prompts, and the deadly one.
const COMMON: Part = Part(1);
const DEADLY: Part = Part(2);
/// The first of the parts that some requests share.
const FIRST_SUBJECT: u64 = 100;

/// A fleet and its requests.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: usize,
    servers: usize,
    /// The mean interval between deadly requests in the fleet.
    deadly_every: Duration,
    /// The mean interval between harmless requests in the fleet.
    harmless_every: Duration,
    /// The subjects of harmless requests; the first one is that of deadly ones, too.
    subjects: u64,
    /// How many servers a router sends a request to.
    max_attempts: u32,
}

/// What servers and callers saw.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    crashes: usize,
    late: usize,
    harmless: usize,
    refused: usize,
}

#[derive(Clone, Debug)]
struct Attempt {
    router: usize,
    server: usize,
    request: Request,
    began_at: Instant,
    ends_at: Instant,
    number: u32,
}

struct Datagram {
    at: Instant,
    router: usize,
    strikes: Vec<recovery::Report>,
    parts: Vec<quarantine::Report>,
}

struct Emulator {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    members: Vec<Member>,
    trackers: Vec<Tracker>,
    offsets: Vec<usize>,
    push_at: Vec<Instant>,
    /// Until when each server is down, and its incarnation.
    servers: Vec<(Instant, u64)>,
    attempts: Vec<Attempt>,
    /// Probes of crashed servers that end, with the router.
    probes: Vec<(Instant, usize, usize, u64)>,
    datagrams: Vec<Datagram>,
    crash_times: Vec<Instant>,
    deadly_starts: Vec<Instant>,
    summary: Summary,
}

impl Emulator {
    fn run(scenario: Scenario, settings: Settings, seed: u64) -> Summary {
        let mut emulator = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: world::START,
            members: world::registered(scenario.routers),
            trackers: (0..scenario.routers)
                .map(|_| Tracker::new(settings))
                .collect(),
            offsets: vec![0; scenario.routers],
            push_at: vec![Instant::ZERO; scenario.routers],
            servers: vec![(Instant::ZERO, 1); scenario.servers],
            attempts: Vec::new(),
            probes: Vec::new(),
            datagrams: Vec::new(),
            crash_times: Vec::new(),
            deadly_starts: Vec::new(),
            summary: Summary::default(),
            scenario,
        };
        let steps = LENGTH.as_millis() / STEP.as_millis();
        let round = INTERVAL.as_millis() / STEP.as_millis();
        for step in 0..steps {
            emulator.now = emulator.now + STEP;
            emulator.send_new();
            emulator.end_attempts();
            emulator.end_probes();
            emulator.deliver();
            emulator.gossip(step, round);
        }
        let fifth = emulator.crash_times.get(4).copied();
        let late_from = fifth.map_or(Instant::NEVER, |fifth| fifth + LATE);
        let late = emulator.deadly_starts.iter().filter(|at| **at > late_from);
        emulator.summary.late = late.count();
        emulator.summary
    }

    fn send_new(&mut self) {
        let (deadly, harmless) = (self.scenario.deadly_every, self.scenario.harmless_every);
        for _ in 0..self.arrivals(deadly) {
            let parts = vec![COMMON, Part(FIRST_SUBJECT), DEADLY];
            self.send_one(parts);
        }
        for _ in 0..self.arrivals(harmless) {
            let subject = self.rng.random_range(0..self.scenario.subjects);
            self.summary.harmless += 1;
            self.send_one(vec![COMMON, Part(FIRST_SUBJECT + subject)]);
        }
    }

    fn arrivals(&mut self, every: Duration) -> usize {
        let mean = STEP.div_duration_f64(every);
        let whole = mean as usize;
        whole + usize::from(self.rng.random::<f64>() < mean.fract())
    }

    fn send_one(&mut self, parts: Vec<Part>) {
        let request = Request {
            fingerprint: Fingerprint(self.rng.random::<u64>() | 1 << 63),
            parts: parts.into_iter().collect(),
        };
        let router = self.rng.random_range(0..self.scenario.routers);
        self.send(router, request, 1);
    }

    fn send(&mut self, router: usize, request: Request, number: u32) {
        let tracker = &self.trackers[router];
        let is_deadly = request.parts.contains(&DEADLY);
        if tracker.is_refused(request.fingerprint, self.now)
            || tracker.refused_parts(&request).is_some()
        {
            self.summary.refused += usize::from(!is_deadly);
            return;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].0 <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        if is_deadly {
            self.deadly_starts.push(self.now);
        }
        let run = match is_deadly {
            true => DEADLY_RUN,
            false => Duration::from_millis(self.rng.random_range(100..2500)),
        };
        self.attempts.push(Attempt {
            router,
            server,
            request,
            began_at: self.now,
            ends_at: self.now + run,
            number,
        });
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<Attempt> = self
            .attempts
            .extract_if(.., |attempt| attempt.ends_at <= now)
            .collect();
        for attempt in ended {
            if self.servers[attempt.server].0 > now {
                // Its server has crashed within this step.
                self.break_off(attempt);
            } else if attempt.request.parts.contains(&DEADLY) {
                self.crash(attempt);
            } else {
                let tracker = &mut self.trackers[attempt.router];
                tracker.record_completed(attempt.request.fingerprint, now);
                tracker.record_written(&attempt.request, now);
            }
        }
    }

    fn crash(&mut self, attempt: Attempt) {
        let server = attempt.server;
        self.summary.crashes += 1;
        self.crash_times.push(self.now);
        self.servers[server].0 = self.now + DOWN_TIME;
        let beside: Vec<Attempt> = self
            .attempts
            .extract_if(.., |other| other.server == server)
            .collect();
        for attempt in beside.into_iter().chain([attempt]) {
            self.break_off(attempt);
        }
        self.servers[server].1 += 1;
    }

    fn break_off(&mut self, attempt: Attempt) {
        let Attempt {
            router,
            server,
            request,
            began_at,
            number,
            ..
        } = attempt;
        let name = world::server(&format!("s{server}"));
        let incarnation = self.servers[server].1;
        self.trackers[router].record_sign(
            Sign::Broken,
            request.clone(),
            &name,
            incarnation,
            began_at,
            self.now,
        );
        self.probes
            .push((self.now + STEP, router, server, incarnation));
        if number < self.scenario.max_attempts {
            self.send(router, request, number + 1);
        }
    }

    fn end_probes(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.probes.extract_if(.., |probe| probe.0 <= now).collect();
        for (_, router, server, incarnation) in ended {
            let name = world::server(&format!("s{server}"));
            self.trackers[router].record_death(&name, incarnation, now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let arrived: Vec<_> = self
            .datagrams
            .extract_if(.., |datagram| datagram.at <= now)
            .collect();
        for datagram in arrived {
            let tracker = &mut self.trackers[datagram.router];
            tracker.merge(&datagram.strikes, now);
            tracker.merge_parts(datagram.parts, now);
        }
    }

    fn gossip(&mut self, step: u128, round: u128) {
        for router in 0..self.scenario.routers {
            let tracker = &mut self.trackers[router];
            tracker.decide(self.now);
            let is_round = step % round == router as u128 % round;
            let is_push = self.now >= self.push_at[router] && tracker.take_news();
            if is_push {
                self.push_at[router] = self.now + MIN_PUSH_INTERVAL;
            }
            let is_large = self.scenario.routers > 9;
            let count = match is_push || !is_large {
                true => FAN_OUT,
                false => QUIET_FAN_OUT,
            };
            if is_push || is_round {
                self.send_digests(router, count);
            }
        }
    }

    fn send_digests(&mut self, router: usize, count: usize) {
        let strikes = self.trackers[router].reports(self.now);
        let parts = self.trackers[router].part_reports(self.now);
        let offset = self.offsets[router];
        self.offsets[router] += count;
        if strikes.is_empty() && parts.is_empty() {
            return;
        }
        let own = world::host(&format!("r{router}"));
        let targets = gossip_targets(&self.members, &own, offset, count);
        let targets: Vec<usize> = targets
            .iter()
            .filter_map(|member| member.host.as_str()[1..].parse().ok())
            .collect();
        for target in targets {
            if self.rng.random::<f64>() >= LOSS {
                self.datagrams.push(Datagram {
                    at: self.now + STEP,
                    router: target,
                    strikes: strikes.clone(),
                    parts: parts.clone(),
                });
            }
        }
    }
}

const fn fleet(routers: usize, servers: usize, harmless_ms: u64, subjects: u64) -> Scenario {
    Scenario {
        routers,
        servers,
        deadly_every: Duration::from_millis(300),
        harmless_every: Duration::from_millis(harmless_ms),
        subjects,
        max_attempts: 1,
    }
}

/// Plays a scenario with several seeds, and returns the sums and the most late requests.
fn play(scenario: Scenario, settings: Settings, seeds: u64) -> (Summary, usize) {
    let mut sum = Summary::default();
    let mut most_late = 0;
    for seed in 0..seeds {
        let summary = Emulator::run(scenario, settings, seed);
        sum.crashes += summary.crashes;
        sum.harmless += summary.harmless;
        sum.refused += summary.refused;
        sum.late += summary.late;
        most_late = most_late.max(summary.late);
    }
    (sum, most_late)
}

/// Guards against deadly parts that reach servers late, and harmless requests that are refused, in
/// fleets of 6 to 300 routers. Prints how other settings do on the same seeds.
#[test]
fn a_deadly_part_is_refused_and_harmless_ones_are_served_in_fleets_of_each_size() {
    let chosen = Settings::default();
    let whole_requests = Settings {
        min_crashes: usize::MAX,
        max_crashes: usize::MAX,
        ..chosen
    };
    let without_rivals = Settings {
        max_crashes: chosen.min_crashes,
        ..chosen
    };
    let unsettled = Settings {
        settle_time: Duration::ZERO,
        ..chosen
    };
    let ways = [
        ("whole requests", whole_requests),
        ("three crashes, rivals ignored", without_rivals),
        (
            "five crashes",
            Settings {
                min_crashes: 5,
                ..chosen
            },
        ),
        ("without settling", unsettled),
        ("chosen", chosen),
    ];
    let scenarios = [
        ("6 routers", fleet(6, 12, 10, 40), 8),
        ("6 routers, rare subjects", fleet(6, 12, 10, 2000), 8),
        (
            "6 routers, retried",
            Scenario {
                max_attempts: 3,
                ..fleet(6, 12, 10, 2000)
            },
            8,
        ),
        ("85 routers", fleet(85, 60, 5, 2000), 1),
        ("300 routers", fleet(300, 120, 3, 5000), 1),
    ];
    let results: BTreeMap<_, _> = thread::scope(|scope| {
        let mut threads = Vec::new();
        for (place, (name, scenario, seeds)) in scenarios.into_iter().enumerate() {
            threads.push(scope.spawn(move || {
                // Large fleets take most of the time, and are played as chosen only.
                let ways = match scenario.routers {
                    ..=9 => ways.to_vec(),
                    _ => ways[ways.len() - 1..].to_vec(),
                };
                let ways = ways.into_iter();
                let results = ways.map(|(way, settings)| (way, play(scenario, settings, seeds)));
                let results: Vec<_> = results.collect();
                ((place, name), (seeds, results))
            }));
        }
        let results = threads.into_iter();
        results
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    });
    let mut broken = Vec::new();
    for ((_, name), (seeds, results)) in &results {
        for (way, (sum, most_late)) in results {
            println!(
                "{name}: {way}: crashes={:.1} most_late={most_late} refused={} of {}",
                sum.crashes as f64 / *seeds as f64,
                sum.refused,
                sum.harmless
            );
            if *way == "chosen" && (*most_late > 3 || sum.refused * 1000 > sum.harmless) {
                broken.push((name, *most_late, *sum));
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
