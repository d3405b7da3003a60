//! Simulation of one engine, its owner and a stream of requests in virtual time.

use std::{collections::BTreeMap, time::Duration};

use admission::{Action, Decision, Outcome, Report, Server, Standing, Ticket};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
    workspace,
};

use crate::engine::{Engine, Profile};

#[derive(Clone, Debug)]
enum Event {
    Arrive(Ticket),
    FirstToken(Attempt),
    Done(Attempt, Outcome),
    /// The engine creates a report, which arrives after `REPORT_LAG`.
    Report,
    Reported(Report),
    Tick,
    TurnCold,
    /// The engine restarts: running requests are lost and their connections break.
    Restart,
}

/// Delay from the creation of a report to its arrival.
const REPORT_LAG: Duration = Duration::from_millis(800);
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Statistics of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Queue times of admitted requests in milliseconds, by workspace.
    pub waits: BTreeMap<workspace::Id, Vec<u64>>,
    pub refused: BTreeMap<workspace::Id, u64>,
    pub completed: u64,
    /// Requests sent to a cold engine beyond its capacity, before and after the
    /// limit reached one.
    pub overload: (u64, u64),
    pub detected_at: Option<Instant>,
}

pub struct Sim {
    pub server: Server,
    pub engine: Engine,
    pub stats: Stats,
    pub now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    next_sequence: u64,
    tickets: BTreeMap<Attempt, (Ticket, Instant)>,
    running: BTreeMap<Attempt, u64>,
    boots: u64,
    cold_at: Option<Instant>,
}

impl Sim {
    pub fn new(server: Server, profile: Profile) -> Self {
        let now = Instant::ZERO;
        Self {
            server,
            engine: Engine::new(profile, now),
            stats: Stats::default(),
            now,
            events: BTreeMap::new(),
            next_sequence: 0,
            tickets: BTreeMap::new(),
            running: BTreeMap::new(),
            boots: 0,
            cold_at: Some(now),
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next_sequence += 1;
        self.events.insert((at, self.next_sequence), event);
    }

    /// Schedules Poisson arrivals of `workspace` at `rate` requests per second.
    pub fn schedule_arrivals(
        &mut self,
        workspace: &str,
        rate: f64,
        span: (u64, u64),
        costs: (u64, u64),
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut at = Instant::from_millis(span.0 * 1000);
        loop {
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            at = at + Duration::from_secs_f64(gap);
            if at >= Instant::from_millis(span.1 * 1000) {
                break;
            }
            let ticket = Ticket {
                attempt: Attempt(rng.random()),
                workspace: workspace.parse().expect("a valid name"),
                cost: Cost(rng.random_range(costs.0..costs.1)),
                priority: Priority::Normal,
                standing: Standing::Clear,
                deadline: at + REQUEST_TIMEOUT,
            };
            self.push(at, Event::Arrive(ticket));
        }
    }

    pub fn schedule_reports(&mut self, until: u64) {
        let mut at = self.now;
        while at < Instant::from_millis(until * 1000) {
            self.push(at, Event::Report);
            at = at + REPORT_INTERVAL;
        }
    }

    pub fn turn_cold(&mut self, second: u64) {
        self.push(Instant::from_millis(second * 1000), Event::TurnCold);
    }

    pub fn restart(&mut self, second: u64) {
        self.push(Instant::from_millis(second * 1000), Event::Restart);
    }

    /// Drains the server: queued requests are refused, running ones continue.
    pub fn drain(&mut self) {
        for action in self.server.stop() {
            if let Action::Refuse(attempt, _) = action {
                self.record_refusal(attempt);
            }
        }
    }

    /// Processes all events before `second`.
    pub fn run(&mut self, second: u64) {
        self.run_to(Instant::from_millis(second * 1000));
    }

    pub fn run_to(&mut self, until: Instant) {
        while let Some((&(at, _), _)) = self.events.first_key_value() {
            let due = self
                .server
                .next_tick()
                .unwrap_or(Instant::NEVER)
                .max(self.now);
            if due.min(at) >= until {
                break;
            }
            if due < at {
                self.now = due;
                self.handle(Event::Tick);
                continue;
            }
            let Some((_, event)) = self.events.pop_first() else {
                break;
            };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let actions = match event {
            Event::Arrive(ticket) => {
                let attempt = ticket.attempt;
                self.tickets.insert(attempt, (ticket.clone(), now));
                let offered = self.server.offer(ticket, now);
                match offered.decision {
                    Decision::Admitted => self.send(attempt),
                    Decision::Queued => {}
                    Decision::Refused(_) => self.record_refusal(attempt),
                }
                offered.others
            }
            Event::FirstToken(attempt) if self.is_current(attempt) => {
                self.server.first_token(attempt, now)
            }
            Event::Done(attempt, outcome) if self.is_current(attempt) => {
                self.finish(attempt, outcome)
            }
            Event::FirstToken(_) | Event::Done(..) => return,
            Event::Report => {
                let report = self.engine.report();
                return self.push(now + REPORT_LAG, Event::Reported(report));
            }
            Event::Reported(report) => self.server.report(report, now),
            Event::Tick => self.server.tick(now),
            Event::TurnCold => {
                self.engine.turn_cold(now);
                self.cold_at = Some(now);
                return self.stats.detected_at = None;
            }
            Event::Restart => return self.crash(),
        };
        for action in actions {
            match action {
                Action::Admit(attempt) => self.send(attempt),
                Action::Refuse(attempt, _) => self.record_refusal(attempt),
            }
        }
        let snapshot = self.server.snapshot(now);
        if self.cold_at.is_some() && self.stats.detected_at.is_none() && snapshot.limit == 1 {
            self.stats.detected_at = Some(now);
        }
    }

    /// Restarts the engine, which breaks all connections.
    fn crash(&mut self) {
        self.engine.restart(self.now);
        self.boots += 1;
        self.cold_at = Some(self.now);
        self.stats.detected_at = None;
        let broken: Vec<Attempt> = self.running.keys().copied().collect();
        for attempt in broken {
            self.running.insert(attempt, self.boots);
            self.push(self.now, Event::Done(attempt, Outcome::Failed));
        }
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        self.running.contains_key(&attempt)
    }

    fn finish(&mut self, attempt: Attempt, outcome: Outcome) -> admission::Actions {
        let boot = self.running.remove(&attempt);
        if matches!(outcome, Outcome::Completed { .. }) {
            if boot != Some(self.boots) {
                return admission::Actions::new();
            }
            self.engine.running -= 1;
            self.stats.completed += 1;
        }
        self.server.finish(attempt, outcome, self.now)
    }

    fn send(&mut self, attempt: Attempt) {
        let now = self.now;
        let (ticket, arrived_at) = self.tickets.remove(&attempt).expect("an offered ticket");
        let wait = now.since(arrived_at).as_millis() as u64;
        self.stats
            .waits
            .entry(ticket.workspace)
            .or_default()
            .push(wait);
        let (first_token_at, ended_at) = self.engine.start(ticket.cost, now);
        if self.engine.warm_fraction(now) < 1.0 && self.engine.running > self.engine.capacity(now) {
            match self.stats.detected_at {
                None => self.stats.overload.0 += 1,
                Some(_) => self.stats.overload.1 += 1,
            }
        }
        self.running.insert(attempt, self.boots);
        self.push(first_token_at, Event::FirstToken(attempt));
        let outcome = Outcome::Completed {
            first_token_at,
            ended_at,
        };
        self.push(ended_at, Event::Done(attempt, outcome));
    }

    fn record_refusal(&mut self, attempt: Attempt) {
        let (ticket, _) = self.tickets.remove(&attempt).expect("an offered ticket");
        *self.stats.refused.entry(ticket.workspace).or_default() += 1;
    }
}

/// The quantile of `values` at `share`.
pub fn quantile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (sorted.len() as f64 * share) as usize;
    sorted.get(rank).or(sorted.last()).copied().unwrap_or(0)
}
