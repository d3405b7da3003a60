//! The state of a simulation: engines, requests and the event queue.

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

/// Time between two samples of the loads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum delay of the platform's host list after a crash or a start, in seconds.
const MAX_HOST_LIST_DELAY_S: f64 = 4.0;
/// How long an engine must be in service before its load is sampled. A zone that
/// returns to service adds engines without load, which lowers the mean at once, and no
/// policy can move requests that are already running.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of attempts per request.
const MAX_ATTEMPTS_PER_REQUEST: u64 = 256;

/// An event of the simulation or of the policy.
#[derive(Debug)]
pub enum Event<P> {
    /// A request reaches its entry router.
    Arrive(usize),
    /// A request reaches an engine.
    Deliver(request::Attempt, usize),
    /// A run is due to end.
    Done(request::Attempt, usize),
    /// A router applies a topology.
    ApplyTopology(usize, usize),
    /// A change of the script applies.
    Change(Change),
    /// The loads are sampled.
    Sample,
    /// An event of the policy.
    Policy(P),
}

/// A policy that places requests on engines.
pub trait Policy: Sized {
    /// Events of the policy.
    type Event;

    /// Schedules the first events.
    fn start(&mut self, core: &mut Core<Self::Event>);
    /// Handles the arrival of a request at its entry router.
    fn arrive(&mut self, core: &mut Core<Self::Event>, request: usize, now: Instant);
    /// Handles an attempt that an engine refused because it is down, or lost because it
    /// failed.
    fn failed(&mut self, core: &mut Core<Self::Event>, failure: Failure, now: Instant);
    /// Handles the start of a run.
    fn started(&mut self, core: &mut Core<Self::Event>, engine: usize, run: Run, now: Instant);
    /// Handles the end of a run.
    fn finished(&mut self, core: &mut Core<Self::Event>, engine: usize, run: Run, now: Instant);
    /// Handles a new topology on a router.
    fn topology_changed(&mut self, core: &mut Core<Self::Event>, router: usize, now: Instant);
    /// Handles an event of the policy.
    fn handle(&mut self, core: &mut Core<Self::Event>, event: Self::Event, now: Instant);
}

/// An attempt that received no response.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// The attempt.
    pub attempt: request::Attempt,
    /// The engine.
    pub engine: usize,
    /// Whether the engine may have run the attempt.
    pub verdict: Verdict,
}

/// State of an engine as the host list and the script define it.
#[derive(Clone, Copy, Debug)]
struct EngineState {
    listed: bool,
    failing: bool,
    /// Since when the engine is up and its zone in service.
    since: Instant,
}

/// The source of a topology change, which determines how long routers take to apply it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The platform's host list.
    Hosts,
    /// The configuration.
    Config,
}

/// The state of a simulation without the policy.
#[derive(Debug)]
pub struct Core<P> {
    /// The deployment to simulate.
    pub deployment: Deployment,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// Counters and records.
    pub stats: Stats,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The names of the engines.
    pub names: Vec<backend::Server>,
    /// Random draws for the policy.
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
    /// The initial state, with all engines warm and the script not started.
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

    /// Schedules an event of the policy.
    pub fn push(&mut self, at: Instant, event: P) {
        self.queue.push(at, Event::Policy(event));
    }

    /// When the run ends.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// The index of the engine with this name.
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

    /// One-way latency between two zones.
    pub fn latency(&self, from: usize, to: usize) -> Duration {
        if from == to {
            self.deployment.zone_latency
        } else {
            self.deployment.cross_zone_latency
        }
    }

    /// The topology that `router` has applied.
    pub fn router_topology(&self, router: usize) -> &Arc<Topology> {
        &self.topologies[self.router_versions[router]]
    }

    /// Whether the engine's zone is out of service.
    pub fn is_excluded(&self, engine: usize) -> bool {
        self.excluded_zones[self.engine_zone(engine)]
    }

    /// The index of the request to which an attempt belongs.
    pub fn request(attempt: request::Attempt) -> usize {
        (attempt.0 / MAX_ATTEMPTS_PER_REQUEST) as usize
    }

    /// Creates an attempt for a request.
    pub fn attempt(&mut self, request: usize) -> request::Attempt {
        let record = &mut self.stats.requests[request];
        record.attempts += 1;
        request::Attempt(request as u64 * MAX_ATTEMPTS_PER_REQUEST + u64::from(record.attempts))
    }

    /// Sends an attempt to an engine, which receives it at `at`.
    pub fn send(&mut self, attempt: request::Attempt, engine: usize, at: Instant) {
        self.stats.requests[Self::request(attempt)].attempts_sent += 1;
        self.queue.push(at, Event::Deliver(attempt, engine));
    }

    /// Adds to the number of messages sent for a request.
    pub fn record_hops(&mut self, request: usize, hops: u32) {
        self.stats.requests[request].hops += hops;
    }

    /// Sets the status of a request.
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

    /// Publishes the current topology to all routers, with a separate delay for each.
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
