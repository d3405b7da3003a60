//! Entry routers that decide with [`gateway::queue::Queue`] and exchange their
//! loads.

use std::{collections::BTreeMap, time::Duration};

use gateway::{
    pool::{Demand, Fleet, Outcome, Part, Placement, Pool},
    queue::{Admission, Queue, Request},
    roster, route,
    settings::Bounds,
};
use placement::{Topology, topology};
use smallvec::smallvec;
use units::{availability, backend, cost::Cost, host, request, time::Instant, workspace};
use verdict::Verdict;

use crate::{
    engine::Run,
    simulation::{Core, Failure, Policy},
    stats::Status,
};

/// Time between two exchanges of the requests in flight.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that a request is queued: half of the callers' timeout for a response.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of engines that a request is sent to.
const MAX_ATTEMPTS: usize = 4;
/// Load and retry limits of the measured deployments.
const BOUNDS: Bounds = Bounds {
    load_multiple: 2.0,
    cold_multiple: 1.5,
    cold_extra: 5.0,
    retries: gateway::retry_budget::Allowance {
        ratio: 0.2,
        burst: 50.0,
        window: Duration::from_secs(10),
    },
    rollouts: None,
    is_contended: false,
};

/// Events of the entry routers.
#[derive(Clone, Debug)]
pub enum Event {
    /// Every router sends its requests in flight to the others.
    SendLoads,
    /// The requests in flight of all routers, by router and engine, reach the others.
    ReceiveLoads(Vec<Vec<u32>>),
    /// A request is placed again after a failed attempt.
    Retry(usize),
    /// A router checks its queued requests.
    Wake(usize),
}

/// An attempt in flight on an engine.
#[derive(Clone, Debug)]
struct Sent {
    router: usize,
    engine: usize,
    uncached: Cost,
    sent_at: Instant,
}

/// Entry routers, each with its own pool.
#[derive(Debug)]
pub struct Entry {
    queues: Vec<Queue>,
    fleets: Vec<Fleet>,
    /// Requests in flight by router and engine.
    running: Vec<Vec<u32>>,
    sent: BTreeMap<request::Attempt, Sent>,
    demands: BTreeMap<usize, Demand>,
    workspaces: Vec<workspace::Id>,
}

impl Entry {
    /// Creates routers without requests.
    pub fn new(core: &Core<Event>) -> Self {
        let routers = core.deployment.routers;
        let engines = core.deployment.engines;
        let queues = (0..routers).map(|router| {
            let mut pool = Pool::new(zone(core.router_zone(router)), BOUNDS);
            pool.set_service(route::Service {
                cold_per_s: COLD_REQUESTS_PER_S,
                cache_tokens: 1,
                health_path: String::new(),
            });
            set_servers(&mut pool, core, core.router_topology(router));
            Queue::new(pool)
        });
        let host = |router| -> host::Id {
            let name = format!("router-{router:02}");
            name.parse().expect("a valid name")
        };
        let members: Vec<host::Id> = (0..routers).map(host).collect();
        let fleet = |router: usize| Fleet {
            own: members[router].clone(),
            members: members.clone(),
        };
        let workspace = |index| {
            let name = format!("workspace-{index}");
            name.parse().expect("a valid name")
        };
        Self {
            queues: queues.collect(),
            fleets: (0..routers).map(fleet).collect(),
            workspaces: (0..core.deployment.workspaces.len())
                .map(workspace)
                .collect(),
            running: vec![vec![0; engines]; routers],
            sent: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    fn place(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        let arrival = core.arrivals[request];
        let router = usize::from(arrival.router);
        let part = Part {
            key: arrival.chat,
            tokens: arrival.prompt,
        };
        let demand = self.demands.entry(request).or_insert_with(|| Demand {
            parts: smallvec![part],
            ..Demand::default()
        });
        if demand.tried.len() >= MAX_ATTEMPTS {
            self.give_up(core, request);
            return;
        }
        let queue_request = Request {
            attempt: request::Attempt(request as u64),
            workspace: self.workspaces[usize::from(arrival.workspace)].clone(),
            cost: Cost(u64::from(arrival.prompt) + u64::from(arrival.output) * OUTPUT_TOKEN_COST),
            rank: 1,
            latest_start: now + QUEUE_TIMEOUT,
            demand: demand.clone(),
        };
        match self.queues[router].submit(queue_request, &self.fleets[router], now) {
            Admission::Placed(place) => self.send_placed(core, request, *place, now),
            Admission::Queued => self.schedule_wake(core, router, now),
            Admission::Refused(_) => self.give_up(core, request),
        }
    }

    fn send_placed(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        place: Placement,
        now: Instant,
    ) {
        let router = usize::from(core.arrivals[request].router);
        let engine = core.engine(&place.server);
        if let Some(demand) = self.demands.get_mut(&request) {
            demand.tried.push(place.server);
        }
        self.send(core, request, router, engine, place.uncached, now);
    }

    /// Places queued requests of a router for which capacity became free.
    fn dequeue_requests(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        for (attempt, result) in self.queues[router].dequeue(&self.fleets[router], now) {
            let request = attempt.0 as usize;
            match result {
                Ok(place) => self.send_placed(core, request, place, now),
                Err(_) => self.give_up(core, request),
            }
        }
        self.schedule_wake(core, router, now);
    }

    fn schedule_wake(&self, core: &mut Core<Event>, router: usize, now: Instant) {
        if let Some(at) = self.queues[router].next_wake() {
            core.push(at.max(now), Event::Wake(router));
        }
    }

    fn send(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        router: usize,
        engine: usize,
        uncached: Cost,
        now: Instant,
    ) {
        self.running[router][engine] += 1;
        core.record_hops(request, 1);
        let latency = core.latency(core.router_zone(router), core.engine_zone(engine));
        let attempt = core.attempt(request);
        let sent = Sent {
            router,
            engine,
            uncached,
            sent_at: now,
        };
        self.sent.insert(attempt, sent);
        core.send(attempt, engine, now + latency);
    }

    fn give_up(&mut self, core: &mut Core<Event>, request: usize) {
        self.demands.remove(&request);
        let may_have_run = core.stats.requests[request].may_have_run;
        core.set_status(
            request,
            if may_have_run {
                Status::Lost
            } else {
                Status::Refused
            },
        );
    }

    fn end_attempt(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        sent: &Sent,
        outcome: Outcome,
        now: Instant,
    ) {
        self.running[sent.router][sent.engine] -= 1;
        let name = &core.names[sent.engine];
        let workspace = usize::from(core.arrivals[request].workspace);
        let workspace = &self.workspaces[workspace];
        // The result reports only a change of the server's health, which the simulation
        // does not use.
        let _ = self.queues[sent.router].ended(name, workspace, outcome, now);
        self.dequeue_requests(core, sent.router, now);
    }
}

/// Cost of an output token, in prompt tokens.
const OUTPUT_TOKEN_COST: u64 = 20;
/// Requests per second that a cold simulated engine can serve: its limit of four
/// requests at about half a second each.
const COLD_REQUESTS_PER_S: f64 = 8.0;

fn zone(index: usize) -> availability::Zone {
    format!("zone-{index}").parse().expect("a valid name")
}

fn set_servers(pool: &mut Pool, core: &Core<Event>, topology: &Topology) {
    let entries: Vec<(roster::Entry, bool)> = topology
        .members()
        .iter()
        .map(|member| {
            let index = core.engine(&member.id);
            let entry = roster::Entry {
                server: member.id.clone(),
                pool: "engines".parse().expect("a valid name"),
                address: ([127, 0, 0, 1], u16::try_from(index).unwrap_or(0)).into(),
                version: "v1".parse().expect("a valid version"),
                zone: member.zone.clone(),
                slots: core.deployment.engine.capacity,
                is_draining: false,
                cold_until: Instant::ZERO,
                incarnation: 0,
                revision: 0,
            };
            (entry, member.state == topology::State::Excluded)
        })
        .collect();
    pool.set_servers(entries.iter().map(|(entry, excluded)| (entry, *excluded)));
}

impl Policy for Entry {
    type Event = Event;

    fn start(&mut self, core: &mut Core<Event>) {
        core.push(Instant::ZERO, Event::SendLoads);
    }

    fn arrive(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        self.place(core, request, now);
    }

    fn failed(&mut self, core: &mut Core<Event>, failure: Failure, now: Instant) {
        let Some(sent) = self.sent.remove(&failure.attempt) else {
            return;
        };
        let outcome = match failure.verdict {
            Verdict::NotRun => Outcome::Unreachable,
            Verdict::MayHaveRun => Outcome::Failed,
        };
        let pool = self.queues[sent.router].pool_mut();
        if let Some(server) = pool.server_mut(&core.names[sent.engine]) {
            server.end_prefill(sent.uncached);
        }
        let request = Core::<Event>::request(failure.attempt);
        self.end_attempt(core, request, &sent, outcome, now);
        let latency = core.latency(
            core.engine_zone(failure.engine),
            core.router_zone(sent.router),
        );
        core.push(now + latency, Event::Retry(request));
    }

    fn started(&mut self, core: &mut Core<Event>, engine: usize, run: Run, now: Instant) {
        let Some(sent) = self.sent.get(&run.job.attempt).cloned() else {
            return;
        };
        let name: &backend::Server = &core.names[engine];
        let request = Core::<Event>::request(run.job.attempt);
        let Some(server) = self.queues[sent.router].pool_mut().server_mut(name) else {
            return;
        };
        server.end_prefill(sent.uncached);
        if let Some(demand) = self.demands.get(&request) {
            server.record_cached(&demand.parts, now);
        }
        let time_to_first_token = run.first_token_at.since(sent.sent_at);
        let expected = Duration::from_millis(40 + sent.uncached.0 / 30);
        server.record_first_byte(time_to_first_token, expected, now);
    }

    fn finished(&mut self, core: &mut Core<Event>, _: usize, run: Run, now: Instant) {
        let Some(sent) = self.sent.remove(&run.job.attempt) else {
            return;
        };
        let request = Core::<Event>::request(run.job.attempt);
        self.demands.remove(&request);
        self.end_attempt(core, request, &sent, Outcome::Completed, now);
    }

    fn topology_changed(&mut self, core: &mut Core<Event>, router: usize, now: Instant) {
        let topology = core.router_topology(router).clone();
        set_servers(self.queues[router].pool_mut(), core, &topology);
        self.dequeue_requests(core, router, now);
    }

    fn handle(&mut self, core: &mut Core<Event>, event: Event, now: Instant) {
        match event {
            Event::SendLoads => {
                let loads = Event::ReceiveLoads(self.running.clone());
                core.push(now + core.deployment.cross_zone_latency, loads);
                if now < core.until() {
                    core.push(now + GOSSIP_INTERVAL, Event::SendLoads);
                }
            }
            Event::ReceiveLoads(loads) => self.apply_peer_loads(core, &loads, now),
            Event::Retry(request) => self.place(core, request, now),
            Event::Wake(router) => self.dequeue_requests(core, router, now),
        }
    }
}

impl Entry {
    fn apply_peer_loads(&mut self, core: &mut Core<Event>, loads: &[Vec<u32>], now: Instant) {
        let sum = |engine: usize| -> u32 { loads.iter().map(|running| running[engine]).sum() };
        let sums: Vec<u32> = (0..core.names.len()).map(sum).collect();
        for (queue, own) in self.queues.iter_mut().zip(loads) {
            queue.pool_mut().set_peer_load(|name| {
                let engine = core.engine(name);
                sums[engine] - own[engine]
            });
        }
        for router in 0..loads.len() {
            self.dequeue_requests(core, router, now);
        }
    }
}
