//! An emulator of routers and engines in virtual time, in steps of a millisecond.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use footprint::{Tokens, Usage};
use gateway::{
    pool::{Demand, Denial, Fleet, Outcome, Part, Placement, Pool},
    queue::{self, Admission, Queue},
    roster,
    route::{Kind, Route, Service},
    settings::Bounds,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{backend, chat, cost::Cost, request, time::Instant, time::Millis};

use super::engine::{Engine, Job, Report};
use crate::world::{START, bounds, entry, host, members, workspace};

/// The memory of an engine, in tokens.
pub const MEMORY: u64 = 392_112;
/// The requests that an engine runs concurrently.
pub const SLOTS: u32 = 12;
/// The interval at which routers exchange their loads.
const EXCHANGE_MS: u64 = 200;
/// The tokens in one event.
const EVENT_TOKENS: u64 = 9;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub rank: u8,
    pub per_s: f64,
    /// The topics whose shared part is common; zero if each request has one of its own.
    pub topics: u64,
    pub shared: u32,
    /// The range of the tokens that belong to one request, drawn log-uniformly.
    pub own: (u32, u32),
    pub events: u64,
    pub target_ms: u64,
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub routers: usize,
    pub engines: usize,
    pub seconds: u64,
    pub is_contended: bool,
    /// How far hints are off, as a factor in either direction.
    pub hint_error: f64,
    pub classes: Vec<Class>,
    pub seed: u64,
    /// The instant in milliseconds at which an engine restarts.
    pub restart_ms: Option<u64>,
}

/// What the callers of one class saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent: usize,
    pub refused: usize,
    pub first_ms: Vec<u64>,
}

impl Seen {
    /// The time to the first event that so many of a hundred served requests do not exceed.
    pub fn percentile(&self, percent: usize) -> u64 {
        let mut times = self.first_ms.clone();
        times.sort_unstable();
        let index = (times.len() * percent / 100).min(times.len().saturating_sub(1));
        times.get(index).copied().unwrap_or(0)
    }

    /// The share of all requests that got their first event within the target.
    pub fn in_time(&self, target_ms: u64) -> f64 {
        let in_time = self.first_ms.iter().filter(|ms| **ms <= target_ms).count();
        in_time as f64 / self.sent.max(1) as f64
    }
}

/// The result of a play.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub classes: Vec<Seen>,
    pub preemptions: u32,
    /// The runs that began, those of preempted requests included.
    pub runs: u32,
    /// The tokens that all pools hold after all requests have ended.
    pub leaked: u64,
    /// The longest time by which a request was placed after its latest start.
    pub overdue_ms: u64,
}

#[derive(Clone, Debug)]
struct Sent {
    class: usize,
    arrived_ms: u64,
    latest_start: Instant,
    router: usize,
    demand: Demand,
    output: u64,
    server: Option<backend::Server>,
    uncached: Cost,
}

struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    now_ms: u64,
    queues: Vec<Queue>,
    fleets: Vec<Fleet>,
    engines: BTreeMap<backend::Server, Engine>,
    entries: Vec<roster::Entry>,
    sent: Vec<Sent>,
    summary: Summary,
}

/// Plays a plan.
pub fn play(plan: Plan) -> Summary {
    let mut world = World::new(plan);
    let end_ms = world.plan.seconds * 1000;
    while world.now_ms < end_ms || world.engines.values().any(|engine| !engine.is_idle()) {
        world.step(world.now_ms < end_ms);
        world.now_ms += 1;
        assert!(world.now_ms < end_ms + 60_000, "requests do not end");
    }
    let pools = world.queues.iter().map(Queue::pool);
    let names: Vec<_> = world.engines.keys().cloned().collect();
    let held = pools.flat_map(|pool| names.iter().map(|name| pool.held_memory(name).0));
    world.summary.leaked = held.sum();
    world.summary.preemptions = world
        .engines
        .values()
        .map(|engine| engine.preemptions)
        .sum();
    world.summary.runs = world.engines.values().map(|engine| engine.runs).sum();
    world.summary
}

fn route(class: &Class) -> Route {
    Route {
        name: String::from("route"),
        kind: Kind::Stream,
        timeout: Millis(12_000),
        target: Millis(class.target_ms),
        rank: class.rank,
        splits: smallvec::SmallVec::new(),
        max_attempts: 1,
        is_anonymous: true,
    }
}

impl World {
    fn new(plan: Plan) -> Self {
        let zones = ["a", "b", "c", "d"];
        let entries: Vec<_> = (0..plan.engines)
            .map(|index| roster::Entry {
                slots: SLOTS,
                ..entry(&format!("e{index}"), zones[index % zones.len()])
            })
            .collect();
        let routes: Vec<Route> = plan.classes.iter().map(route).collect();
        let queue = |router: usize| {
            let zone = zones[router % zones.len()].parse().expect("a valid name");
            let bounds = Bounds {
                is_contended: plan.is_contended,
                ..bounds()
            };
            let mut pool = Pool::new(zone, bounds);
            pool.set_service(Service {
                cold_per_s: 0.0,
                cache_tokens: MEMORY,
                health_path: String::new(),
            });
            pool.set_servers(entries.iter().map(|entry| (entry, false)));
            pool.set_routes(routes.iter());
            Queue::new(pool)
        };
        let fleet = |router: usize| Fleet {
            own: host(&format!("r{router}")),
            members: members(plan.routers),
        };
        let engines = entries
            .iter()
            .map(|entry| (entry.server.clone(), Engine::default()));
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now_ms: 0,
            queues: (0..plan.routers).map(queue).collect(),
            fleets: (0..plan.routers).map(fleet).collect(),
            engines: engines.collect(),
            entries: entries.clone(),
            sent: Vec::new(),
            summary: Summary {
                classes: vec![Seen::default(); plan.classes.len()],
                ..Summary::default()
            },
            plan,
        }
    }

    fn now(&self) -> Instant {
        START + Duration::from_millis(self.now_ms)
    }

    fn step(&mut self, accepts: bool) {
        if self.now_ms.is_multiple_of(EXCHANGE_MS) {
            self.exchange_loads();
        }
        if self.plan.restart_ms == Some(self.now_ms) {
            self.restart();
        }
        for class in 0..self.plan.classes.len() {
            let chance = self.plan.classes[class].per_s / 1000.0;
            if accepts && self.rng.random_bool(chance) {
                self.arrive(class);
            }
        }
        let reports: Vec<Report> = self.engines.values_mut().flat_map(Engine::step).collect();
        for report in reports {
            self.report(report);
        }
        for router in 0..self.queues.len() {
            let wake = self.queues[router].next_wake();
            if wake.is_some_and(|at| at <= self.now()) {
                self.dequeue(router);
            }
        }
    }

    /// Each router learns what the others have in flight now.
    fn exchange_loads(&mut self) {
        let counts = |queue: &Queue| -> BTreeMap<backend::Server, u32> {
            let servers = queue.pool().servers();
            servers
                .map(|server| (server.name().clone(), server.running()))
                .collect()
        };
        let all: Vec<_> = self.queues.iter().map(counts).collect();
        for (router, queue) in self.queues.iter_mut().enumerate() {
            queue.pool_mut().set_peer_load(|name| {
                let others = all.iter().enumerate().filter(|(other, _)| *other != router);
                others.map(|(_, counts)| counts[name]).sum()
            });
        }
        for router in 0..self.queues.len() {
            self.dequeue(router);
        }
    }

    /// The first engine ends with all its requests and starts again.
    fn restart(&mut self) {
        let name = self.entries[0].server.clone();
        self.entries[0].incarnation += 1;
        let engine = self.engines.get_mut(&name).expect("the engine");
        let lost = engine.restart();
        // The entry is replaced before all of the broken connections are noticed.
        for queue in &mut self.queues {
            let entries = self.entries.iter().map(|entry| (entry, false));
            queue.pool_mut().set_servers(entries);
        }
        for number in lost {
            self.end(number, Outcome::Broken);
        }
    }

    fn arrive(&mut self, class: usize) {
        let number = self.sent.len();
        let kind = self.plan.classes[class];
        let (least, most) = (f64::from(kind.own.0), f64::from(kind.own.1));
        let own = (least * (most / least).powf(self.rng.random())) as u32;
        let topic = match kind.topics {
            0 => 1_000_000 + number as u64,
            topics => self.rng.random_range(0..topics),
        };
        let output = kind.events * EVENT_TOKENS;
        let error = self.plan.hint_error.powf(self.rng.random_range(-1.0..=1.0));
        let part = |key, tokens| Part {
            key: chat::Key(key),
            tokens,
        };
        let base = (class as u64 + 1) << 40;
        let demand = Demand {
            parts: [
                part(base + topic, kind.shared),
                part((1 << 50) + number as u64, own),
            ]
            .into_iter()
            .collect(),
            request: footprint::Request(number as u64),
            usage: Usage {
                prompt: Some(Tokens(u64::from(kind.shared + own))),
                hint: Some(Tokens((output as f64 * error) as u64)),
                most: Some(Tokens(output * 8)),
            },
            route_rank: kind.rank,
            deferrable_until: self.now() + Duration::from_millis(kind.target_ms * 2 * 3 / 4),
            ..Demand::default()
        };
        let router = self.rng.random_range(0..self.plan.routers);
        let latest_start = self.now() + Duration::from_millis(kind.target_ms * 2);
        let submitted = queue::Request {
            attempt: request::Attempt(number as u64),
            workspace: workspace(&format!("w{}", self.rng.random_range(0..24))),
            cost: Cost(u64::from(kind.shared + own) + 20 * output),
            rank: kind.rank,
            latest_start,
            demand: demand.clone(),
        };
        self.summary.classes[class].sent += 1;
        self.sent.push(Sent {
            class,
            arrived_ms: self.now_ms,
            latest_start,
            router,
            demand,
            output,
            server: None,
            uncached: Cost(0),
        });
        let now = self.now();
        match self.queues[router].submit(submitted, &self.fleets[router], now) {
            Admission::Placed(placement) => self.place(number, &placement),
            Admission::Refused(refusal) => self.refuse(number, refusal.denial),
            Admission::Queued if kind.rank == 0 => self.dequeue(router),
            Admission::Queued => {}
        }
    }

    fn refuse(&mut self, number: usize, denial: Denial) {
        assert!(
            !matches!(denial, Denial::Oversized(_)),
            "{number}: {denial:?}"
        );
        self.summary.classes[self.sent[number].class].refused += 1;
    }

    fn place(&mut self, number: usize, placement: &Placement) {
        let late = self.now().since(self.sent[number].latest_start);
        let late = u64::try_from(late.as_millis()).expect("a short time");
        self.summary.overdue_ms = self.summary.overdue_ms.max(late);
        let sent = &mut self.sent[number];
        sent.server = Some(placement.server.clone());
        sent.uncached = placement.uncached;
        let engine = self.engines.get_mut(&placement.server).expect("the engine");
        engine.accept(Job::new(
            number,
            self.plan.classes[sent.class].rank,
            &sent.demand.parts,
            sent.output,
        ));
    }

    fn dequeue(&mut self, router: usize) {
        let now = self.now();
        let mut dequeued: VecDeque<_> = self.queues[router]
            .dequeue(&self.fleets[router], now)
            .into();
        while let Some((attempt, result)) = dequeued.pop_front() {
            let number = usize::try_from(attempt.0).expect("a small number");
            match result {
                Ok(placement) => self.place(number, &placement),
                Err(refusal) => self.refuse(number, refusal.denial),
            }
        }
    }

    fn report(&mut self, report: Report) {
        match report {
            Report::First(number) => self.first_event(number),
            Report::Ended(number) => self.end(number, Outcome::Completed),
        }
    }

    fn first_event(&mut self, number: usize) {
        let now = self.now();
        let sent = self.sent[number].clone();
        let waited = self.now_ms - sent.arrived_ms;
        self.summary.classes[sent.class].first_ms.push(waited);
        let name = sent.server.expect("a server");
        let pool = self.queues[sent.router].pool_mut();
        let has_room = pool.record_first_event(&name, sent.demand.request);
        let server = pool.server_mut(&name).expect("the server");
        server.end_prefill(sent.uncached);
        server.record_cached(&sent.demand.parts, now);
        if has_room {
            self.dequeue(sent.router);
        }
    }

    fn end(&mut self, number: usize, outcome: Outcome) {
        let now = self.now();
        let sent = self.sent[number].clone();
        let name = sent.server.expect("a server");
        let pieces = u32::try_from(sent.output / EVENT_TOKENS).expect("a small number");
        let queue = &mut self.queues[sent.router];
        let pieces = (outcome == Outcome::Completed).then_some(pieces);
        queue
            .pool_mut()
            .release_memory(&name, sent.demand.request, pieces);
        queue.ended(&name, &workspace("w"), outcome, now);
        self.dequeue(sent.router);
    }
}
