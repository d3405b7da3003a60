//! A day in virtual time: callers, routers with their queues, and engines.

mod exchange;
mod requests;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use gateway::{
    pool::{Fleet, Pool},
    queue::Queue,
    roster, route,
    settings::Bounds,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scheduling::{Usage, rank};
use units::{backend, cost::Cost, time::Instant, workspace};

use super::{
    engine::Engine,
    scenario::{CLASSES, SLOTS, Scenario},
};
use crate::world;

/// The interval of the exchange between routers.
const EXCHANGE_MS: u64 = 200;
/// The delay of a sum through the aggregators, so that it is 250 to 450 ms old.
const EXCHANGE_DELAY_MS: u64 = 250;
/// How long the last sum of the loads counts.
const SUM_TTL_MS: u64 = 800;
/// The zones over which routers and engines are spread.
const ZONES: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Begin(usize, u32),
    End(usize, u32),
    Exchange,
    Receive(usize),
    Wake(usize),
    Die,
}

/// The state of a caller's request.
#[derive(Clone, Debug)]
struct Call {
    class: usize,
    workspace: usize,
    router: usize,
    arrived_ms: f64,
    tries: u32,
    /// The number of the present try, so that events of former ones are recognized.
    attempt: u32,
    submitted_at: Instant,
    sent_at: Instant,
    engine: Option<usize>,
    uncached: Cost,
    tried: Vec<backend::Server>,
    first_at: Option<Instant>,
    is_running: bool,
}

/// What routers tell each other in one round.
#[derive(Clone, Debug, Default)]
struct Sums {
    loads: Vec<Vec<u32>>,
    usages: Vec<Vec<Usage>>,
    sent_ms: u64,
}

/// What became of the requests of one class or workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub calls: u32,
    pub served: u32,
    pub in_time: u32,
}

impl Tally {
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

/// What became of a day's requests.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub classes: [Tally; 3],
    pub workspaces: Vec<Tally>,
    /// By class and second.
    pub seconds: Vec<[Tally; 3]>,
    pub rejected: u32,
    pub refused: u32,
    /// The longest queue of an engine in each second.
    pub waiting: Vec<usize>,
    /// Requests that returned within each tenth of a second.
    pub returns: BTreeMap<u64, u32>,
    /// Requests that run, by class, summed over the rounds of the exchange.
    pub running: [u64; 3],
    /// Slots, summed over the rounds of the exchange.
    pub slots: u64,
    /// Milliseconds that chats waited at routers and at engines, and their number.
    pub chat_waits: (f64, f64, u32),
}

pub struct World {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    routers: Vec<Queue>,
    is_dead: Vec<bool>,
    heard_ms: Vec<u64>,
    wakes: Vec<Option<Instant>>,
    fleets: Vec<Fleet>,
    engines: Vec<Engine>,
    names: Vec<backend::Server>,
    workspaces: Vec<workspace::Id>,
    calls: Vec<Call>,
    sums: BTreeMap<u64, Sums>,
    own: Vec<Vec<u32>>,
    report: Report,
}

/// Plays a day.
pub fn play(scenario: &Scenario) -> Report {
    let mut world = World::new(scenario.clone());
    world.generate();
    world.run();
    world.report
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let zone = |index: usize| format!("z{}", index % ZONES);
        let entries: Vec<roster::Entry> = (0..scenario.engines)
            .map(|index| {
                let mut entry = world::entry(&format!("engine-{index}"), &zone(index));
                entry.slots = SLOTS as u32;
                entry
            })
            .collect();
        let queue = |router: usize| {
            let bounds = Bounds {
                is_contended: scenario.is_contended,
                ..Bounds::default()
            };
            let name = zone(router).parse().expect("a valid name");
            let mut pool = Pool::new(name, bounds);
            pool.set_service(route::Service {
                cold_per_s: 0.0,
                ..world::engine()
            });
            pool.set_servers(entries.iter().map(|entry| (entry, false)));
            let mut queue = Queue::new(pool);
            queue.set_ranks(CLASSES.iter().map(|class| rank::combine(class.rank, 0)));
            queue
        };
        let routers: Vec<Queue> = (0..scenario.routers).map(queue).collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            now: world::START,
            events: BinaryHeap::new(),
            sequence: 0,
            is_dead: vec![false; routers.len()],
            heard_ms: vec![0; routers.len()],
            wakes: vec![None; routers.len()],
            own: vec![vec![0; entries.len()]; routers.len()],
            routers,
            fleets: world::members(scenario.routers)
                .into_iter()
                .map(|own| Fleet {
                    own,
                    members: world::members(scenario.routers),
                })
                .collect(),
            engines: entries.iter().map(|_| Engine::new(SLOTS)).collect(),
            names: entries.iter().map(|entry| entry.server.clone()).collect(),
            workspaces: (0..scenario.workspaces)
                .map(|index| world::workspace(&format!("w{index}")))
                .collect(),
            calls: Vec::new(),
            sums: BTreeMap::new(),
            report: Report {
                workspaces: vec![Tally::default(); scenario.workspaces],
                ..Report::default()
            },
            scenario,
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn at_ms(&self, ms: f64) -> Instant {
        world::START + Duration::from_secs_f64(ms / 1_000.0)
    }

    fn now_ms(&self) -> u64 {
        self.now.since(world::START).as_millis() as u64
    }

    /// Draws the arrivals of each workspace and class.
    fn generate(&mut self) {
        let scenario = self.scenario.clone();
        let weights: Vec<f64> = (0..scenario.workspaces)
            .map(|index| 1.0 / ((index + 1) as f64).powf(scenario.skew))
            .collect();
        let total: f64 = weights.iter().sum();
        let hot = scenario.hot;
        for class in 0..CLASSES.len() {
            for (workspace, weight) in weights.iter().enumerate() {
                let usual = scenario.per_s(class) * weight / total;
                let mut ms = 0.0;
                // Arrivals of the highest rate are thinned out to the rate at their time.
                let hot_rate = if workspace == hot {
                    scenario.hot_rate
                } else {
                    1.0
                };
                let most = usual * scenario.surge[class].max(1.0) * hot_rate;
                loop {
                    ms -= (1.0 - self.rng.random::<f64>()).ln() / most * 1_000.0;
                    if ms >= scenario.duration_ms as f64 {
                        break;
                    }
                    let is_surge = scenario.surge_ms.contains(&(ms as u64));
                    let rate = if is_surge {
                        usual * scenario.surge[class] * hot_rate
                    } else {
                        usual
                    };
                    let is_kept = self.rng.random::<f64>() * most < rate;
                    let router = if scenario.is_uneven {
                        0
                    } else {
                        self.rng.random_range(0..scenario.routers)
                    };
                    if is_kept {
                        self.add_call(class, workspace, router, ms);
                    }
                }
            }
        }
        self.push(world::START, Event::Exchange);
        if let Some(ms) = scenario.death_ms {
            let at = self.at_ms(ms as f64);
            self.push(at, Event::Die);
        }
    }

    fn add_call(&mut self, class: usize, workspace: usize, router: usize, ms: f64) {
        let call = self.calls.len();
        self.calls.push(Call {
            class,
            workspace,
            router,
            arrived_ms: ms,
            tries: 0,
            attempt: 0,
            submitted_at: self.now,
            sent_at: self.now,
            engine: None,
            uncached: Cost(0),
            tried: Vec::new(),
            first_at: None,
            is_running: false,
        });
        let at = self.at_ms(ms);
        self.push(at, Event::Arrive(call));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrive(call) => self.arrive(call),
                Event::Begin(call, attempt) => self.first_event(call, attempt),
                Event::End(call, attempt) => self.end(call, attempt),
                Event::Exchange => self.exchange(),
                Event::Receive(router) => self.receive(router),
                Event::Wake(router) => self.wake(router),
                Event::Die => self.die(),
            }
        }
        self.finish();
    }

    fn finish(&mut self) {
        let seconds = self.scenario.duration_ms.div_ceil(1_000) as usize;
        self.report.seconds = vec![Default::default(); seconds];
        for call in &self.calls {
            let class = &CLASSES[call.class];
            let waited = call
                .first_at
                .map(|at| at.since(world::START).as_secs_f64() * 1_000.0 - call.arrived_ms);
            let is_served = waited.is_some();
            let target_ms = class.target.as_secs_f64() * 1_000.0;
            let is_in_time = waited.is_some_and(|waited| waited <= target_ms);
            let second = (call.arrived_ms / 1_000.0) as usize;
            if !self.scenario.counted_ms.contains(&(call.arrived_ms as u64)) {
                continue;
            }
            for tally in [
                &mut self.report.classes[call.class],
                &mut self.report.workspaces[call.workspace],
                &mut self.report.seconds[second][call.class],
            ] {
                tally.calls += 1;
                tally.served += u32::from(is_served);
                tally.in_time += u32::from(is_in_time);
            }
        }
    }

    fn deadline(&self, call: usize) -> Instant {
        let call = &self.calls[call];
        self.at_ms(call.arrived_ms) + CLASSES[call.class].deadline
    }
}
