//! The emulator: callers, routers and servers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use gateway::{
    retry_budget::{Allowance, Budget},
    silence::{Health, Watch},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::time::Instant;

use super::{
    scenario::{AFTER, FAULT_AT, Scenario, Summary, Way},
    server::{Attempt, Server},
    ways,
};
use crate::world::START;

/// The target of a stream, and the shortest gap that is a silence.
pub const TARGET: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(10);
/// The gap after which a caller leaves.
pub const CALLER_PATIENCE: Duration = Duration::from_millis(2400);
const SLOTS: u32 = 64;
/// Streams a server and second: they last for 2 s and use half of the slots.
const RATE: f64 = 16.0;
/// How long two servers may work on a stream at once.
pub const LONG_OVERLAP: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Arrive(usize),
    Fault,
    /// The next event of an attempt after a silence, or the first one of a repeat.
    Speak(usize, u64),
    /// The attempt of this plan has been silent for a target.
    Silent(usize, u64),
    Done(usize, u64),
    /// The timer of a stream whose server is silent.
    Act(usize, u64),
    Checked(ways::Target, Health),
    /// Closes the first attempt of a stream if it was sent at this instant and another one is open.
    CloseFirst(usize, Instant),
    /// The caller leaves unless something has arrived since this instant.
    CallerLeaves(usize, Instant),
}

pub struct Stream {
    pub router: usize,
    pub began_at: Instant,
    pub deadline: Instant,
    /// The events that the caller has received.
    pub position: u32,
    pub last_event_at: Instant,
    /// The first, and one that it was sent to later.
    pub attempts: Vec<Attempt>,
    pub watch: Option<Watch>,
    /// The number of the timer or check that is awaited.
    pub timer: u64,
    /// From when on its server was silent for good.
    pub stuck_since: Option<Instant>,
    pub was_refused: bool,
    /// The places in a row that did not respond to a check.
    pub silent_places: Vec<usize>,
    /// When an attempt that its router has given up would have gone on.
    pub given_up_at: Instant,
}

pub struct World {
    pub scenario: Scenario,
    pub rng: ChaCha8Rng,
    pub now: Instant,
    pub servers: Vec<Server>,
    pub budgets: Vec<Budget>,
    pub streams: Vec<Stream>,
    pub checks: BTreeMap<ways::Target, Vec<ways::Waiter>>,
    pub queue: BinaryHeap<Reverse<(Instant, usize)>>,
    pub events: Vec<Event>,
    pub serial: u64,
    pub summary: Summary,
}

impl World {
    pub fn run(scenario: Scenario, seed: u64) -> Summary {
        let mut world = Self::new(scenario, seed);
        world.schedule(START + FAULT_AT, Event::Fault);
        world.add_streams(seed);
        while let Some(Reverse((at, index))) = world.queue.pop() {
            world.now = at;
            world.handle(world.events[index]);
        }
        assert!(world.streams.iter().all(|it| it.attempts.is_empty()));
        assert!(world.servers.iter().all(|it| it.in_use == 0));
        world.summary
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let allowance = Allowance {
            ratio: 0.2,
            burst: scenario.burst,
            window: Duration::from_secs(10),
        };
        let budget = Budget::new(allowance, scenario.routers, START);
        let mut faults = ChaCha8Rng::seed_from_u64(seed + 1000);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: START,
            servers: Server::all(&scenario, &mut faults),
            budgets: vec![budget; scenario.routers],
            streams: Vec::new(),
            checks: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            serial: 0,
            summary: Summary {
                connections: vec![Vec::new(); scenario.routers],
                ..Summary::default()
            },
            scenario,
        }
    }

    /// Streams that do not depend on the way.
    fn add_streams(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 2000);
        let rate = RATE * self.scenario.servers as f64;
        let mut at = START;
        loop {
            at = at + Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            if at > START + FAULT_AT + AFTER {
                return;
            }
            self.schedule(at, Event::Arrive(self.streams.len()));
            self.streams.push(Stream {
                router: rng.random_range(0..self.scenario.routers),
                began_at: at,
                deadline: at + DEADLINE,
                position: 0,
                last_event_at: at,
                attempts: Vec::new(),
                watch: None,
                timer: 0,
                stuck_since: None,
                was_refused: false,
                silent_places: Vec::new(),
                given_up_at: Instant::NEVER,
            });
        }
    }

    pub fn schedule(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::Fault => self.break_attempts(),
            Event::Speak(stream, plan) => self.speak(stream, plan),
            Event::Silent(stream, plan) => self.fall_silent(stream, plan),
            Event::Done(stream, plan) => {
                if let Some(index) = self.find(stream, plan) {
                    self.receive(stream, index);
                    let is_whole = self.streams[stream].position == self.scenario.events();
                    self.summary.disorder += u32::from(!is_whole);
                    self.end(stream);
                }
            }
            Event::Act(stream, timer) => {
                if self.streams[stream].timer == timer {
                    self.act(stream);
                }
            }
            Event::Checked(target, health) => self.checked(target, health),
            Event::CloseFirst(stream, sent_at) => self.close_before(stream, sent_at),
            Event::CallerLeaves(stream, last_event_at) => self.leave(stream, last_event_at),
        }
    }

    /// Closes the first attempt of a stream as soon as the server of the other one responds to a
    /// check.
    fn close_before(&mut self, stream: usize, sent_at: Instant) {
        let it = &self.streams[stream];
        if it.attempts.len() < 2 || it.attempts[0].sent_at != sent_at {
            return;
        }
        let (router, server) = (it.router, it.attempts[1].server);
        self.summary.checks += 1;
        self.summary.record_connection(router, self.now);
        if self.servers[server].responds_at(self.now) <= self.now {
            return self.give_up(stream, 0);
        }
        self.schedule(self.now + ways::AGAIN, Event::CloseFirst(stream, sent_at));
    }

    fn leave(&mut self, stream: usize, last_event_at: Instant) {
        let it = &self.streams[stream];
        if it.attempts.is_empty() || it.last_event_at != last_event_at {
            return;
        }
        if it.given_up_at <= self.now {
            self.summary.cut += 1;
        } else {
            self.summary.left += 1;
        }
        self.end(stream);
    }

    fn arrive(&mut self, stream: usize) {
        self.summary.streams += 1;
        let router = self.streams[stream].router;
        let Some(server) = self.choose(stream, None) else {
            self.summary.refused += 1;
            return;
        };
        self.budgets[router].deposit(self.scenario.routers);
        self.open(stream, server);
    }

    /// The less used of two random servers that have a free slot and are not used by the stream.
    pub fn choose(&mut self, stream: usize, except: Option<usize>) -> Option<usize> {
        let is_repeat = !self.streams[stream].attempts.is_empty();
        let avoids_silent = is_repeat && self.scenario.way == Way::AskFleet;
        let attempts = &self.streams[stream].attempts;
        let is_free = |index: &usize| {
            let server = &self.servers[*index];
            server.in_use < SLOTS
                && server.is_listed(self.now)
                && Some(*index) != except
                && !self.streams[stream].silent_places.contains(index)
                && attempts.iter().all(|attempt| attempt.server != *index)
                && !(avoids_silent && self.is_known_silent(server))
        };
        let free: Vec<usize> = (0..self.servers.len()).filter(is_free).collect();
        if free.is_empty() {
            return None;
        }
        let mut pick = || free[self.rng.random_range(0..free.len())];
        let (one, other) = (pick(), pick());
        Some(if self.servers[other].in_use < self.servers[one].in_use {
            other
        } else {
            one
        })
    }

    pub fn open(&mut self, stream: usize, server: usize) {
        self.servers[server].in_use += 1;
        let it = &mut self.streams[stream];
        it.attempts.push(Attempt {
            server,
            sent_at: self.now,
            first: it.position,
            received: 0,
            plan: 0,
            is_repeat: self.now != it.began_at,
            broken: None,
            gap: self.scenario.gap,
        });
        self.plan(stream, self.streams[stream].attempts.len() - 1);
    }
}
