//! Entry routers that send requests directly to engines, without coordination.

use std::{collections::BTreeMap, time::Duration};

use units::{request, time::Instant};
use verdict::Verdict;

use super::choice::{Choice, View};
use crate::{
    engine::Run,
    simulation::{Core, Failure, Policy},
    stats::Status,
};

/// Time between two load polls.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of a load report on arrival.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 4;
/// How long a router avoids an engine that refused a connection.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// Events of the uncoordinated routers.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The loads of the engines are read.
    PollLoad,
    /// The load reports reach the routers.
    ApplyReports,
    /// The failure of an attempt reaches the router: request and engine.
    Failed(usize, usize),
}

/// Uncoordinated routers that choose engines by the rule `C`.
#[derive(Debug)]
pub struct Direct<C> {
    choice: C,
    /// Requests in flight by router and engine.
    in_flight: Vec<Vec<u32>>,
    pending_reports: Vec<u32>,
    reported: Vec<u32>,
    tried: BTreeMap<usize, Vec<usize>>,
    avoided: Vec<Vec<Instant>>,
}

impl<C: Choice> Direct<C> {
    /// Creates routers without requests.
    pub fn new(choice: C, routers: usize, engines: usize) -> Self {
        Self {
            choice,
            in_flight: vec![vec![0; engines]; routers],
            pending_reports: vec![0; engines],
            reported: vec![0; engines],
            tried: BTreeMap::new(),
            avoided: vec![vec![Instant::ZERO; engines]; routers],
        }
    }

    fn place(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        let arrival = core.arrivals[request];
        let router = usize::from(arrival.router);
        let mut tried = self.tried.get(&request).cloned().unwrap_or_default();
        if tried.len() >= MAX_ATTEMPTS {
            self.give_up(core, request);
            return;
        }
        let avoided = self.avoided[router].iter().enumerate();
        let attempted = tried.len();
        tried.extend(avoided.filter(|(_, until)| **until > now).map(|(at, _)| at));
        let topology = core.router_topology(router).clone();
        let view = View {
            topology: &topology,
            in_flight: &self.in_flight[router],
            reported: &self.reported,
            tried: &tried,
        };
        let Some(engine) = self.choice.choose(&view, arrival.chat, &mut core.random) else {
            self.give_up(core, request);
            return;
        };
        tried.truncate(attempted);
        tried.push(engine);
        self.tried.insert(request, tried);
        self.in_flight[router][engine] += 1;
        core.record_hops(request, 1);
        let latency = core.latency(core.router_zone(router), core.engine_zone(engine));
        let attempt = core.attempt(request);
        core.send(attempt, engine, now + latency);
    }

    fn give_up(&mut self, core: &mut Core<Event>, request: usize) {
        self.tried.remove(&request);
        let reached = core.stats.requests[request].may_have_run;
        core.set_status(
            request,
            if reached {
                Status::Lost
            } else {
                Status::Refused
            },
        );
    }

    fn release(&mut self, core: &Core<Event>, attempt: request::Attempt, engine: usize) -> usize {
        let request = Core::<Event>::request(attempt);
        let router = usize::from(core.arrivals[request].router);
        self.in_flight[router][engine] -= 1;
        router
    }
}

impl<C: Choice> Policy for Direct<C> {
    type Event = Event;

    fn start(&mut self, core: &mut Core<Event>) {
        core.push(Instant::ZERO, Event::PollLoad);
    }

    fn arrive(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        self.place(core, request, now);
    }

    fn failed(&mut self, core: &mut Core<Event>, failure: Failure, now: Instant) {
        let router = self.release(core, failure.attempt, failure.engine);
        let request = Core::<Event>::request(failure.attempt);
        if failure.verdict == Verdict::NotRun {
            self.avoided[router][failure.engine] = now + AVOID_DURATION;
        }
        let latency = core.latency(core.engine_zone(failure.engine), core.router_zone(router));
        core.push(now + latency, Event::Failed(request, failure.engine));
    }

    fn started(&mut self, _: &mut Core<Event>, _: usize, _: Run, _: Instant) {}

    fn finished(&mut self, core: &mut Core<Event>, engine: usize, run: Run, _: Instant) {
        self.release(core, run.job.attempt, engine);
        let request = Core::<Event>::request(run.job.attempt);
        self.tried.remove(&request);
    }

    fn topology_changed(&mut self, _: &mut Core<Event>, _: usize, _: Instant) {}

    fn handle(&mut self, core: &mut Core<Event>, event: Event, now: Instant) {
        match event {
            Event::PollLoad => {
                self.pending_reports = core.engines.iter().map(|engine| engine.load()).collect();
                core.push(now + REPORT_DELAY, Event::ApplyReports);
                if now < core.until() {
                    core.push(now + REPORT_INTERVAL, Event::PollLoad);
                }
            }
            Event::ApplyReports => self.reported.clone_from(&self.pending_reports),
            Event::Failed(request, _) => self.place(core, request, now),
        }
    }
}
