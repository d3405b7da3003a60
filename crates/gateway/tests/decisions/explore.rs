//! All interleavings of a small fleet, over the pure decisions.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    hash::Hash,
    time::Duration,
};

use bytes::Bytes;
use gateway::{
    mirror::Mirror,
    retry_budget::{Allowance, RetryBudget},
    slow_start::{self, Pacer, RateLimit},
    source::{Batch, Row},
};
use units::{backend, host, time::Instant};

use crate::world::{START, host, members, server};

/// Visits every state that can be reached, and returns how many there are.
///
/// States with the same key are the same.
fn explore<S, K: Hash + Eq>(
    start: S,
    key: impl Fn(&S) -> K,
    next: impl Fn(&S) -> Vec<S>,
    check: impl Fn(&S),
) -> usize {
    let mut seen = HashSet::from([key(&start)]);
    let mut open = VecDeque::from([start]);
    while let Some(state) = open.pop_front() {
        check(&state);
        for state in next(&state) {
            if seen.insert(key(&state)) {
                open.push_back(state);
            }
        }
    }
    seen.len()
}

/// All ways in which two routers may act in one step.
fn pairs<S: Clone, E: Copy>(state: &S, events: &[E], apply: impl Fn(&mut S, usize, E)) -> Vec<S> {
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

/// The time between two steps: just longer than one router alone waits between two
/// requests, so that it can send one in each.
const STEP: Duration = Duration::from_millis(92);
/// Steps within one second.
const SECOND: usize = 11;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// It does nothing, or is frozen.
    Idle,
    /// It sends a request, if its share lets it.
    Send,
    /// It hears of the next registration.
    Learn,
    /// It is killed and starts again, without knowing anything.
    Restart,
}

#[derive(Clone, Debug)]
struct Cold {
    step: usize,
    /// How many registrations each router knows; the first is that of router 0.
    known: [usize; 2],
    pacers: [Pacer; 2],
    restarts: [u8; 2],
    /// Requests that the server got in each of the last steps.
    sent: VecDeque<u8>,
}

impl Cold {
    fn now(&self) -> Instant {
        START + STEP * u32::try_from(self.step).expect("a short run")
    }

    fn apply(&mut self, router: usize, event: Event) {
        match event {
            Event::Idle => {}
            Event::Send => self.send(router),
            Event::Learn => self.known[router] = (self.known[router] + 1).min(2),
            // The two are alike but for their order, so one of them restarts.
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
        let share = slow_start::share(LIMIT, &own, &known, &favourite());
        if let Some(share) = share.filter(|_| self.pacers[router].is_ready(now)) {
            self.pacers[router].record(share, now);
            *self.sent.back_mut().expect("this step") += 1;
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

/// A server that router 1 sends to before router 0 does, which registers first:
/// until it knows itself registered, only that keeps it from sending, too.
fn favourite() -> backend::Server {
    let one_only = RateLimit {
        rate: 1.0,
        max_per_s: 1.0,
    };
    let names = (0..100).map(|index| server(&format!("s{index}")));
    let is_first = |name: &backend::Server| {
        slow_start::share(one_only, &host("r1"), &members(2), name).is_some()
    };
    names.into_iter().find(is_first).expect("a server")
}

/// What a server of the sheets bears while it is cold.
const LIMIT: RateLimit = RateLimit {
    rate: 11.0,
    max_per_s: 11.0 * 1.5 + 5.0,
};

/// Two routers share what a cold server bears. They learn of each other at any
/// moments, stand still, and are killed and start again with nothing noted. If
/// in any order of that they send too much, the server falls over, and all its
/// callers get nothing.
#[test]
fn two_routers_never_flood_a_cold_server() {
    let start = Cold {
        step: 0,
        known: [0, 0],
        pacers: [Pacer::default(); 2],
        restarts: [0, 0],
        sent: VecDeque::from([0; SECOND]),
    };
    let events = [Event::Idle, Event::Send, Event::Learn, Event::Restart];
    let next = |state: &Cold| {
        if state.step >= SECOND {
            return Vec::new();
        }
        let mut state = state.clone();
        state.step += 1;
        state.sent.pop_front();
        state.sent.push_back(0);
        pairs(&state, &events, Cold::apply)
    };
    let states = explore(start, Cold::key, next, |state| {
        let sent: u32 = state.sent.iter().copied().map(u32::from).sum();
        assert!(f64::from(sent) <= LIMIT.max_per_s, "{state:?}");
    });
    assert!(states > 10_000, "{states}");
}

#[derive(Clone, Debug)]
struct Repeats {
    step: u32,
    budgets: [RetryBudget; 2],
    /// First arrivals and repeats so far.
    arrivals: u32,
    repeats: u32,
    restarts: u8,
}

/// What the fleet may repeat in one window.
const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    burst: 4.0,
    window_s: 10,
};

/// Two routers share what may be repeated, and one of them is killed and starts
/// again with a budget that knows nothing of before. If together they repeat
/// more, a service in trouble gets the more work the worse it is off.
#[test]
fn two_routers_never_repeat_more_than_allowed() {
    let start = Repeats {
        step: 0,
        budgets: [0, 1].map(|_| RetryBudget::new(ALLOWANCE, 2, START)),
        arrivals: 0,
        repeats: 0,
        restarts: 0,
    };
    let next = |state: &Repeats| {
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
                    1 => state.repeats += u32::from(state.budgets[router].withdraw(2, now)),
                    _ if state.restarts == 0 => {
                        state.restarts = 1;
                        state.budgets[router] = RetryBudget::new(ALLOWANCE, 2, now);
                    }
                    _ => {}
                }
                states.push(state);
            }
        }
        states
    };
    let key = |state: &Repeats| format!("{state:?}");
    let states = explore(start, key, next, |state| {
        let allowed = ALLOWANCE.ratio * f64::from(state.arrivals) + ALLOWANCE.burst;
        assert!(f64::from(state.repeats) <= allowed, "{state:?}");
    });
    assert!(states > 1_000, "{states}");
}

/// The newest version that the store holds in the exploration.
const NEWEST: u64 = 3;

#[derive(Clone, Debug)]
struct Rows {
    stored: u64,
    mirrors: [Mirror; 2],
    /// Whether a version was ever in force that is older than the one before it.
    has_reverted: bool,
    restarts: u8,
}

impl Rows {
    fn in_force(&self, router: usize) -> u64 {
        let rows = self.mirrors[router].rows();
        rows.map(|row| row.version).max().unwrap_or(0)
    }

    fn take(&mut self, router: usize, batch: &Batch) {
        let before = self.in_force(router);
        self.mirrors[router].merge(batch);
        self.has_reverted |= self.in_force(router) < before;
    }

    fn key(&self) -> impl Hash + Eq + use<> {
        let rows = [0, 1].map(|router| (self.in_force(router), self.mirrors[router].newest()));
        (self.stored, rows, self.has_reverted, self.restarts)
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
        is_whole: true,
    }
}

/// The store takes new configurations. Two routers read it, fresh or stale, ask
/// each other, and one of them starts again, in any order. If a configuration
/// that is in force ever gave way to an older one, a key that was taken away
/// would be good again.
#[test]
fn two_routers_never_go_back_to_an_older_configuration() {
    let start = Rows {
        stored: 1,
        mirrors: [Mirror::default(), Mirror::default()],
        has_reverted: false,
        restarts: 0,
    };
    let next = |state: &Rows| {
        let mut states = Vec::new();
        let mut push = |change: &dyn Fn(&mut Rows)| {
            let mut state = state.clone();
            change(&mut state);
            states.push(state);
        };
        push(&|state| state.stored = (state.stored + 1).min(NEWEST));
        for router in 0..2 {
            for version in 1..=state.stored {
                push(&|state| state.take(router, &read(version)));
            }
            for known in 0..=NEWEST {
                push(&|state| {
                    let batch = state.mirrors[1 - router].since(known);
                    state.take(router, &batch);
                });
            }
            if state.restarts == 0 {
                push(&|state| {
                    state.restarts = 1;
                    state.mirrors[router] = Mirror::default();
                });
            }
        }
        states
    };
    let states = explore(start, Rows::key, next, |state| {
        assert!(!state.has_reverted, "{state:?}");
        // Whatever happened, one fresh read brings a router up to date.
        let mut state = state.clone();
        state.take(0, &read(state.stored));
        assert_eq!(state.in_force(0), state.stored);
    });
    assert!(states > 50, "{states}");
}

/// The exploration itself: a bound that is too small is seen to be broken.
#[test]
fn the_exploration_finds_what_can_happen() {
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
    let most = std::cell::Cell::new(0);
    let states = explore(BTreeMap::new(), BTreeMap::clone, next, |state| {
        most.set(most.get().max(state.values().sum()));
    });
    assert_eq!(most.get(), 6);
    assert_eq!(states, 16);
}
