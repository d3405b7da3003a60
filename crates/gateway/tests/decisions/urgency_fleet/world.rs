//! A day in virtual time: callers, routers with their queues, and engines.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use gateway::{
    pool::{Demand, Fleet, Outcome, Part, Pool},
    queue::{Admission, Dequeued, Queue, Request},
    roster, route,
    settings::Bounds,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use scheduling::Usage;
use units::{backend, chat, cost::Cost, request::Attempt, time::Instant, workspace};

use super::{
    engine::{Arrival, Engine},
    scenario::{CLASSES, Exchange, SLOTS, Scenario},
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
            queue.set_ranks(CLASSES.iter().map(|class| class.rank));
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
        // A workspace in the middle of the order, which is not large by itself.
        let hot = scenario.workspaces / 4;
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

    fn arrive(&mut self, call: usize) {
        let router = self.calls[call].router;
        if self.is_dead[router] {
            // Callers find another router.
            self.calls[call].router = (router + 1) % self.routers.len();
        }
        if self.now >= self.deadline(call) {
            return;
        }
        self.calls[call].tries += 1;
        self.calls[call].tried.clear();
        self.submit(call);
    }

    fn submit(&mut self, call: usize) {
        self.calls[call].attempt += 1;
        self.calls[call].submitted_at = self.now;
        let state = &self.calls[call];
        let class = &CLASSES[state.class];
        let key = state.class as u64 * 100;
        let demand = Demand {
            parts: [
                Part {
                    key: chat::Key(key + 1),
                    tokens: class.shared_tokens,
                },
                Part {
                    key: chat::Key(1_000_000 + call as u64),
                    tokens: class.own_tokens,
                },
            ]
            .into_iter()
            .collect(),
            tried: state.tried.iter().cloned().collect(),
            ..Demand::default()
        };
        let half_left = self.deadline(call).since(self.now) / 2;
        let request = Request {
            attempt: Attempt(call as u64),
            workspace: self.workspaces[state.workspace].clone(),
            cost: Cost(u64::from(class.own_tokens) + class.output_tokens),
            rank: class.rank,
            latest_start: self.now + half_left.min(class.target * 2),
            demand,
        };
        let router = state.router;
        match self.routers[router].submit(request, &self.fleets[router], self.now) {
            Admission::Placed(placement) => self.send(call, &placement.server, placement.uncached),
            Admission::Refused(refusal) => self.refuse(call, refusal.retry_at),
            Admission::Queued => {}
        }
        self.schedule_wake(router);
    }

    fn refuse(&mut self, call: usize, retry_at: Instant) {
        self.report.refused += 1;
        if self.calls[call].tries > self.scenario.retries {
            return;
        }
        // Half of the callers retry at once.
        let at = if call.is_multiple_of(2) {
            self.now + Duration::from_millis(20)
        } else {
            retry_at
        };
        let tenth = at.since(world::START).as_millis() as u64 / 100;
        if !call.is_multiple_of(2) {
            *self.report.returns.entry(tenth).or_default() += 1;
        }
        self.push(at, Event::Arrive(call));
    }

    fn send(&mut self, call: usize, server: &backend::Server, uncached: Cost) {
        let found = self.names.iter().position(|name| name == server);
        let engine = found.expect("a known engine");
        let router = self.calls[call].router;
        self.own[router][engine] += 1;
        let state = &mut self.calls[call];
        state.engine = Some(engine);
        state.sent_at = self.now;
        state.uncached = uncached;
        state.tried.push(server.clone());
        let rank = CLASSES[state.class].rank;
        match self.engines[engine].arrive(call, rank) {
            Arrival::Started => self.start(call),
            Arrival::Waiting => {
                let second = self.now_ms() as usize / 1_000;
                let waiting = self.engines[engine].waiting_count();
                if self.report.waiting.len() <= second {
                    self.report.waiting.resize(second + 1, 0);
                }
                let most = &mut self.report.waiting[second];
                *most = waiting.max(*most);
            }
            Arrival::Rejected => {
                self.report.rejected += 1;
                self.ended(call, Outcome::Full);
                if self.calls[call].tried.len() < 3 {
                    self.submit(call);
                } else {
                    let at = self.now + Duration::from_millis(200);
                    self.refuse(call, at);
                }
            }
        }
    }

    fn start(&mut self, call: usize) {
        if self.calls[call].class == 0 {
            let state = &self.calls[call];
            let submitted = state.submitted_at.since(world::START).as_secs_f64();
            let sent = state.sent_at.since(world::START).as_secs_f64();
            let waits = &mut self.report.chat_waits;
            waits.0 += sent - submitted;
            waits.1 += self.now.since(state.sent_at).as_secs_f64();
            waits.2 += 1;
        }
        self.calls[call].is_running = true;
        let state = &self.calls[call];
        let (class, attempt) = (&CLASSES[state.class], state.attempt);
        let first = self.now + class.first;
        let end = self.now + class.run;
        self.push(first, Event::Begin(call, attempt));
        self.push(end, Event::End(call, attempt));
    }

    fn first_event(&mut self, call: usize, attempt: u32) {
        let deadline = self.deadline(call);
        let state = &mut self.calls[call];
        let Some(engine) = state.engine.filter(|_| state.attempt == attempt) else {
            return;
        };
        if self.now <= deadline && state.first_at.is_none() {
            state.first_at = Some(self.now);
        }
        let name = self.names[engine].clone();
        let pool = self.routers[state.router].pool_mut();
        if let Some(server) = pool.server_mut(&name) {
            server.end_prefill(state.uncached);
            let shared = Part {
                key: chat::Key(state.class as u64 * 100 + 1),
                tokens: CLASSES[state.class].shared_tokens,
            };
            server.record_cached(&[shared], self.now);
        }
    }

    fn end(&mut self, call: usize, attempt: u32) {
        let Some(engine) = self.calls[call].engine else {
            return;
        };
        if self.calls[call].attempt != attempt {
            return;
        }
        self.engines[engine].end();
        self.calls[call].is_running = false;
        self.ended(call, Outcome::Completed);
        self.run_next(engine);
    }

    /// Runs the next requests of an engine's queue, unless their callers have left.
    fn run_next(&mut self, engine: usize) {
        while let Some(next) = self.engines[engine].next() {
            if self.now >= self.deadline(next) || self.is_dead[self.calls[next].router] {
                self.ended(next, Outcome::Cancelled);
            } else {
                self.engines[engine].start();
                self.start(next);
            }
        }
    }

    /// Tells the router that its request has ended.
    fn ended(&mut self, call: usize, outcome: Outcome) {
        let state = &mut self.calls[call];
        let Some(engine) = state.engine.take() else {
            return;
        };
        let router = state.router;
        let workspace = self.workspaces[state.workspace].clone();
        let had_first = state.first_at.is_some();
        let uncached = state.uncached;
        self.own[router][engine] = self.own[router][engine].saturating_sub(1);
        let name = self.names[engine].clone();
        let queue = &mut self.routers[router];
        if !had_first && let Some(server) = queue.pool_mut().server_mut(&name) {
            server.end_prefill(uncached);
        }
        // The standing of the server does not matter here.
        let _ = queue.ended(&name, &workspace, outcome, self.now);
        self.dequeue(router);
    }

    fn dequeue(&mut self, router: usize) {
        if self.is_dead[router] {
            return;
        }
        let dequeued: Vec<Dequeued> = self.routers[router].dequeue(&self.fleets[router], self.now);
        for (attempt, result) in dequeued {
            let call = attempt.0 as usize;
            match result {
                Ok(placement) => self.send(call, &placement.server, placement.uncached),
                Err(refusal) => self.refuse(call, refusal.retry_at),
            }
        }
        self.schedule_wake(router);
    }

    fn schedule_wake(&mut self, router: usize) {
        if let Some(at) = self.routers[router].next_wake() {
            let at = at.max(self.now + Duration::from_millis(1));
            if self.wakes[router].is_none_or(|scheduled| at < scheduled) {
                self.wakes[router] = Some(at);
                self.push(at, Event::Wake(router));
            }
        }
    }

    fn wake(&mut self, router: usize) {
        if self.wakes[router] == Some(self.now) {
            self.wakes[router] = None;
            self.dequeue(router);
        }
    }

    fn die(&mut self) {
        let router = 1 % self.routers.len();
        self.is_dead[router] = true;
        self.own[router].fill(0);
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.router != router {
                continue;
            }
            // Its connections break, so its engines stop running its requests.
            if let Some(engine) = state.engine
                && state.first_at.is_some()
            {
                self.calls[call].engine = None;
                self.engines[engine].end();
                self.run_next(engine);
            }
        }
    }

    fn exchange(&mut self) {
        let round = self.now_ms();
        if self.scenario.counted_ms.contains(&round) {
            for call in &self.calls {
                if call.is_running {
                    self.report.running[call.class] += 1;
                }
            }
            self.report.slots += (SLOTS * self.engines.len()) as u64;
        }
        let sums = Sums {
            loads: self.own.clone(),
            usages: self.routers.iter().map(Queue::usages).collect(),
            sent_ms: round,
        };
        self.sums.insert(round, sums);
        for router in 0..self.routers.len() {
            // The rounds of routers are not aligned.
            let offset = (router as u64 * 37) % EXCHANGE_MS;
            let at = self.now + Duration::from_millis(EXCHANGE_DELAY_MS + offset);
            self.push(at, Event::Receive(router));
        }
        if round < self.scenario.duration_ms {
            let next = self.now + Duration::from_millis(EXCHANGE_MS);
            self.push(next, Event::Exchange);
        }
        self.sums.retain(|sent, _| sent + 2_000 > round);
    }

    /// Whether `router` hears what `other` sent.
    fn hears(&self, router: usize, other: usize, sent_ms: u64) -> bool {
        let is_apart = |router: usize| router.is_multiple_of(ZONES);
        match &self.scenario.exchange {
            Exchange::Whole => true,
            Exchange::Silent => false,
            Exchange::OneWay(time) => {
                !time.contains(&sent_ms) || !is_apart(router) || is_apart(other)
            }
            Exchange::Partition(time) => {
                !time.contains(&sent_ms) || is_apart(router) == is_apart(other)
            }
        }
    }

    fn receive(&mut self, router: usize) {
        if self.is_dead[router] {
            return;
        }
        let now_ms = self.now_ms();
        let latest = now_ms - EXCHANGE_DELAY_MS;
        let Some((_, sums)) = self.sums.range(..=latest).next_back() else {
            return;
        };
        let heard: Vec<usize> = (0..self.routers.len())
            .filter(|&other| other != router && !self.is_dead[other])
            .filter(|&other| self.hears(router, other, sums.sent_ms))
            .collect();
        if heard.is_empty() && now_ms < self.heard_ms[router] + SUM_TTL_MS {
            return;
        }
        if !heard.is_empty() {
            self.heard_ms[router] = now_ms;
        }
        let mut loads = vec![0; self.engines.len()];
        let mut usages: BTreeMap<u32, u32> = BTreeMap::new();
        for &other in &heard {
            for (sum, load) in loads.iter_mut().zip(&sums.loads[other]) {
                *sum += load;
            }
            for usage in &sums.usages[other] {
                *usages.entry(usage.workspace).or_default() += usage.running;
            }
        }
        let names = self.names.clone();
        let queue = &mut self.routers[router];
        let load = |name: &backend::Server| {
            let engine = names.iter().position(|other| other == name);
            engine.map_or(0, |engine| loads[engine])
        };
        queue.pool_mut().set_peer_load(load);
        if !heard.is_empty() {
            let usages = usages
                .into_iter()
                .map(|(workspace, running)| Usage { workspace, running });
            queue.set_peer_usages(usages, self.now);
        }
        self.dequeue(router);
    }
}
