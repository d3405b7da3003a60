//! Plain servers that fail when they have to reject too many requests, in virtual time.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use gateway::{egress::Egresses, gate::Gates, pool::Outcome, route, source::Member};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinSet, time};
use units::{backend, time::Instant};
use yare::parameterized;

use crate::world::{START, demand, engine, entry, fleet, pool, registered, server};

const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(30);
const LATENCY: Duration = Duration::from_millis(1);
/// How long a failed server is away.
const OUTAGE: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(6);
/// When the router that counts the slots of the first server is killed.
const KILL_AT: Duration = Duration::from_secs(3);
/// The longest time until another router notices that.
const NOTICE: Duration = Duration::from_millis(1000);

/// A server that counts its rejections.
#[derive(Clone, Debug, Default)]
struct Server(Arc<Mutex<Counters>>);

#[derive(Debug, Default)]
struct Counters {
    busy: u32,
    falls: usize,
    rejections: VecDeque<time::Instant>,
    down_until: Option<time::Instant>,
}

impl Server {
    fn lock(&self) -> std::sync::MutexGuard<'_, Counters> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a request. Returns whether it was served.
    async fn run(&self, max_rejections: usize) -> bool {
        time::sleep(LATENCY).await;
        let now = time::Instant::now();
        {
            let mut state = self.lock();
            if state.down_until.is_some_and(|until| now < until) {
                return false;
            }
            if state.busy >= SLOTS {
                state.reject(max_rejections, now);
                return false;
            }
            state.busy += 1;
        }
        time::sleep(WORK).await;
        self.lock().busy -= 1;
        time::sleep(LATENCY).await;
        true
    }
}

impl Counters {
    fn reject(&mut self, max_rejections: usize, now: time::Instant) {
        self.rejections.push_back(now);
        let window = Duration::from_secs(1);
        self.rejections.retain(|at| now < *at + window);
        if self.rejections.len() > max_rejections {
            self.falls += 1;
            self.down_until = Some(now + OUTAGE);
            self.rejections.clear();
        }
    }
}

/// A router: whom it believes alive, and the slots that it counts for others.
struct Router {
    egresses: Mutex<Egresses>,
    gates: Gates,
}

struct World {
    members: Vec<Member>,
    routers: Vec<Router>,
    names: Vec<backend::Server>,
    servers: Vec<Server>,
    max_rejections: usize,
    is_gated: bool,
    killed: Mutex<Option<usize>>,
}

impl World {
    fn new(routers: usize, servers: usize, max_rejections: usize, is_gated: bool) -> Self {
        let members = registered(routers);
        let router = |member: &Member| {
            let mut egresses = Egresses::default();
            egresses.set_members(&members, &member.host, &member.zone);
            Router {
                egresses: Mutex::new(egresses),
                gates: Gates::default(),
            }
        };
        Self {
            routers: members.iter().map(router).collect(),
            names: (0..servers)
                .map(|index| server(&format!("s{index}")))
                .collect(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            members,
            max_rejections,
            is_gated,
            killed: Mutex::new(None),
        }
    }

    fn gatekeeper(&self, router: usize, server: usize) -> usize {
        let egresses = self.routers[router].egresses.lock();
        let egresses = egresses.unwrap_or_else(PoisonError::into_inner);
        let chosen = egresses.gatekeeper(&self.names[server], false, Instant::ZERO);
        let host = chosen.expect("a router").host;
        let mut members = self.members.iter();
        members
            .position(|member| member.host == host)
            .expect("a member")
    }

    /// Sends a request of a router to up to two servers. Returns whether it was served.
    async fn request(&self, router: usize, first: usize) -> bool {
        for attempt in 0..2 {
            let server = (first + attempt) % self.servers.len();
            if !self.is_gated {
                if self.servers[server].run(self.max_rejections).await {
                    return true;
                }
                continue;
            }
            time::sleep(LATENCY).await;
            let keeper = self.gatekeeper(router, server);
            if *self.killed.lock().unwrap_or_else(PoisonError::into_inner) == Some(keeper) {
                continue;
            }
            let gates = &self.routers[keeper].gates;
            let slot = gates.enter(&self.names[server], 1, SLOTS).await;
            if slot.is_some() && self.servers[server].run(self.max_rejections).await {
                return true;
            }
        }
        false
    }

    /// Kills the router that counts the slots of the first server; the others notice one by one.
    async fn kill(&self, rng: &mut ChaCha8Rng) {
        let keeper = self.gatekeeper(0, 0);
        *self.killed.lock().unwrap_or_else(PoisonError::into_inner) = Some(keeper);
        let host = &self.members[keeper].host;
        let step = NOTICE / u32::try_from(self.routers.len()).expect("a small number");
        for router in &self.routers {
            time::sleep(step.mul_f64(rng.random_range(0.5..1.0))).await;
            let egresses = router.egresses.lock();
            egresses
                .unwrap_or_else(PoisonError::into_inner)
                .set_silent(host, true);
        }
    }
}

/// Offers a multiple of what the servers can process. Returns the falls of all servers, and the
/// shares of requests served and of slots used.
fn play(world: World, offered: f64, seed: u64) -> (usize, f64, f64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async move {
        let world = Arc::new(world);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacity = f64::from(SLOTS) * world.servers.len() as f64 / WORK.as_secs_f64();
        let end = time::Instant::now() + LENGTH;
        let killer = {
            let (world, mut rng) = (Arc::clone(&world), rng.clone());
            tokio::spawn(async move {
                time::sleep(KILL_AT).await;
                world.kill(&mut rng).await;
            })
        };
        let mut requests = JoinSet::new();
        let mut sent = 0_usize;
        while time::Instant::now() < end {
            // The load is light at first, and jumps to the offered one.
            let is_light = time::Instant::now() + LENGTH * 5 / 6 < end;
            let rate = capacity * if is_light { 0.1 } else { offered };
            let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
            time::sleep(Duration::from_secs_f64(gap)).await;
            let router = rng.random_range(0..world.routers.len());
            let server = rng.random_range(0..world.servers.len());
            let world = Arc::clone(&world);
            requests.spawn(async move { world.request(router, server).await });
            sent += 1;
        }
        let results = requests.join_all().await;
        killer.await.expect("an end");
        let served = results.iter().filter(|served| **served).count();
        let falls = world.servers.iter().map(|server| server.lock().falls).sum();
        let used = served as f64 / (capacity * LENGTH.as_secs_f64());
        (falls, served as f64 / sent as f64, used)
    })
}

/// The falls that are allowed in one time in which servers are brittle.
fn allowed(servers: usize) -> usize {
    2 + servers / 10
}

/// Guards against servers that say that they bear few rejections and fail, since each router
/// keeps within a bound that only all of them together exceed.
#[parameterized(
    six_light = { 6, 3, 0.3 },
    six_full = { 6, 3, 1.0 },
    six_overload = { 6, 3, 2.5 },
    eighty_five_light = { 85, 4, 0.3 },
    eighty_five_full = { 85, 4, 1.0 },
    eighty_five_overload = { 85, 4, 2.5 },
    three_hundred_light = { 300, 5, 0.3 },
    three_hundred_full = { 300, 5, 1.0 },
    three_hundred_overload = { 300, 5, 2.5 },
)]
fn brittle_servers_do_not_fail(routers: usize, servers: usize, offered: f64) {
    for max_rejections in [3, 20] {
        for seed in 0..2 {
            let world = World::new(routers, servers, max_rejections, true);
            let (falls, served, used) = play(world, offered, seed);
            if std::env::var_os("PRINT").is_some() {
                let world = World::new(routers, servers, max_rejections, false);
                let unaware = play(world, offered, seed);
                println!(
                    "{routers} {offered} N={max_rejections} seed={seed} \
                     {falls} {served:.3} {used:.3} without {unaware:?}"
                );
            }
            assert!(
                falls <= allowed(servers),
                "N={max_rejections}, seed {seed}: {falls}"
            );
            let expected = (0.75 / offered).min(0.97);
            assert!(
                served > expected,
                "N={max_rejections}, seed {seed}: {served}"
            );
        }
    }
}

/// Guards against engines that are filled up to their last slot, while other routers send requests
/// that are not reported yet, and against more requests to a server that has just rejected one.
#[test]
fn a_brittle_engine_keeps_slots_free() {
    let mut pool = pool(&[entry("s0", "a"), entry("s1", "a")]);
    pool.set_service(route::Service {
        cold_per_s: 0.0,
        ..engine()
    });
    pool.record_brittle(5, START);
    pool.set_peer_state(|_| (60, gateway::outlier::OutcomeCounts::default()));
    assert!(pool.admit(&demand(1, 1), &fleet(), START).is_err());
    pool.set_peer_state(|_| (30, gateway::outlier::OutcomeCounts::default()));
    let placement = pool.admit(&demand(1, 1), &fleet(), START).expect("room");
    pool.record_rejection(&placement.server, 6, START);
    pool.ended(&placement.server, Outcome::Full, START);
    let next = pool.admit(&demand(1, 1), &fleet(), START).expect("room");
    assert_ne!(next.server, placement.server);
}
