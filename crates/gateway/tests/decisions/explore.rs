//! Exhaustive exploration of the interleavings of two routers, over the pure decision code.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    hash::Hash,
    time::Duration,
};

use bytes::Bytes;
use gateway::{
    replica::Replica,
    retry_budget::{Allowance, Budget},
    slow_start::{self, Pacer, RateLimit},
    source::{Batch, Row},
};
use units::{backend, host, time::Instant};

use crate::world::{START, host, members, server};

/// Visits every reachable state and returns the number of states.
///
/// States with equal keys count as one.
fn explore<S, K: Hash + Eq>(
    start: S,
    key: impl Fn(&S) -> K,
    next: impl Fn(&S) -> Vec<S>,
    check: impl Fn(&S),
) -> usize {
    let mut seen = HashSet::from([key(&start)]);
    let mut frontier = VecDeque::from([start]);
    while let Some(state) = frontier.pop_front() {
        check(&state);
        for state in next(&state) {
            if seen.insert(key(&state)) {
                frontier.push_back(state);
            }
        }
    }
    seen.len()
}

/// All combinations of one event at each of two routers.
fn joint_steps<S: Clone, E: Copy>(
    state: &S,
    events: &[E],
    apply: impl Fn(&mut S, usize, E),
) -> Vec<S> {
    let mut states = Vec::new();
    for &first in events {
        for &second in events {
            let mut state = state.clone();
            apply(&mut state, 0, first);
            apply(&mut state, 1, second);
            states.push(state);
        }
    }
    states
}

/// The time between two steps: just longer than the interval at which one router alone may
/// send requests, so that it can send one in each step.
const STEP: Duration = Duration::from_millis(92);
/// The number of steps in one second.
const SECOND: usize = 11;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The router does nothing, or is frozen.
    Idle,
    /// The router sends a request if its share of the slow-start limit allows it.
    Send,
    /// The router learns of the next registration.
    Learn,
    /// The router is killed and restarts without any state.
    Restart,
}

#[derive(Clone, Debug)]
struct ColdStart {
    step: usize,
    /// The number of registrations that each router knows; router 0 registers
    /// first.
    known: [usize; 2],
    pacers: [Pacer; 2],
    restarts: [u8; 2],
    /// The number of requests sent to the server in each of the last steps.
    sent: VecDeque<u8>,
}

impl ColdStart {
    fn now(&self) -> Instant {
        START + STEP * u32::try_from(self.step).expect("the step fits u32")
    }

    fn apply(&mut self, router: usize, event: Event) {
        match event {
            Event::Idle => {}
            Event::Send => self.send(router),
            Event::Learn => self.known[router] = (self.known[router] + 1).min(2),
            // The two routers differ only in their order, so it is enough that one of them
            // restarts.
            Event::Restart if router == 1 && self.restarts[router] < 1 => {
                self.restarts[router] += 1;
                self.known[router] = 0;
                self.pacers[router] = Pacer::default();
            }
            Event::Restart => {}
        }
    }

    fn send(&mut self, router: usize) {
        let now = self.now();
        let known: Vec<host::Id> = members(self.known[router]);
        let own = host(&format!("r{router}"));
        let share = slow_start::share(LIMIT, &own, &known, &server_led_by_router_1());
        if let Some(share) = share.filter(|_| self.pacers[router].is_ready(now)) {
            self.pacers[router].record(share, now);
            *self.sent.back_mut().expect("an entry for the current step") += 1;
        }
    }

    fn key(&self) -> impl Hash + Eq + use<> {
        let waits = self
            .pacers
            .map(|pacer| pacer.ready_at().since(self.now()).as_micros());
        (
            self.step,
            self.known,
            waits,
            self.restarts,
            self.sent.clone(),
        )
    }
}

/// A server for which router 1 ranks before router 0, which registers first. Until router 1
/// knows its own registration, only the missing registration keeps it from sending as well.
fn server_led_by_router_1() -> backend::Server {
    let one_only = RateLimit {
        rate: 1.0,
        max_per_s: 1.0,
    };
    let names = (0..100).map(|index| server(&format!("s{index}")));
    let is_first = |name: &backend::Server| {
        slow_start::share(one_only, &host("r1"), &members(2), name).is_some()
    };
    names
        .into_iter()
        .find(is_first)
        .expect("a server led by router 1")
}

/// The slow-start limit of a cold server.
const LIMIT: RateLimit = RateLimit {
    rate: 11.0,
    max_per_s: 11.0 * 1.5 + 5.0,
};

/// Guards against overload of a cold server by two routers that share its slow-start limit.
/// They learn of each other at any time, freeze, and are killed and restarted without
/// state, in any order. If they exceed the limit, the server fails and with it all its
/// requests.
#[test]
fn two_routers_never_exceed_the_slow_start_limit() {
    let start = ColdStart {
        step: 0,
        known: [0, 0],
        pacers: [Pacer::default(); 2],
        restarts: [0, 0],
        sent: VecDeque::from([0; SECOND]),
    };
    let events = [Event::Idle, Event::Send, Event::Learn, Event::Restart];
    let next = |state: &ColdStart| {
        if state.step >= SECOND {
            return Vec::new();
        }
        let mut state = state.clone();
        state.step += 1;
        state.sent.pop_front();
        state.sent.push_back(0);
        joint_steps(&state, &events, ColdStart::apply)
    };
    let states = explore(start, ColdStart::key, next, |state| {
        let sent: u32 = state.sent.iter().copied().map(u32::from).sum();
        assert!(f64::from(sent) <= LIMIT.max_per_s, "{state:?}");
    });
    assert!(states > 10_000, "{states}");
}

#[derive(Clone, Debug)]
struct Retries {
    step: u32,
    budgets: [Budget; 2],
    /// First attempts and retries so far.
    arrivals: u32,
    retries: u32,
    restarts: u8,
}

/// The retry budget of the fleet in one window.
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    burst: 4.0,
    window: Duration::from_secs(10),
};

/// Guards against a retry storm: two routers share a retry budget, and one of them is
/// killed and restarts with an empty history. If together they exceed the budget, a failing
/// service receives more requests the worse its state is.
#[test]
fn two_routers_never_exceed_the_retry_budget() {
    let start = Retries {
        step: 0,
        budgets: [0, 1].map(|_| Budget::new(ALLOWANCE, 2, START)),
        arrivals: 0,
        retries: 0,
        restarts: 0,
    };
    let next = |state: &Retries| {
        if state.step >= 6 {
            return Vec::new();
        }
        let mut states = Vec::new();
        for router in 0..2 {
            for event in 0..3 {
                let mut state = state.clone();
                state.step += 1;
                let now = START + Duration::from_millis(u64::from(state.step) * 100);
                match event {
                    0 => {
                        state.budgets[router].deposit(2);
                        state.arrivals += 1;
                    }
                    1 => state.retries += u32::from(state.budgets[router].withdraw(2, now)),
                    _ if state.restarts == 0 => {
                        state.restarts = 1;
                        state.budgets[router] = Budget::new(ALLOWANCE, 2, now);
                    }
                    _ => {}
                }
                states.push(state);
            }
        }
        states
    };
    let key = |state: &Retries| format!("{state:?}");
    let states = explore(start, key, next, |state| {
        let allowed = ALLOWANCE.ratio * f64::from(state.arrivals) + ALLOWANCE.burst;
        assert!(f64::from(state.retries) <= allowed, "{state:?}");
    });
    assert!(states > 1_000, "{states}");
}

/// The newest version that the store holds in the exploration.
const LATEST_VERSION: u64 = 3;

#[derive(Clone, Debug)]
struct ReplicaState {
    stored: u64,
    replicas: [Replica; 2],
    /// Whether a configuration was ever replaced by an older one.
    has_rolled_back: bool,
    restarts: u8,
}

impl ReplicaState {
    fn in_force(&self, router: usize) -> u64 {
        let rows = self.replicas[router].rows();
        rows.map(|row| row.version).max().unwrap_or(0)
    }

    fn merge(&mut self, router: usize, batch: &Batch) {
        let before = self.in_force(router);
        self.replicas[router].merge(batch);
        self.has_rolled_back |= self.in_force(router) < before;
    }

    fn key(&self) -> impl Hash + Eq + use<> {
        let rows = [0, 1].map(|router| (self.in_force(router), self.replicas[router].newest()));
        (self.stored, rows, self.has_rolled_back, self.restarts)
    }
}

fn read(version: u64) -> Batch {
    let row = Row {
        key: String::from("config"),
        version,
        value: Some(Bytes::from(version.to_string()).into()),
    };
    Batch {
        rows: vec![row],
        version,
        is_snapshot: true,
    }
}

/// Guards against a configuration rollback, after which a revoked key would be valid again.
/// The store accepts new configurations while two routers read it, fresh or stale, fetch
/// from each other, and one of them restarts, in any order.
#[test]
fn two_routers_never_roll_back_a_configuration() {
    let start = ReplicaState {
        stored: 1,
        replicas: [Replica::default(), Replica::default()],
        has_rolled_back: false,
        restarts: 0,
    };
    let next = |state: &ReplicaState| {
        let mut states = Vec::new();
        let mut push = |change: &dyn Fn(&mut ReplicaState)| {
            let mut state = state.clone();
            change(&mut state);
            states.push(state);
        };
        push(&|state| state.stored = (state.stored + 1).min(LATEST_VERSION));
        for router in 0..2 {
            for version in 1..=state.stored {
                push(&|state| state.merge(router, &read(version)));
            }
            for known in 0..=LATEST_VERSION {
                push(&|state| {
                    let batch = state.replicas[1 - router].since(known);
                    state.merge(router, &batch);
                });
            }
            if state.restarts == 0 {
                push(&|state| {
                    state.restarts = 1;
                    state.replicas[router] = Replica::default();
                });
            }
        }
        states
    };
    let states = explore(start, ReplicaState::key, next, |state| {
        assert!(!state.has_rolled_back, "{state:?}");
        // After any history, one fresh read brings a router up to date.
        let mut state = state.clone();
        state.merge(0, &read(state.stored));
        assert_eq!(state.in_force(0), state.stored);
    });
    assert!(states > 50, "{states}");
}

/// Checks the exploration itself: it visits every state, including those at the bounds.
#[test]
fn the_exploration_reaches_every_state() {
    let next = |state: &BTreeMap<u8, u8>| {
        let mut states = Vec::new();
        for counter in 0..2 {
            let mut state = state.clone();
            let count = state.entry(counter).or_default();
            *count = (*count + 1).min(3);
            states.push(state);
        }
        states
    };
    let highest = std::cell::Cell::new(0);
    let states = explore(BTreeMap::new(), BTreeMap::clone, next, |state| {
        highest.set(highest.get().max(state.values().sum()));
    });
    assert_eq!(highest.get(), 6);
    assert_eq!(states, 16);
}
