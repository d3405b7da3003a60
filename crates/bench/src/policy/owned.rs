//! Entry, owner, engine: the product's policy.
//!
//! The entry router follows its [`placement::Plan`]; the owner of the engine
//! decides with [`admission::Server`], [`placement::Bound`] and
//! [`placement::CacheIndex`].

mod offer;
mod owner;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use placement::{Bound, CacheIndex, History, Plan, Topology, TotalLoad, cache, plan};
use recovery::{OutlierDetector, RetryBudget};
use units::{availability, backend, host, request, time::Instant, workspace};
use verdict::{Code, Refusal, Verdict};

use crate::{
    engine::Run,
    world::{Core, Failure, Policy},
};

/// How often an owner lets time pass in its admission.
const TICK_EVERY: Duration = Duration::from_millis(100);
/// How long a caller waits for its whole answer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How long an owner keeps away from an engine that refused its connection.
const AWAY: Duration = Duration::from_secs(1);

/// Events of the product's policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An offer reaches the owner of an engine.
    Offer(usize, plan::Candidate),
    /// The news that an offer was turned down reaches the entry.
    Denied(usize),
    /// An attempt has waited long enough.
    Impatient(request::Attempt, usize),
    /// The first token of an attempt reaches the owner.
    FirstToken(request::Attempt, usize),
    /// An engine's load and cache events are read.
    Ask(usize),
    /// The answer reaches the owner.
    Answer(usize, admission::Report, Vec<CacheEvent>),
    /// Time passes in the admission of an engine.
    Tick(usize),
    /// A router tells the others of the load of its engines.
    Beat(usize),
    /// A router hears of the load of another one's engines, as it was at an instant.
    Hear(usize, usize, Told),
}

/// What a router told of its engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    total: TotalLoad,
    at: Instant,
}

/// A cache event with its number.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvent {
    number: u64,
    chat: units::chat::Key,
    event: cache::Event,
}

/// What the owner of one engine keeps.
#[derive(Debug)]
struct Owned {
    owner: usize,
    admission: admission::Server,
    bounded: admission::Bound,
    warmth: CacheIndex,
    reports: u64,
    events: u64,
    pending: Vec<CacheEvent>,
    away_until: Instant,
    /// The run of the engine that was last noticed to be cold.
    detected: u64,
    /// The run that the engine last reported.
    boot: u64,
    /// What was known when it was closed, while it is.
    closed: Option<Closed>,
}

/// What was known of an engine when it was closed.
#[derive(Clone, Copy, Debug)]
struct Closed {
    handover: admission::Handover,
    boot: u64,
}

/// What one router keeps.
#[derive(Debug)]
struct Router {
    history: History,
    /// The loads that it heard of, by router.
    heard: Vec<Told>,
    budget: RetryBudget,
    ejection: OutlierDetector,
    engines: Vec<usize>,
}

/// What differs between variants of the policy.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Placement.
    pub placement: placement::Settings,
    /// Admission.
    pub admission: admission::Settings,
    /// Retries and ejection.
    pub recovery: recovery::Settings,
}

/// The product's policy.
#[derive(Debug)]
pub struct Chosen {
    settings: Settings,
    bound: Bound,
    owned: Vec<Owned>,
    routers: Vec<Router>,
    plans: BTreeMap<usize, Plan>,
    /// The engines that have failed a request.
    failures: BTreeMap<usize, Vec<usize>>,
    /// Attempts that were offered and have not ended, with their engines.
    offered: BTreeMap<request::Attempt, usize>,
    /// Those of them that were sent to their engine.
    sent: BTreeSet<request::Attempt>,
    workspaces: Vec<workspace::Id>,
}

impl Chosen {
    /// Owners without requests.
    pub fn new(core: &Core<Event>, settings: Settings) -> Self {
        let owners = owners(core);
        let owned = owners.iter().map(|owner| Owned {
            owner: *owner,
            admission: admission::Server::new(settings.admission.clone(), Instant::ZERO),
            bounded: admission::Bound::default(),
            warmth: CacheIndex::new(settings.placement.clone()),
            reports: 0,
            events: 0,
            pending: Vec::new(),
            away_until: Instant::ZERO,
            detected: 0,
            boot: 0,
            closed: None,
        });
        let routers = (0..core.deployment.routers).map(|router| Router {
            history: History::new(settings.placement.clone(), core.known(router).clone()),
            heard: vec![Told::default(); core.deployment.routers],
            budget: RetryBudget::new(settings.recovery.clone(), Instant::ZERO),
            ejection: ejection(&settings.recovery, core.known(router)),
            engines: (0..owners.len())
                .filter(|engine| owners[*engine] == router)
                .collect(),
        });
        Self {
            bound: Bound::new(settings.placement.clone()),
            owned: owned.collect(),
            routers: routers.collect(),
            plans: BTreeMap::new(),
            failures: BTreeMap::new(),
            offered: BTreeMap::new(),
            sent: BTreeSet::new(),
            workspaces: (0..core.deployment.workspaces.len())
                .map(|index| format!("workspace-{index}").parse().expect("a valid name"))
                .collect(),
            settings,
        }
    }
}

/// The engines that may get work.
fn pool(topology: &Topology) -> Vec<(backend::Server, availability::Zone)> {
    let members = topology.eligible();
    members
        .map(|member| (member.id.clone(), member.zone.clone()))
        .collect()
}

fn ejection(settings: &recovery::Settings, topology: &Topology) -> OutlierDetector {
    let mut ejection = OutlierDetector::new(settings.clone());
    ejection.set_servers(pool(topology));
    ejection
}

/// The owner of each engine.
fn owners(core: &Core<Event>) -> Vec<usize> {
    let zone = |zone: usize| {
        format!("zone-{zone}")
            .parse::<availability::Zone>()
            .expect("a valid name")
    };
    let routers: Vec<(host::Id, availability::Zone)> = (0..core.deployment.routers)
        .map(|router| {
            let host = format!("router-{router:02}").parse().expect("a valid name");
            (host, zone(core.router_zone(router)))
        })
        .collect();
    (0..core.names.len())
        .map(|engine| {
            let zone = zone(core.engine_zone(engine));
            let candidates = routers.iter().map(|(host, zone)| (host, zone));
            let owner = fleet::owner(&core.names[engine], &zone, candidates);
            let owner = owner.expect("there are routers");
            let position = routers.iter().position(|(host, _)| host == owner);
            position.expect("the owner is one of the routers")
        })
        .collect()
}

impl Policy for Chosen {
    type Event = Event;

    fn start(&mut self, core: &mut Core<Event>) {
        for engine in 0..self.owned.len() {
            let phase = Duration::from_secs_f64(core.random.unit());
            core.push(Instant::ZERO + phase, Event::Ask(engine));
            core.push(Instant::ZERO + phase, Event::Tick(engine));
        }
        for router in 0..self.routers.len() {
            let phase = Duration::from_secs_f64(core.random.unit());
            core.push(Instant::ZERO + phase, Event::Beat(router));
        }
    }

    fn arrive(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        let arrival = core.arrivals[request];
        let history = &self.routers[usize::from(arrival.router)].history;
        let plan = Plan::new(&self.settings.placement, history, arrival.chat, now);
        self.plans.insert(request, plan);
        let workspace = &self.workspaces[usize::from(arrival.workspace)];
        let router = &mut self.routers[usize::from(arrival.router)];
        router.budget.record_request(workspace, now);
        self.offer_next(core, request, now);
    }

    fn failed(&mut self, core: &mut Core<Event>, failure: Failure, now: Instant) {
        let request = Core::<Event>::request(failure.attempt);
        self.sent.remove(&failure.attempt);
        if self.offered.remove(&failure.attempt).is_none() {
            return;
        }
        let owned = &mut self.owned[failure.engine];
        let outcome = admission::Outcome::Failed;
        let actions = owned.admission.finish(failure.attempt, outcome, now);
        if failure.verdict == Verdict::NotRun {
            owned.away_until = now + AWAY;
        }
        self.act(core, failure.engine, actions, now);
        let failures = self.failures.entry(request).or_default();
        failures.push(failure.engine);
        let entry = usize::from(core.arrivals[request].router);
        let router = &mut self.routers[entry];
        router
            .ejection
            .record_failure(&core.names[failure.engine], now);
        let workspace = &self.workspaces[usize::from(core.arrivals[request].workspace)];
        let code = Code::BackendFailed;
        let asked = recovery::Failure {
            workspace,
            cause: match failure.verdict {
                Verdict::NotRun => recovery::Cause::Unreachable,
                Verdict::MayHaveRun => recovery::Cause::Failed,
            },
            refusal: match failure.verdict {
                Verdict::NotRun => Refusal::not_run(code, "unreachable"),
                Verdict::MayHaveRun => Refusal::may_have_run(code, "failed"),
            },
            idempotent: true,
            response_started: false,
            attempts: core.stats.requests[request].sent,
            refusals: 0,
            candidates: 1,
            deadline: core.arrivals[request].at + TIMEOUT,
        };
        let settings = &self.settings.recovery;
        match recovery::Retry::decide(asked, settings, &mut router.budget, now) {
            recovery::Retry::Next => self.deny(core, request, failure.engine, now),
            recovery::Retry::GiveUp(_) => self.give_up(core, request),
        }
    }

    fn started(&mut self, core: &mut Core<Event>, engine: usize, run: Run, _: Instant) {
        let at = run.first_token_at;
        core.push(at, Event::FirstToken(run.job.attempt, engine));
    }

    fn finished(&mut self, core: &mut Core<Event>, engine: usize, run: Run, now: Instant) {
        let attempt = run.job.attempt;
        self.plans.remove(&Core::<Event>::request(attempt));
        self.failures.remove(&Core::<Event>::request(attempt));
        self.offered.remove(&attempt);
        self.sent.remove(&attempt);
        let entry = usize::from(core.arrivals[Core::<Event>::request(attempt)].router);
        let server = &core.names[engine];
        self.routers[entry].ejection.record_success(server, now);
        let owned = &mut self.owned[engine];
        let tokens = run.job.prompt + run.job.output;
        owned.warmth.record_served(run.job.chat, tokens, now);
        let outcome = admission::Outcome::Completed {
            first_token_at: run.first_token_at,
            ended_at: now,
        };
        let actions = owned.admission.finish(attempt, outcome, now);
        self.act(core, engine, actions, now);
    }

    fn learned(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        let topology = core.known(router).clone();
        let pool = pool(&topology);
        self.routers[router].ejection.set_servers(pool);
        self.routers[router].history.replace(topology, now);
        for engine in self.routers[router].engines.clone() {
            let eligible = core.known(router).is_eligible(&core.names[engine]);
            let actions = if eligible {
                self.open(engine, now)
            } else {
                self.close(engine)
            };
            self.act(core, engine, actions, now);
        }
    }

    fn handle(&mut self, core: &mut Core<Event>, event: Event, now: Instant) {
        match event {
            Event::Offer(request, candidate) => self.offered(core, request, &candidate, now),
            Event::Denied(request) => self.offer_next(core, request, now),
            Event::FirstToken(attempt, engine) => {
                if self.offered.get(&attempt) == Some(&engine) {
                    let actions = self.owned[engine].admission.first_token(attempt, now);
                    self.act(core, engine, actions, now);
                }
            }
            Event::Impatient(attempt, engine) => self.impatient(core, attempt, engine, now),
            Event::Ask(engine) => self.ask(core, engine, now),
            Event::Answer(engine, report, events) => {
                self.answered(core, engine, report, events, now);
            }
            Event::Tick(engine) => {
                self.note_detection(core, engine, now);
                let mut actions = self.rebound(engine, now);
                actions.extend(self.owned[engine].admission.tick(now));
                self.act(core, engine, actions, now);
                if now < core.until() {
                    core.push(now + TICK_EVERY, Event::Tick(engine));
                }
            }
            Event::Beat(router) => self.beat(core, router, now),
            Event::Hear(router, from, told) => self.hear(router, from, told),
        }
    }
}
