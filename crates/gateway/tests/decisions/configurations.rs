//! How a new configuration reaches a whole fleet, over the links of small routers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use gateway::{
    peers::{
        Digest, FAN_OUT, INTERVAL, Origin, Part, QUIET_FAN_OUT, Roll, Versions, WATCHERS, fetch,
        turn,
    },
    source::Member,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::{host, time::Instant};
use yare::parameterized;

use crate::world::{START, registered};

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(5);
/// The share of datagrams that are lost.
const LOST: f64 = 0.02;
/// What a link of 10 Mbit/s carries.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// In force everywhere by then, counted from when those that watch the store know it.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Reads of the store beside those that watch it, whatever the size of the fleet.
const MOST_STORE_READS: usize = 2 * WATCHERS;
/// How long a router counts as heard.
const HEARD: Duration = Duration::from_secs(60);

const OLD: u64 = 1;
const NEW: u64 = 2;

/// An answer that is under way.
#[derive(Clone, Copy)]
struct Transfer {
    from: usize,
    bytes: f64,
}

struct Router {
    knows: bool,
    is_up: bool,
    roll: Roll,
    origin: Origin,
    transfer: Option<Transfer>,
    /// When it asks again after a router that was busy.
    asks_at: Option<Instant>,
    has_news: bool,
    told: usize,
}

struct Fleet {
    members: Vec<Member>,
    positions: HashMap<host::Id, usize>,
    routers: Vec<Router>,
    /// The size of the configuration as routers pass it on.
    bytes: f64,
    store_reads: usize,
    now: Instant,
    random: SmallRng,
}

fn versions(configuration: u64) -> Versions {
    Versions {
        configuration,
        servers: 1,
        routers: 1,
    }
}

/// The address that stands for a router in the simulation.
fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 1).into()
}

fn index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all are of the simulation"),
    }
}

impl Fleet {
    /// A fleet whose watchers have just read a new configuration.
    fn new(count: usize, bytes: f64, seed: u64) -> Self {
        let members = registered(count);
        let routers = (0..count).map(|index| Router {
            knows: index % (count / WATCHERS) == 0,
            is_up: true,
            roll: Roll::default(),
            origin: Origin::default(),
            transfer: None,
            asks_at: None,
            has_news: true,
            told: index,
        });
        Self {
            positions: members
                .iter()
                .enumerate()
                .map(|(index, member)| (member.host.clone(), index))
                .collect(),
            routers: routers.collect(),
            members,
            bytes,
            store_reads: 0,
            now: START,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn all_know(&self) -> bool {
        let mut up = self.routers.iter().filter(|router| router.is_up);
        up.all(|router| router.knows)
    }

    fn kill(&mut self, index: usize) {
        self.routers[index].is_up = false;
        for other in 0..self.routers.len() {
            let transfer = self.routers[other].transfer;
            if transfer.is_some_and(|transfer| transfer.from == index) {
                self.routers[other].transfer = None;
                self.failed(other, index);
            }
        }
    }

    fn failed(&mut self, asking: usize, asked: usize) {
        self.routers[asking].roll.forget(address(asked));
        self.routers[asking].origin.peer_failed();
        self.catch_up(asking);
    }

    fn tell(&mut self, index: usize, most: usize) {
        let told = self.routers[index].told;
        self.routers[index].told += most;
        let own = self.members[index].host.clone();
        let version = if self.routers[index].knows { NEW } else { OLD };
        let digest = Digest::new(own.clone(), versions(version), true, Vec::new(), Vec::new());
        let targets = turn(&self.members, &own, told, most);
        let targets: Vec<_> = targets
            .iter()
            .map(|target| self.positions[&target.host])
            .collect();
        for target in targets {
            if self.random.random_bool(LOST) || !self.routers[target].is_up {
                continue;
            }
            let (now, from) = (self.now, address(index));
            self.routers[target].roll.heard(&digest, from, now, HEARD);
            self.catch_up(target);
        }
    }

    fn catch_up(&mut self, index: usize) {
        let now = self.now;
        let random = self.random.random::<u32>() as usize;
        let router = &mut self.routers[index];
        if router.knows || router.roll.newest_configuration() < NEW {
            return;
        }
        if router.transfer.is_none() && router.asks_at.is_none() {
            let own = versions(OLD);
            let far = |_: &host::Id| false;
            let ahead = router
                .roll
                .ahead(Part::Configuration, own, false, far, random, now);
            if let Some(asked) = ahead {
                self.ask(index, self::index(asked));
            }
        }
        let is_answering = self.routers[index].transfer.is_some();
        if self.routers[index].origin.is_store_due(is_answering, now) {
            self.store_reads += 1;
            self.routers[index].origin.store_failed(now);
        }
    }

    fn ask(&mut self, asking: usize, asked: usize) {
        if !self.routers[asked].is_up {
            self.failed(asking, asked);
            return;
        }
        if self.answers(asked) >= fetch::MOST_LARGE {
            let pause = Duration::from_millis(self.random.random_range(70..140));
            self.routers[asking].asks_at = Some(self.now + pause);
            return;
        }
        self.routers[asking].transfer = Some(Transfer {
            from: asked,
            bytes: self.bytes,
        });
    }

    fn answers(&self, index: usize) -> usize {
        let transfers = self.routers.iter().filter_map(|router| router.transfer);
        transfers.filter(|transfer| transfer.from == index).count()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let mut sharing: HashMap<usize, f64> = HashMap::new();
        for transfer in self.routers.iter().filter_map(|router| router.transfer) {
            *sharing.entry(transfer.from).or_default() += 1.0;
        }
        let is_round = self
            .now
            .since(START)
            .as_millis()
            .is_multiple_of(INTERVAL.as_millis());
        for index in 0..self.routers.len() {
            if !self.routers[index].is_up {
                continue;
            }
            self.carry(index, &sharing);
            if self.routers[index].asks_at.is_some_and(|at| at <= self.now) {
                self.routers[index].asks_at = None;
                self.catch_up(index);
            }
            let has_news = self.routers[index].knows && self.routers[index].has_news;
            if has_news {
                self.routers[index].has_news = false;
                self.tell(index, FAN_OUT);
            } else if is_round {
                self.tell(index, QUIET_FAN_OUT);
            }
            if is_round {
                self.catch_up(index);
            }
        }
    }

    fn carry(&mut self, index: usize, sharing: &HashMap<usize, f64>) {
        let router = &mut self.routers[index];
        let Some(transfer) = &mut router.transfer else {
            return;
        };
        let rate = LINK_BYTES_PER_S / sharing.get(&transfer.from).copied().unwrap_or(1.0);
        transfer.bytes -= rate * STEP.as_secs_f64();
        if transfer.bytes <= 0.0 {
            router.transfer = None;
            router.knows = true;
        }
    }

    /// Runs until all know the configuration, or for too long.
    fn run(&mut self) -> Duration {
        while !self.all_know() && self.now.since(START) < IN_FORCE * 4 {
            self.step();
        }
        self.now.since(START)
    }
}

/// Guards against configurations that reach large fleets late, or by a read of the store in each router.
#[parameterized(
    small = { 12, 80_000.0 },
    today = { 85, 80_000.0 },
    today_several_megabytes = { 85, 400_000.0 },
    hundreds = { 300, 80_000.0 },
    planned = { 1000, 80_000.0 },
)]
fn a_configuration_reaches_all_in_time(count: usize, bytes: f64) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(count, bytes, seed);
        let taken = fleet.run();
        assert!(taken < IN_FORCE, "seed {seed}: {taken:?}");
        let reads = fleet.store_reads;
        assert!(reads <= MOST_STORE_READS, "seed {seed}: {reads}");
    }
}

/// The same where three of those that read it from the store die while they pass it on.
#[parameterized(today = { 85 }, planned = { 1000 })]
fn a_configuration_reaches_all_though_readers_die(count: usize) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(count, 80_000.0, seed);
        for _ in 0..20 {
            fleet.step();
        }
        let readers: Vec<usize> = (0..count)
            .filter(|index| index % (count / WATCHERS) == 0)
            .collect();
        for &reader in &readers[..3] {
            fleet.kill(reader);
        }
        let taken = fleet.run();
        assert!(taken < IN_FORCE, "seed {seed}: {taken:?}");
        let reads = fleet.store_reads;
        assert!(reads <= MOST_STORE_READS, "seed {seed}: {reads}");
    }
}
