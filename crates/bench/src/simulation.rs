//! The engines, the requests and the passing of virtual time.

mod event_loop;

use std::{collections::HashMap, sync::Arc, time::Duration};

use placement::{Topology, topology};
use units::{backend, request, time::Instant};
use verdict::Verdict;

use crate::{
    deployment::Deployment,
    engine::{Engine, Run},
    queue::Queue,
    random::Random,
    script::Change,
    stats::{Record, Sample, Stats, Status},
    workload::Arrival,
};

pub use event_loop::Simulation;

/// How often the loads are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long after a crash or a start the platform's host list tells of it, at most.
const MAX_HOST_LIST_DELAY_S: f64 = 4.0;
/// How long an engine has to get work before its load counts. A zone that comes
/// back brings engines without load, and the mean falls at once; no policy can
/// move what already runs.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// The number of attempts that one request may have.
const MAX_ATTEMPTS_PER_REQUEST: u64 = 256;

/// Something that happens to the world or to a policy.
#[derive(Debug)]
pub enum Event<P> {
    /// A request reaches its entry router.
    Arrive(usize),
    /// A request reaches an engine.
    Deliver(request::Attempt, usize),
    /// A run may be done.
    Done(request::Attempt, usize),
    /// A router learns of a topology.
    ApplyTopology(usize, usize),
    /// A change of the script.
    Change(Change),
    /// A look at the loads.
    Sample,
    /// Something of the policy's own.
    Policy(P),
}

/// A way to place requests.
pub trait Policy: Sized {
    /// Events of its own.
    type Event;

    /// Enters the first events.
    fn start(&mut self, core: &mut Core<Self::Event>);
    /// A request arrived at its entry router.
    fn arrive(&mut self, core: &mut Core<Self::Event>, request: usize, now: Instant);
    /// An attempt was refused by an engine that is down, or lost in one that failed.
    fn failed(&mut self, core: &mut Core<Self::Event>, failure: Failure, now: Instant);
    /// A run began.
    fn started(&mut self, core: &mut Core<Self::Event>, engine: usize, run: Run, now: Instant);
    /// A run is done.
    fn finished(&mut self, core: &mut Core<Self::Event>, engine: usize, run: Run, now: Instant);
    /// A router learned of a topology.
    fn topology_changed(&mut self, core: &mut Core<Self::Event>, router: usize, now: Instant);
    /// An event of its own.
    fn handle(&mut self, core: &mut Core<Self::Event>, event: Self::Event, now: Instant);
}

/// An attempt that got no answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// The attempt.
    pub attempt: request::Attempt,
    /// The engine.
    pub engine: usize,
    /// Whether it may have run.
    pub verdict: Verdict,
}

/// Whether an engine is up and wanted, as the platform and the operators say.
#[derive(Clone, Copy, Debug)]
struct EngineState {
    listed: bool,
    failing: bool,
    /// Since when it is up and its zone is in.
    since: Instant,
}

/// What a router's topology changed by, which says how the router learns of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The platform's host list.
    Hosts,
    /// The configuration.
    Config,
}

/// All but the policy.
#[derive(Debug)]
pub struct Core<P> {
    /// What is measured.
    pub deployment: Deployment,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// What is counted.
    pub stats: Stats,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The names of the engines.
    pub names: Vec<backend::Server>,
    /// Random draws of the policy.
    pub random: Random,
    queue: Queue<Event<P>>,
    engine_states: Vec<EngineState>,
    excluded_zones: Vec<bool>,
    topologies: Vec<Arc<Topology>>,
    router_versions: Vec<usize>,
    indices: HashMap<backend::Server, usize>,
    delays: Random,
    /// How long each router takes to apply a revision, in seconds.
    apply_delays: Vec<f64>,
    until: Instant,
}

impl<P> Core<P> {
    /// Engines and requests at the origin of time.
    pub fn new(deployment: Deployment, arrivals: Vec<Arrival>, seed: u64, until: Instant) -> Self {
        let names: Vec<backend::Server> = (0..deployment.engines)
            .map(|index| format!("engine-{index:03}").parse().expect("a valid name"))
            .collect();
        let engines = (0..deployment.engines)
            .map(|_| Engine::new(deployment.engine.clone()))
            .collect();
        let engine_state = EngineState {
            listed: true,
            failing: false,
            since: Instant::ZERO,
        };
        let mut core = Self {
            stats: Stats {
                requests: vec![Record::default(); arrivals.len()],
                ..Stats::default()
            },
            random: Random::new(seed, 2),
            delays: Random::new(seed, 3),
            queue: Queue::default(),
            engine_states: vec![engine_state; deployment.engines],
            excluded_zones: vec![false; deployment.zones],
            topologies: Vec::new(),
            router_versions: vec![0; deployment.routers],
            apply_delays: vec![1.0; deployment.routers],
            indices: names.iter().cloned().zip(0..).collect(),
            deployment,
            arrivals,
            engines,
            names,
            until,
        };
        let first = core.topology();
        core.topologies.push(Arc::new(first));
        core
    }

    /// Sets how long each router takes to apply a revision, in seconds.
    pub fn set_apply_delays(&mut self, apply_delays: Vec<f64>) {
        self.apply_delays = apply_delays;
    }

    /// Enters an event of the policy.
    pub fn push(&mut self, at: Instant, event: P) {
        self.queue.push(at, Event::Policy(event));
    }

    /// When the run ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// The index of the engine called `name`.
    pub fn engine(&self, name: &backend::Server) -> usize {
        self.indices[name]
    }

    /// The zone of an engine.
    pub fn engine_zone(&self, engine: usize) -> usize {
        engine % self.deployment.zones
    }

    /// The zone of a router.
    pub fn router_zone(&self, router: usize) -> usize {
        router % self.deployment.zones
    }

    /// The latency one way between two zones.
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.deployment.zone_latency
        } else {
            self.deployment.cross_zone_latency
        }
    }

    /// The topology that `router` knows.
    pub fn router_topology(&self, router: usize) -> &Arc<Topology> {
        &self.topologies[self.router_versions[router]]
    }

    /// Whether operators have taken the engine's zone out.
    pub fn is_excluded(&self, engine: usize) -> bool {
        self.excluded_zones[self.engine_zone(engine)]
    }

    /// The request of an attempt.
    pub fn request(attempt: request::Attempt) -> usize {
        (attempt.0 / MAX_ATTEMPTS_PER_REQUEST) as usize
    }

    /// A new attempt at a request.
    pub fn attempt(&mut self, request: usize) -> request::Attempt {
        let record = &mut self.stats.requests[request];
        record.attempts += 1;
        request::Attempt(request as u64 * MAX_ATTEMPTS_PER_REQUEST + u64::from(record.attempts))
    }

    /// Sends an attempt to an engine.
    pub fn send(&mut self, attempt: request::Attempt, engine: usize, at: Instant) {
        self.stats.requests[Self::request(attempt)].attempts_sent += 1;
        self.queue.push(at, Event::Deliver(attempt, engine));
    }

    /// Counts messages on the way of a request.
    pub fn record_hops(&mut self, request: usize, hops: u32) {
        self.stats.requests[request].hops += hops;
    }

    /// Ends a request.
    pub fn set_status(&mut self, request: usize, status: Status) {
        self.stats.requests[request].status = status;
    }

    fn topology(&self) -> Topology {
        let members = (0..self.engines.len()).map(|engine| topology::Member {
            id: self.names[engine].clone(),
            zone: format!("zone-{}", self.engine_zone(engine))
                .parse()
                .expect("a valid name"),
            weight: 1,
            state: if self.is_excluded(engine) || !self.engine_states[engine].listed {
                topology::State::Excluded
            } else {
                topology::State::Eligible
            },
        });
        Topology::new(members.collect())
    }

    /// Tells all routers of a new topology, each one after a lag of its own.
    fn publish(&mut self, source: Source, now: Instant) {
        let topology = self.topology();
        self.topologies.push(Arc::new(topology));
        let version = self.topologies.len() - 1;
        for router in 0..self.deployment.routers {
            let delay = match source {
                Source::Hosts => MAX_HOST_LIST_DELAY_S * self.delays.unit(),
                Source::Config => self.apply_delays[router],
            };
            let delay = Duration::from_secs_f64(delay);
            self.queue
                .push(now + delay, Event::ApplyTopology(router, version));
        }
    }

    fn sample(&mut self, now: Instant) {
        let mut largest = 0;
        let mut sum = 0;
        let mut count = 0;
        for (index, engine) in self.engines.iter().enumerate() {
            let settled = now >= self.engine_states[index].since + SETTLE_TIME
                || now < Instant::ZERO + SETTLE_TIME;
            if !engine.is_up() || self.is_excluded(index) || !settled {
                continue;
            }
            largest = largest.max(engine.load());
            sum += engine.load();
            count += 1;
        }
        self.stats.samples.push(Sample {
            at: now,
            largest,
            mean: f64::from(sum) / f64::from(count.max(1)),
        });
        if now < self.until {
            self.queue.push(now + SAMPLE_INTERVAL, Event::Sample);
        }
    }

    fn record_run(&mut self, run: Run, engine: usize) {
        let record = &mut self.stats.requests[Self::request(run.job.attempt)];
        record.cached = run.cached;
        record.first_token_at = run.first_token_at;
        record.begun_at = run.begun_at;
        self.queue
            .push(run.done_at, Event::Done(run.job.attempt, engine));
    }
}
