//! A fleet of routers and four servers of a plain service in virtual time.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

use gateway::{
    pool::{Demand, Fleet, Outcome, Pool},
    route,
};
use load_report::{Report, Shared, Slowdown};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::time::Instant;

use super::scenario::{Figures, Policy, SERVERS, SLOTS, Scenario, Summary};
use crate::world::{START, entry, members, pool_of, server};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// One way, within and between zones.
const NEAR: Duration = Duration::from_micros(250);
const FAR: Duration = Duration::from_micros(3_500);
/// Between two messages of a router to the others.
const ROUND: Duration = Duration::from_millis(200);
/// The servers to which a request is sent at most, as by default.
const MAX_ATTEMPTS: usize = 3;
/// The target of the plain classes.
const TARGET: Duration = Duration::from_millis(150);
/// The time after a favorable report in which the requests at its server are counted.
const HERD_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Attempt(Attempt),
    Done(Attempt),
    Response(Attempt, bool, Option<Figure>),
    Round,
    Message(usize),
}

/// A report in a form that events can be ordered by.
type Figure = (u32, u32, u32, Option<u16>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    router: usize,
    server: usize,
    begun_at: Instant,
    sent_at: Instant,
    tried: Vec<usize>,
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: u32,
    was_slow: bool,
    favorable_at: Option<Instant>,
    reached: VecDeque<Instant>,
}

#[derive(Debug)]
struct Router {
    zone: usize,
    fleet: Fleet,
    pool: Pool,
    own: [u32; SERVERS],
    peers: [u32; SERVERS],
}

#[derive(Debug)]
struct Run {
    scenario: Scenario,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    count: u64,
    now: Instant,
    servers: Vec<Server>,
    routers: Vec<Router>,
    /// The slowdowns and the requests in flight of each round.
    rounds: Vec<(Instant, Vec<Shared>, Vec<[u32; SERVERS]>)>,
    summary: Summary,
}

/// Plays a scenario.
pub fn play(scenario: Scenario) -> Summary {
    let mut run = Run::new(scenario);
    let end = START + scenario.length;
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now = at;
        match event {
            Event::Arrival | Event::Round if at >= end => {}
            event => run.handle(event),
        }
    }
    run.summary
}

fn name(index: usize) -> String {
    format!("s{index}")
}

impl Run {
    fn new(scenario: Scenario) -> Self {
        let hosts = members(scenario.routers);
        let router = |index: usize| {
            let zone = index % ZONES.len();
            let mut entries: Vec<_> = (0..SERVERS)
                .map(|server| entry(&name(server), ZONES[server % ZONES.len()]))
                .collect();
            for entry in &mut entries {
                entry.slots = SLOTS;
            }
            let mut pool = pool_of(ZONES[zone], &entries);
            pool.set_service(route::Service {
                cold_per_s: 0.0,
                cache_tokens: 0,
                health_path: String::new(),
            });
            Router {
                zone,
                fleet: Fleet {
                    own: hosts[index].clone(),
                    members: hosts.clone(),
                },
                pool,
                own: [0; SERVERS],
                peers: [0; SERVERS],
            }
        };
        let mut run = Self {
            scenario,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            events: BinaryHeap::new(),
            count: 0,
            now: START,
            servers: vec![Server::default(); SERVERS],
            routers: (0..scenario.routers).map(router).collect(),
            rounds: Vec::new(),
            summary: Summary::default(),
        };
        run.schedule(Duration::ZERO, Event::Arrival);
        run.schedule(ROUND, Event::Round);
        run
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.count += 1;
        let key = (self.now + after, self.count, event);
        self.events.push(Reverse(key));
    }

    fn uniform(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let gap = -(1.0 - self.uniform()).ln() / self.scenario.rate;
                self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
                let router = self.random.random_range(0..self.routers.len());
                self.summary.requests += 1;
                self.send(router, self.now, Vec::new());
            }
            Event::Attempt(attempt) => self.attempt(attempt),
            Event::Done(attempt) => {
                self.servers[attempt.server].running -= 1;
                self.respond(attempt, true);
            }
            Event::Response(attempt, is_served, figure) => {
                self.response(attempt, is_served, figure);
            }
            Event::Round => {
                self.schedule(ROUND, Event::Round);
                self.exchange();
            }
            Event::Message(round) => self.receive(round),
        }
    }

    /// How long work takes at a server, in percent. One server after the other is slow.
    fn percent(&self, server: usize) -> u16 {
        let (slow, period) = self.scenario.slow;
        let elapsed = self.now.since(START).as_micros();
        let position = elapsed / period.as_micros();
        let is_slow = elapsed % period.as_micros() < slow.as_micros()
            && position % SERVERS as u128 == server as u128;
        if is_slow { self.scenario.percent } else { 100 }
    }

    fn latency(&self, router: usize, server: usize) -> Duration {
        if self.routers[router].zone == server % ZONES.len() {
            NEAR
        } else {
            FAR
        }
    }

    fn send(&mut self, router: usize, begun_at: Instant, tried: Vec<usize>) {
        let Some(server) = self.choose(router, &tried) else {
            self.summary.refused += 1;
            return;
        };
        self.routers[router].own[server] += 1;
        let latency = self.latency(router, server);
        let attempt = Attempt {
            router,
            server,
            begun_at,
            sent_at: self.now,
            tried,
        };
        self.schedule(latency, Event::Attempt(attempt));
    }

    fn choose(&mut self, router: usize, tried: &[usize]) -> Option<usize> {
        let mut others: Vec<usize> = (0..SERVERS)
            .filter(|server| !tried.contains(server))
            .collect();
        if others.is_empty() {
            return None;
        }
        let now = self.now;
        let first = self.random.random_range(0..others.len());
        others.swap(0, first);
        let state = &mut self.routers[router];
        match self.scenario.policy {
            Policy::Reported | Policy::Previous => {
                let demand = Demand {
                    tried: tried.iter().map(|index| server(&name(*index))).collect(),
                    ..Demand::default()
                };
                let placement = state.pool.admit(&demand, &state.fleet, now).ok()?;
                (0..SERVERS).find(|index| placement.server == server(&name(*index)))
            }
            Policy::LeastOwn => others.into_iter().min_by_key(|server| state.own[*server]),
            Policy::TwoChoices => {
                if others.len() > 1 {
                    let second = self.random.random_range(1..others.len());
                    others.swap(1, second);
                }
                let drawn = others.into_iter().take(2);
                drawn.min_by_key(|server| state.own[*server] + state.peers[*server])
            }
        }
    }

    fn attempt(&mut self, attempt: Attempt) {
        let percent = self.percent(attempt.server);
        let factor = f64::from(percent) / 100.0 * (0.5 + self.uniform());
        let now = self.now;
        let server = &mut self.servers[attempt.server];
        if percent > 100 {
            self.summary.at_slow += 1;
        }
        if server.favorable_at.is_some_and(|at| now < at + HERD_TIME) {
            server.reached.push_back(now);
            self.summary.herd = self.summary.herd.max(server.reached.len());
        }
        if server.running >= SLOTS {
            self.summary.rejections += 1;
            self.respond(attempt, false);
            return;
        }
        server.running += 1;
        let time = self.scenario.work.mul_f64(factor);
        self.schedule(time, Event::Done(attempt));
    }

    fn respond(&mut self, attempt: Attempt, is_served: bool) {
        let percent = self.percent(attempt.server);
        let server = &mut self.servers[attempt.server];
        if server.was_slow && percent == 100 {
            server.favorable_at = Some(self.now);
            server.reached.clear();
        }
        server.was_slow = percent > 100;
        let figure = match self.scenario.figures {
            Figures::Unreadable if attempt.server == 0 => None,
            Figures::Fixed(report) if attempt.server == 0 => Some((
                report.running,
                report.waiting,
                report.slots,
                report.slowdown.map(Slowdown::percent),
            )),
            _ => Some((server.running, 0, SLOTS, Some(percent))),
        };
        let latency = self.latency(attempt.router, attempt.server);
        self.schedule(latency, Event::Response(attempt, is_served, figure));
    }

    fn response(&mut self, attempt: Attempt, is_served: bool, figure: Option<Figure>) {
        let now = self.now;
        let is_reported = self.scenario.policy == Policy::Reported;
        let router = &mut self.routers[attempt.router];
        router.own[attempt.server] -= 1;
        let name = server(&name(attempt.server));
        if let Some((running, waiting, slots, percent)) = figure {
            let percent = percent.filter(|_| is_reported);
            let slowdown = percent.map(|percent| Slowdown::from_percent(percent).expect("valid"));
            let report = Report {
                running,
                waiting,
                slots,
                slowdown,
            };
            router.pool.record_load_report(&name, 1, report, now);
        }
        if is_served {
            let waited = now.since(attempt.sent_at);
            let usual = Duration::from_millis(40);
            let expected = router.pool.expected_first_byte(&name, usual, now);
            let state = router.pool.server_mut(&name).expect("the server");
            state.record_first_byte(waited, expected, now);
            router.pool.record_time(&name, waited, expected, now);
            router.pool.ended(&name, Outcome::Completed, now);
            let total = now.since(attempt.begun_at);
            self.summary.total += total;
            if total > TARGET {
                self.summary.late += 1;
            }
            return;
        }
        router.pool.ended(&name, Outcome::Full, now);
        let mut tried = attempt.tried;
        tried.push(attempt.server);
        if tried.len() >= MAX_ATTEMPTS {
            self.summary.refused += 1;
            return;
        }
        self.send(attempt.router, attempt.begun_at, tried);
    }

    /// All routers send what they know; lost messages are those that a receiver does not get.
    fn exchange(&mut self) {
        let now = self.now;
        let routers = self.routers.iter();
        let updates = routers.flat_map(|router| router.pool.slowdown_updates(now));
        let shared: Vec<Shared> = updates.map(|update| update.shared).collect();
        let loads = self.routers.iter().map(|router| router.own).collect();
        self.rounds.push((now, shared, loads));
        self.schedule(self.scenario.delay, Event::Message(self.rounds.len() - 1));
    }

    fn receive(&mut self, round: usize) {
        let (sent_at, shared, loads) = self.rounds[round].clone();
        let mut shared = shared;
        for report in &mut shared {
            report.age.0 += self.now.since(sent_at).as_millis() as u64;
        }
        shared.sort_by_key(|report| report.server);
        let sum = |server: usize| loads.iter().map(|own| own[server]).sum::<u32>();
        let sums: Vec<u32> = (0..SERVERS).map(sum).collect();
        for (index, own) in loads.iter().enumerate() {
            if self.uniform() < self.scenario.loss {
                continue;
            }
            let router = &mut self.routers[index];
            for (server, total) in sums.iter().enumerate() {
                router.peers[server] = total - own[server];
            }
            let peers = router.peers;
            router.pool.set_peer_load(|name| {
                let index = (0..SERVERS).find(|index| *name == server(&self::name(*index)));
                index.map_or(0, |index| peers[index])
            });
            router.pool.record_peer_slowdowns(&shared, self.now);
        }
    }
}
