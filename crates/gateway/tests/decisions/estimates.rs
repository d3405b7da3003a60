//! Estimates of what other routers have placed since the last sum of their loads.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use footprint::{Tokens, Usage};
use gateway::{
    clock::Clock,
    dispatch::{Dispatch, Message},
    load::{
        Load,
        growth::{Estimator, Known},
    },
    metrics::Metrics,
    outlier::OutcomeCounts,
    pool::{Demand, Fleet, Outcome, Pool},
    roster, route,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use tokio::sync::oneshot;
use units::{backend, time::Instant};
use yare::parameterized;

use crate::world::{self, START, demand, entry, host, pool};

const SERVERS: usize = 144;
const SLOTS: u32 = 12;
/// The interval of sums, and the delay with which they arrive, in ms: they are used until the
/// next one arrives, at an age of 200 to 700 ms.
const ROUND_MS: u64 = 200;
const DELAY_MS: std::ops::Range<u64> = 200..500;

/// A fleet of routers that place requests by sums of their loads.
struct Fleets {
    random: SmallRng,
    pools: Vec<Pool>,
    estimators: Vec<Estimator>,
    estimates: bool,
    /// Requests by router and server.
    running: Vec<BTreeMap<backend::Server, u32>>,
    /// The ends of requests, by time.
    ends: BTreeMap<(Instant, u64), (usize, backend::Server)>,
    /// Sums on their way, by arrival.
    sums: BTreeMap<(Instant, usize), BTreeMap<backend::Server, u32>>,
    count: u64,
    /// Requests that reached a full server, and those that were placed or found no slot.
    overfilled: u64,
    placed: u64,
    denied: u64,
    /// The sum of errors of the expected load, over samples.
    error: f64,
    bias: f64,
    samples: u64,
}

fn servers() -> Vec<roster::Entry> {
    let names = (0..SERVERS).map(|index| format!("s{index:03}"));
    names
        .map(|name| roster::Entry {
            slots: SLOTS,
            ..entry(&name, "a")
        })
        .collect()
}

impl Fleets {
    fn new(routers: usize, estimates: bool) -> Self {
        let entries = servers();
        let mut bounds = crate::world::bounds();
        bounds.load_multiple = 8.0;
        bounds.is_contended = estimates;
        Self {
            random: SmallRng::seed_from_u64(7),
            pools: (0..routers)
                .map(|_| {
                    let mut pool = pool(&entries);
                    pool.set_bounds(bounds);
                    pool.set_service(route::Service {
                        cache_tokens: 10 * world::engine().cache_tokens,
                        ..world::engine()
                    });
                    pool
                })
                .collect(),
            estimators: vec![Estimator::default(); routers],
            estimates,
            running: vec![BTreeMap::new(); routers],
            ends: BTreeMap::new(),
            sums: BTreeMap::new(),
            count: 0,
            overfilled: 0,
            placed: 0,
            denied: 0,
            error: 0.0,
            bias: 0.0,
            samples: 0,
        }
    }

    fn total(&self) -> BTreeMap<backend::Server, u32> {
        let mut total = BTreeMap::new();
        for (server, running) in self.running.iter().flatten() {
            *total.entry(server.clone()).or_insert(0) += running;
        }
        total
    }

    fn place(&mut self, total: &mut BTreeMap<backend::Server, u32>, now: Instant) {
        let router = self.random.random_range(0..self.pools.len());
        let fleet = Fleet {
            own: host("r0"),
            members: vec![host("r0")],
        };
        self.count += 1;
        let topic = self.random.random_range(0..200);
        // Of a length that is known, so that the memory of engines refuses nothing.
        let demand = Demand {
            usage: Usage {
                prompt: Some(Tokens(11_500)),
                hint: Some(Tokens(300)),
                most: Some(Tokens(300)),
            },
            ..demand(topic, self.count)
        };
        let Ok(placement) = self.pools[router].admit(&demand, &fleet, now) else {
            self.denied += 1;
            return;
        };
        let server = self.pools[router].server_mut(&placement.server);
        let server = server.expect("the server");
        server.end_prefill(placement.uncached);
        server.record_cached(&demand.parts, now);
        self.placed += 1;
        let name = placement.server;
        let real = total.entry(name.clone()).or_insert(0);
        self.overfilled += u64::from(*real >= SLOTS);
        *real += 1;
        *self.running[router].entry(name.clone()).or_insert(0) += 1;
        let duration = Duration::from_millis(self.random.random_range(500..1500));
        self.ends
            .insert((now + duration, self.count), (router, name));
    }

    fn end_requests(&mut self, now: Instant) {
        while let Some(first) = self.ends.first_entry() {
            if first.key().0 > now {
                return;
            }
            let (router, name) = first.remove();
            if let Some(running) = self.running[router].get_mut(&name) {
                *running -= 1;
            }
            self.pools[router].ended(&name, Outcome::Completed, now);
        }
    }

    fn deliver(&mut self, now: Instant) {
        while let Some(first) = self.sums.first_entry() {
            if first.key().0 > now {
                return;
            }
            let ((_, router), sum) = first.remove_entry();
            let own = &self.running[router];
            let others: BTreeMap<u32, u32> = sum
                .iter()
                .map(|(server, running)| {
                    let own = own.get(server).copied().unwrap_or(0);
                    let hash = Load::hash(server);
                    (hash, running.saturating_sub(own))
                })
                .collect();
            let pool = &mut self.pools[router];
            pool.set_peer_state(|hash| {
                let running = others.get(&hash).copied().unwrap_or(0);
                (running, OutcomeCounts::default())
            });
            if self.estimates {
                let age = Duration::from_millis(200);
                self.estimators[router].record(pool.peer_loads(), age, now);
            }
        }
    }

    /// Runs for `ms` with `rate` requests a second. Counts errors of what a router expects.
    fn run(&mut self, from: Instant, ms: u64, rate: f64) {
        let mut arrivals = 0.0;
        for tick in 0..ms / 10 {
            let now = from + Duration::from_millis(10 * tick);
            self.end_requests(now);
            let mut total = self.total();
            if (tick * 10).is_multiple_of(ROUND_MS) {
                for router in 0..self.pools.len() {
                    let delay = Duration::from_millis(self.random.random_range(DELAY_MS));
                    self.sums.insert((now + delay, router), total.clone());
                }
            }
            self.deliver(now);
            if self.estimates && tick % 5 == 0 {
                for (pool, estimator) in self.pools.iter_mut().zip(&self.estimators) {
                    pool.apply_estimates(estimator, now);
                }
            }
            if tick % 5 == 0 {
                for router in 0..self.pools.len().min(6) {
                    self.compare(router, &total);
                }
            }
            arrivals += rate / 100.0;
            while arrivals >= 1.0 {
                arrivals -= 1.0;
                self.place(&mut total, now);
            }
        }
    }

    fn compare(&mut self, router: usize, total: &BTreeMap<backend::Server, u32>) {
        for server in self.pools[router].servers() {
            let own = self.running[router]
                .get(server.name())
                .copied()
                .unwrap_or(0);
            let real = total.get(server.name()).copied().unwrap_or(0) - own;
            let difference = f64::from(server.peer_load()) - f64::from(real);
            self.error += difference.abs();
            self.bias += difference;
            self.samples += 1;
        }
    }

    fn reset(&mut self) {
        (self.overfilled, self.placed, self.denied) = (0, 0, 0);
        (self.error, self.bias, self.samples) = (0.0, 0.0, 0);
    }

    fn show(&self, phase: &str) {
        println!(
            "phase={phase} routers={} estimates={} placed={} overfilled={} denied={} error={:.2} bias={:.2}",
            self.pools.len(),
            self.estimates,
            self.placed,
            self.overfilled,
            self.denied,
            self.mean_error(),
            self.bias / self.samples as f64
        );
    }

    fn mean_error(&self) -> f64 {
        self.error / self.samples as f64
    }
}

/// Guards against free slots that several routers use at once, because the last sum shows them
/// free: first at half of the capacity, then when the rate rises to 0.9 of it.
///
/// Prints the figures with estimates and of the code before, which had none.
#[parameterized(
    six = { 6 },
    sixty_seven = { 67 },
    three_hundred = { 300 },
)]
fn fewer_requests_reach_full_servers(routers: usize) {
    let capacity = SERVERS as f64 * f64::from(SLOTS);
    let [before, after] = [false, true].map(|estimates| {
        let mut fleet = Fleets::new(routers, estimates);
        fleet.run(START, 1_500, 0.5 * capacity);
        let phases = [("steady", 1_500, 0.5), ("burst", 3_000, 0.9)];
        phases.map(|(phase, at, load)| {
            fleet.reset();
            fleet.run(START + Duration::from_millis(at), 1_500, load * capacity);
            fleet.show(phase);
            assert_eq!(fleet.placed + fleet.denied, (load * capacity * 1.5) as u64);
            (fleet.overfilled, fleet.placed, fleet.mean_error())
        })
    });
    for (before, after) in before.into_iter().zip(after) {
        assert!(after.0 < before.0, "{} for {}", after.0, before.0);
        // Nothing is refused although slots are free, and no figure is off by a request more.
        assert!(
            after.1 * 100 >= before.1 * 99,
            "{} for {}",
            after.1,
            before.1
        );
        assert!(after.2 < before.2 + 1.0, "{} for {}", after.2, before.2);
    }
}

fn known(running: u32) -> Known {
    Known {
        server: 1,
        running,
        slots: SLOTS,
    }
}

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

/// An estimator that has received sums of one server, 200 ms apart and 200 ms old.
fn after(sums: &[u32]) -> Estimator {
    let mut estimator = Estimator::default();
    for (round, &running) in (0..).zip(sums) {
        let age = Duration::from_millis(200);
        estimator.record([known(running)].into_iter(), age, at(200 * round));
    }
    estimator
}

/// The estimate is the rate at which the sums grew, times their age.
#[parameterized(
    one_sum = { &[5], 0, 0 },
    no_growth = { &[5, 5], 200, 0 },
    a_fall = { &[9, 5], 200, 0 },
    two_in_a_round = { &[3, 5], 200, 2 },
    two_in_a_round_later = { &[3, 5], 400, 4 },
    growth_that_has_ended = { &[3, 5, 5], 400, 0 },
    more_than_fit = { &[0, 8], 400, 4 },
    a_full_server = { &[2, 12], 300, 0 },
    more_than_its_slots = { &[2, 40], 300, 0 },
)]
fn growth_continues_until_the_next_sum(sums: &[u32], now_ms: u64, expected: u32) {
    assert_eq!(after(sums).estimate(1, at(now_ms)), expected);
}

/// Guards against servers that look full for ever, although the sums that showed their growth
/// stopped coming, or the next one came much later.
#[test]
fn the_estimate_decays_when_sums_stop_coming() {
    let estimator = after(&[0, 4]);
    let estimates = [0, 300, 500, 700, 799, 800, 5_000];
    let estimates = estimates.map(|ms| estimator.estimate(1, at(200 + ms)));
    assert_eq!(estimates, [4, 8, 8, 2, 0, 0, 0]);
    let mut estimator = after(&[0, 4]);
    let age = Duration::from_millis(200);
    estimator.record([known(12)].into_iter(), age, at(2_000));
    assert!(!estimator.is_growing());
}

/// Guards against a rise of the whole load that only shows at servers of many requests: it
/// counts for all servers by their free slots.
#[test]
fn growth_of_the_service_counts_for_all_its_servers() {
    let sum = |running: u32| {
        (0..100).map(move |server| Known {
            server,
            running: running + u32::from(server == 0),
            slots: SLOTS,
        })
    };
    let mut estimator = Estimator::default();
    let age = Duration::from_millis(200);
    estimator.record(sum(2), age, START);
    let next = sum(4).map(|known| Known {
        running: if known.server == 7 { 2 } else { known.running },
        ..known
    });
    estimator.record(next, age, at(200));
    assert_eq!(estimator.estimate(7, at(200)), 2);
    assert_eq!(estimator.estimate(50, at(200)), 2);
}

/// The load that a router expects at an engine after two sums, 200 ms apart.
async fn expected_load(is_contended: bool) -> u32 {
    let mut settings = crate::prefixes::settings();
    settings.bounds.is_contended = is_contended;
    let metrics = Arc::new(Metrics::default());
    let (mut task, _handle, _messages) = Dispatch::new(Clock::start(), metrics, settings);
    let mut roster = roster::Roster::default();
    roster.apply(roster::Change::Present(entry("s1", "a")), START);
    task.handle_message(Message::Roster(Arc::new(roster)));
    let server = Load::hash(&"s1".parse().expect("a valid name"));
    for running in [2, 12] {
        let load = Load {
            server,
            running,
            outcomes: OutcomeCounts::default(),
        };
        tokio::time::sleep(Duration::from_millis(200)).await;
        task.handle_message(Message::Aggregate(vec![load]));
    }
    let (reply, mut report) = oneshot::channel();
    task.handle_message(Message::Status(reply));
    report.try_recv().expect("an immediate reply").servers[0].load
}

/// Guards against changed decisions in other deployments, and against estimates that do not
/// reach the servers.
#[tokio::test]
async fn the_estimate_counts_only_where_callers_compete() {
    assert_eq!(expected_load(false).await, 12);
    // Sums count only if they are at most 800 ms apart, and the machine may pause for longer.
    for _ in 0..20 {
        let load = expected_load(true).await;
        assert!((12..=64).contains(&load), "{load}");
        if load > 12 {
            return;
        }
    }
    panic!("nothing is estimated");
}
