//! The product's policy: entry router, owner, engine.
//!
//! The entry router follows its [`placement::Plan`]; the owner of the engine decides
//! with [`admission::Server`], [`placement::Bound`] and [`placement::CacheIndex`].

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
    simulation::{Core, Failure, Policy},
};

/// Time between two ticks of an owner's admission.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Callers' timeout for the complete response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an owner avoids an engine that refused a connection.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Events of the product's policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An offer reaches the owner of an engine.
    Offer(usize, plan::Candidate),
    /// A declined offer is reported to the entry router.
    Declined(usize),
    /// The queue timeout of an attempt expires.
    QueueTimeout(request::Attempt, usize),
    /// The first token of an attempt reaches the owner.
    FirstToken(request::Attempt, usize),
    /// The load and the cache events of an engine are read.
    PollLoad(usize),
    /// The load report and the cache events reach the owner.
    LoadReport(usize, admission::Report, Vec<CacheEvent>),
    /// The admission of an engine is ticked.
    Tick(usize),
    /// A router sends the load of its engines to the others.
    Heartbeat(usize),
    /// A router receives the load of another router's engines: receiver, sender, load.
    ReceiveLoad(usize, usize, PeerLoad),
}

/// The load of the engines of one router, as of an instant.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoad {
    total: TotalLoad,
    at: Instant,
}

/// A cache event with its sequence number.
#[derive(Clone, Copy, Debug)]
pub struct CacheEvent {
    number: u64,
    chat: units::chat::Key,
    event: cache::Event,
}

/// State that the owner of an engine keeps.
#[derive(Debug)]
struct Owned {
    owner: usize,
    admission: admission::Server,
    applied_bound: admission::Bound,
    cache_index: CacheIndex,
    last_report_seq: u64,
    last_event_number: u64,
    pending: Vec<CacheEvent>,
    avoided_until: Instant,
    /// The boot for which the owner last detected that the engine is cold.
    detected_boot: u64,
    /// The boot that the engine last reported.
    boot: u64,
    /// State saved when the engine was closed; `None` while it is open.
    closed: Option<Closed>,
}

/// State of an engine saved when it was closed.
#[derive(Clone, Copy, Debug)]
struct Closed {
    handover: admission::Handover,
    boot: u64,
}

/// State of one router.
#[derive(Debug)]
struct Router {
    history: History,
    /// The last load received from each router.
    peer_loads: Vec<PeerLoad>,
    budget: RetryBudget,
    outlier_detector: OutlierDetector,
    engines: Vec<usize>,
}

/// Settings of the policy.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Settings of placement.
    pub placement: placement::Settings,
    /// Settings of admission.
    pub admission: admission::Settings,
    /// Settings of retries and outlier detection.
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
    /// The engines that have failed each request.
    failures: BTreeMap<usize, Vec<usize>>,
    /// The engine of each attempt that was offered and has not ended.
    offered: BTreeMap<request::Attempt, usize>,
    /// The offered attempts that were sent to their engine.
    sent: BTreeSet<request::Attempt>,
    workspaces: Vec<workspace::Id>,
}

impl Chosen {
    /// Creates routers and owners without requests.
    pub fn new(core: &Core<Event>, settings: Settings) -> Self {
        let owners = owners(core);
        let owned = owners.iter().map(|owner| Owned {
            owner: *owner,
            admission: admission::Server::new(settings.admission.clone(), Instant::ZERO),
            applied_bound: admission::Bound::default(),
            cache_index: CacheIndex::new(settings.placement.clone()),
            last_report_seq: 0,
            last_event_number: 0,
            pending: Vec::new(),
            avoided_until: Instant::ZERO,
            detected_boot: 0,
            boot: 0,
            closed: None,
        });
        let routers = (0..core.deployment.routers).map(|router| Router {
            history: History::new(
                settings.placement.clone(),
                core.router_topology(router).clone(),
            ),
            peer_loads: vec![PeerLoad::default(); core.deployment.routers],
            budget: RetryBudget::new(settings.recovery.clone(), Instant::ZERO),
            outlier_detector: outlier_detector(&settings.recovery, core.router_topology(router)),
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

/// The engines eligible for new requests, with their zones.
fn pool(topology: &Topology) -> Vec<(backend::Server, availability::Zone)> {
    let members = topology.eligible();
    members
        .map(|member| (member.id.clone(), member.zone.clone()))
        .collect()
}

fn outlier_detector(settings: &recovery::Settings, topology: &Topology) -> OutlierDetector {
    let mut outlier_detector = OutlierDetector::new(settings.clone());
    outlier_detector.set_servers(pool(topology));
    outlier_detector
}

/// The index of the owner of each engine.
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
            let owner = owner.expect("at least one router");
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
            core.push(Instant::ZERO + phase, Event::PollLoad(engine));
            core.push(Instant::ZERO + phase, Event::Tick(engine));
        }
        for router in 0..self.routers.len() {
            let phase = Duration::from_secs_f64(core.random.unit());
            core.push(Instant::ZERO + phase, Event::Heartbeat(router));
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
            owned.avoided_until = now + AVOID_DURATION;
        }
        self.apply_actions(core, failure.engine, actions, now);
        let failures = self.failures.entry(request).or_default();
        failures.push(failure.engine);
        let entry = usize::from(core.arrivals[request].router);
        let router = &mut self.routers[entry];
        router
            .outlier_detector
            .record_failure(&core.names[failure.engine], now);
        let workspace = &self.workspaces[usize::from(core.arrivals[request].workspace)];
        let code = Code::BackendFailed;
        let retry_request = recovery::Failure {
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
            attempts: core.stats.requests[request].attempts_sent,
            refusals: 0,
            candidates: 1,
            deadline: core.arrivals[request].at + REQUEST_TIMEOUT,
        };
        let settings = &self.settings.recovery;
        match recovery::Retry::decide(retry_request, settings, &mut router.budget, now) {
            recovery::Retry::Next => self.decline(core, request, failure.engine, now),
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
        self.routers[entry]
            .outlier_detector
            .record_success(server, now);
        let owned = &mut self.owned[engine];
        let tokens = run.job.prompt + run.job.output;
        owned.cache_index.record_served(run.job.chat, tokens, now);
        let outcome = admission::Outcome::Completed {
            first_token_at: run.first_token_at,
            ended_at: now,
        };
        let actions = owned.admission.finish(attempt, outcome, now);
        self.apply_actions(core, engine, actions, now);
    }

    fn topology_changed(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        let topology = core.router_topology(router).clone();
        let pool = pool(&topology);
        self.routers[router].outlier_detector.set_servers(pool);
        self.routers[router].history.replace(topology, now);
        for engine in self.routers[router].engines.clone() {
            let eligible = core
                .router_topology(router)
                .is_eligible(&core.names[engine]);
            let actions = if eligible {
                self.open(engine, now)
            } else {
                self.close(engine)
            };
            self.apply_actions(core, engine, actions, now);
        }
    }

    fn handle(&mut self, core: &mut Core<Event>, event: Event, now: Instant) {
        match event {
            Event::Offer(request, candidate) => self.handle_offer(core, request, &candidate, now),
            Event::Declined(request) => self.offer_next(core, request, now),
            Event::FirstToken(attempt, engine) => {
                if self.offered.get(&attempt) == Some(&engine) {
                    let actions = self.owned[engine].admission.first_token(attempt, now);
                    self.apply_actions(core, engine, actions, now);
                }
            }
            Event::QueueTimeout(attempt, engine) => {
                self.queue_timed_out(core, attempt, engine, now)
            }
            Event::PollLoad(engine) => self.poll_load(core, engine, now),
            Event::LoadReport(engine, report, events) => {
                self.apply_load_report(core, engine, report, events, now);
            }
            Event::Tick(engine) => {
                self.record_cold_detection(core, engine, now);
                let mut actions = self.update_bound(engine, now);
                actions.extend(self.owned[engine].admission.tick(now));
                self.apply_actions(core, engine, actions, now);
                if now < core.until() {
                    core.push(now + TICK_INTERVAL, Event::Tick(engine));
                }
            }
            Event::Heartbeat(router) => self.send_heartbeat(core, router, now),
            Event::ReceiveLoad(router, from, peer_load) => {
                self.record_peer_load(router, from, peer_load)
            }
        }
    }
}
