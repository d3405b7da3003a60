//! Entry routers that decide with [`gateway::pool::Pool`] and tell each other their loads.

use std::{collections::BTreeMap, time::Duration};

use gateway::{
    pool::{Demand, Outcome, Part, Pool},
    roster, route,
    settings::Bounds,
};
use placement::{Topology, topology};
use smallvec::smallvec;
use units::{availability, backend, cost::Cost, host, request, time::Instant};
use verdict::Verdict;

use crate::{
    engine::Run,
    stats::End,
    world::{Core, Failure, Policy},
};

/// How often a router tells the others of its requests in flight.
const TELL_EVERY: Duration = Duration::from_millis(200);
/// How long a request waits before it is placed again when no engine has room.
const WAIT: Duration = Duration::from_millis(20);
/// How often a request is placed before it is given up.
const TRIES: u32 = 50;
/// What the bound of the deployments that are measured against allows.
const BOUNDS: Bounds = Bounds {
    load_multiple: 2.0,
    cold_multiple: 1.5,
    cold_extra: 5.0,
    repeats: gateway::budget::Allowance {
        ratio: 0.2,
        burst: 50.0,
        window_s: 10,
    },
};

/// Events of such routers.
#[derive(Clone, Debug)]
pub enum Event {
    /// Routers tell each other what they have in flight.
    Tell,
    /// What all routers told reaches the others, by router and engine.
    Told(Vec<Vec<u32>>),
    /// A request is placed again.
    Again(usize),
}

/// A request at an engine.
#[derive(Clone, Debug)]
struct Sent {
    router: usize,
    engine: usize,
    unread: Cost,
    sent_at: Instant,
}

/// Routers that decide with a pool of their own.
#[derive(Debug)]
pub struct Entry {
    pools: Vec<Pool>,
    hosts: Vec<host::Id>,
    /// Requests in flight by router and engine.
    running: Vec<Vec<u32>>,
    sent: BTreeMap<request::Attempt, Sent>,
    demands: BTreeMap<usize, (Demand, u32)>,
}

impl Entry {
    /// Routers without requests.
    pub fn new(core: &Core<Event>) -> Self {
        let routers = core.deployment.routers;
        let engines = core.deployment.engines;
        let pools = (0..routers).map(|router| {
            let mut pool = Pool::new(zone(core.router_zone(router)), BOUNDS);
            pool.set_service(route::Service {
                cold_per_s: COLD_PER_S,
                cache_tokens: 1,
            });
            set_servers(&mut pool, core, core.known(router));
            pool
        });
        let host = |router| format!("router-{router:02}").parse().expect("a valid name");
        Self {
            pools: pools.collect(),
            hosts: (0..routers).map(host).collect(),
            running: vec![vec![0; engines]; routers],
            sent: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    fn place(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        let arrival = core.arrivals[request];
        let router = usize::from(arrival.router);
        let (demand, tries) = self.demands.entry(request).or_insert_with(|| {
            let part = Part {
                key: arrival.chat,
                tokens: arrival.prompt,
            };
            let demand = Demand {
                parts: smallvec![part],
                ..Demand::default()
            };
            (demand, 0)
        });
        *tries += 1;
        let placed = self.pools[router].admit(demand, &self.hosts[router], &self.hosts, now);
        match placed {
            Ok(place) => {
                let engine = core.engine(&place.server);
                demand.tried.push(place.server);
                self.send(core, request, router, engine, place.unread, now);
            }
            Err(_) if *tries < TRIES => core.push(now + WAIT, Event::Again(request)),
            Err(_) => self.give_up(core, request),
        }
    }

    fn send(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        router: usize,
        engine: usize,
        unread: Cost,
        now: Instant,
    ) {
        self.running[router][engine] += 1;
        core.hop(request, 1);
        let latency = core.latency(core.router_zone(router), core.engine_zone(engine));
        let attempt = core.attempt(request);
        let sent = Sent {
            router,
            engine,
            unread,
            sent_at: now,
        };
        self.sent.insert(attempt, sent);
        core.send(attempt, engine, now + latency);
    }

    fn give_up(&mut self, core: &mut Core<Event>, request: usize) {
        self.demands.remove(&request);
        let reached = core.stats.requests[request].may_have_run;
        core.end(request, if reached { End::Lost } else { End::Refused });
    }

    fn leave(&mut self, core: &Core<Event>, sent: &Sent, outcome: Outcome, now: Instant) {
        self.running[sent.router][sent.engine] -= 1;
        let name = &core.names[sent.engine];
        // Only the change of a server's standing is told, which nobody needs here.
        let _ = self.pools[sent.router].ended(name, outcome, now);
    }
}

/// Requests a second that a cold engine of the bench bears: its limit of four
/// requests that take about half a second each.
const COLD_PER_S: f64 = 8.0;

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
                zone: member.zone.clone(),
                slots: u32::try_from(core.deployment.engine.capacity).unwrap_or(u32::MAX),
                is_draining: false,
                cold_until: Instant::ZERO,
                born: 0,
                revision: 0,
            };
            (entry, member.state == topology::State::Excluded)
        })
        .collect();
    pool.set_servers(entries.iter().map(|(entry, out)| (entry, *out)));
}

impl Policy for Entry {
    type Event = Event;

    fn start(&mut self, core: &mut Core<Event>) {
        core.push(Instant::ZERO, Event::Tell);
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
        if let Some(server) = self.pools[sent.router].server_mut(&core.names[sent.engine]) {
            server.read(sent.unread);
        }
        self.leave(core, &sent, outcome, now);
        let request = Core::<Event>::request(failure.attempt);
        let latency = core.latency(
            core.engine_zone(failure.engine),
            core.router_zone(sent.router),
        );
        core.push(now + latency, Event::Again(request));
    }

    fn started(&mut self, core: &mut Core<Event>, engine: usize, run: Run, now: Instant) {
        let Some(sent) = self.sent.get(&run.job.attempt).cloned() else {
            return;
        };
        let name: &backend::Server = &core.names[engine];
        let request = Core::<Event>::request(run.job.attempt);
        let Some(server) = self.pools[sent.router].server_mut(name) else {
            return;
        };
        server.read(sent.unread);
        if let Some((demand, _)) = self.demands.get(&request) {
            server.remember(&demand.parts, now);
        }
        let waited = run.first_token_at.since(sent.sent_at);
        let expected = Duration::from_millis(40 + sent.unread.0 / 30);
        server.sample(waited, expected, now);
    }

    fn finished(&mut self, core: &mut Core<Event>, _: usize, run: Run, now: Instant) {
        let Some(sent) = self.sent.remove(&run.job.attempt) else {
            return;
        };
        self.leave(core, &sent, Outcome::Completed, now);
        self.demands
            .remove(&Core::<Event>::request(run.job.attempt));
    }

    fn learned(&mut self, core: &mut Core<Event>, router: usize, _: Instant) {
        let topology = core.known(router).clone();
        set_servers(&mut self.pools[router], core, &topology);
    }

    fn handle(&mut self, core: &mut Core<Event>, event: Event, now: Instant) {
        match event {
            Event::Tell => {
                let told = Event::Told(self.running.clone());
                core.push(now + core.deployment.far, told);
                if now < core.until() {
                    core.push(now + TELL_EVERY, Event::Tell);
                }
            }
            Event::Told(told) => self.hear(core, &told),
            Event::Again(request) => self.place(core, request, now),
        }
    }
}

impl Entry {
    fn hear(&mut self, core: &Core<Event>, told: &[Vec<u32>]) {
        let sum = |engine: usize| -> u32 { told.iter().map(|running| running[engine]).sum() };
        let sums: Vec<u32> = (0..core.names.len()).map(sum).collect();
        for (pool, own) in self.pools.iter_mut().zip(told) {
            pool.set_elsewhere(|name| {
                let engine = core.engine(name);
                sums[engine] - own[engine]
            });
        }
    }
}
