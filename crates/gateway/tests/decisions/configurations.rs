//! Propagation of a new configuration through a fleet, over the links of small routers.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use gateway::{
    peers::{
        Digest, FAN_OUT, INTERVAL, Part, QUIET_FAN_OUT, StoreFallback, Table, Versions, WATCHERS,
        fetch, gossip_targets,
    },
    source::Member,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::{host, time::Instant};
use yare::parameterized;

use crate::world::{START, registered};

/// The time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// The share of datagrams that are lost.
const LOSS_RATE: f64 = 0.02;
/// The capacity of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: f64 = 1_250_000.0;
/// The configuration has to be in force everywhere by then, counted from when the watchers
/// hold it.
const MAX_PROPAGATION: Duration = Duration::from_secs(4);
/// The maximum number of store reads by routers other than the watchers, whatever the size
/// of the fleet.
const MAX_STORE_READS: usize = 2 * WATCHERS;
/// How long a peer counts as alive.
const PEER_TIMEOUT: Duration = Duration::from_secs(60);

const OLD: u64 = 1;
const NEW: u64 = 2;

/// A transfer in progress.
#[derive(Clone, Copy)]
struct Transfer {
    from: usize,
    bytes: f64,
}

struct Router {
    is_up_to_date: bool,
    is_up: bool,
    table: Table,
    store_fallback: StoreFallback,
    transfer: Option<Transfer>,
    /// When it retries after a busy response.
    retry_at: Option<Instant>,
    has_update: bool,
    gossip_offset: usize,
}

struct Fleet {
    members: Vec<Member>,
    positions: HashMap<host::Id, usize>,
    routers: Vec<Router>,
    /// The size of the configuration as routers transfer it.
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

/// The simulated address of a router.
fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 1).into()
}

fn index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all simulated addresses are IPv4"),
    }
}

impl Fleet {
    /// Creates a fleet whose watchers have just read a new configuration.
    fn new(count: usize, bytes: f64, seed: u64) -> Self {
        let members = registered(count);
        let routers = (0..count).map(|index| Router {
            is_up_to_date: index % (count / WATCHERS) == 0,
            is_up: true,
            table: Table::default(),
            store_fallback: StoreFallback::default(),
            transfer: None,
            retry_at: None,
            has_update: true,
            gossip_offset: index,
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

    fn all_up_to_date(&self) -> bool {
        let mut up = self.routers.iter().filter(|router| router.is_up);
        up.all(|router| router.is_up_to_date)
    }

    fn kill(&mut self, index: usize) {
        self.routers[index].is_up = false;
        for other in 0..self.routers.len() {
            let transfer = self.routers[other].transfer;
            if transfer.is_some_and(|transfer| transfer.from == index) {
                self.routers[other].transfer = None;
                self.fetch_failed(other, index);
            }
        }
    }

    fn fetch_failed(&mut self, requester: usize, responder: usize) {
        self.routers[requester]
            .table
            .mark_failed(address(responder));
        self.routers[requester].store_fallback.peer_failed();
        self.catch_up(requester);
    }

    fn gossip(&mut self, index: usize, count: usize) {
        let gossip_offset = self.routers[index].gossip_offset;
        self.routers[index].gossip_offset += count;
        let own = self.members[index].host.clone();
        let version = if self.routers[index].is_up_to_date {
            NEW
        } else {
            OLD
        };
        let digest = Digest::new(own.clone(), versions(version), true, Vec::new(), Vec::new());
        let targets = gossip_targets(&self.members, &own, gossip_offset, count);
        let targets: Vec<_> = targets
            .iter()
            .map(|target| self.positions[&target.host])
            .collect();
        for target in targets {
            if self.random.random_bool(LOSS_RATE) || !self.routers[target].is_up {
                continue;
            }
            let (now, from) = (self.now, address(index));
            self.routers[target]
                .table
                .record(&digest, from, now, PEER_TIMEOUT);
            self.catch_up(target);
        }
    }

    fn catch_up(&mut self, index: usize) {
        let now = self.now;
        let random = self.random.random::<u32>() as usize;
        let router = &mut self.routers[index];
        if router.is_up_to_date || router.table.newest_configuration() < NEW {
            return;
        }
        if router.transfer.is_none() && router.retry_at.is_none() {
            let own = versions(OLD);
            let none_in_same_zone = |_: &host::Id| false;
            let ahead = router.table.select_ahead(
                Part::Configuration,
                own,
                false,
                none_in_same_zone,
                random,
                now,
            );
            if let Some(responder) = ahead {
                self.fetch(index, self::index(responder));
            }
        }
        let is_answering = self.routers[index].transfer.is_some();
        if self.routers[index]
            .store_fallback
            .is_store_due(is_answering, now)
        {
            self.store_reads += 1;
            self.routers[index].store_fallback.store_failed(now);
        }
    }

    fn fetch(&mut self, requester: usize, responder: usize) {
        if !self.routers[responder].is_up {
            self.fetch_failed(requester, responder);
            return;
        }
        if self.active_transfers(responder) >= fetch::MAX_LARGE_RESPONSES {
            let pause = Duration::from_millis(self.random.random_range(70..140));
            self.routers[requester].retry_at = Some(self.now + pause);
            return;
        }
        self.routers[requester].transfer = Some(Transfer {
            from: responder,
            bytes: self.bytes,
        });
    }

    fn active_transfers(&self, index: usize) -> usize {
        let transfers = self.routers.iter().filter_map(|router| router.transfer);
        transfers.filter(|transfer| transfer.from == index).count()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let mut sharing: HashMap<usize, f64> = HashMap::new();
        for transfer in self.routers.iter().filter_map(|router| router.transfer) {
            *sharing.entry(transfer.from).or_default() += 1.0;
        }
        let is_gossip_round = self
            .now
            .since(START)
            .as_millis()
            .is_multiple_of(INTERVAL.as_millis());
        for index in 0..self.routers.len() {
            if !self.routers[index].is_up {
                continue;
            }
            self.advance_transfer(index, &sharing);
            if self.routers[index]
                .retry_at
                .is_some_and(|at| at <= self.now)
            {
                self.routers[index].retry_at = None;
                self.catch_up(index);
            }
            let has_update = self.routers[index].is_up_to_date && self.routers[index].has_update;
            if has_update {
                self.routers[index].has_update = false;
                self.gossip(index, FAN_OUT);
            } else if is_gossip_round {
                self.gossip(index, QUIET_FAN_OUT);
            }
            if is_gossip_round {
                self.catch_up(index);
            }
        }
    }

    fn advance_transfer(&mut self, index: usize, sharing: &HashMap<usize, f64>) {
        let router = &mut self.routers[index];
        let Some(transfer) = &mut router.transfer else {
            return;
        };
        let rate = LINK_BYTES_PER_S / sharing.get(&transfer.from).copied().unwrap_or(1.0);
        transfer.bytes -= rate * STEP.as_secs_f64();
        if transfer.bytes <= 0.0 {
            router.transfer = None;
            router.is_up_to_date = true;
        }
    }

    /// Runs until all routers hold the configuration, or until a limit well above the
    /// allowed time.
    fn run(&mut self) -> Duration {
        while !self.all_up_to_date() && self.now.since(START) < MAX_PROPAGATION * 4 {
            self.step();
        }
        self.now.since(START)
    }
}

/// Guards against configurations that reach a large fleet late, or that every router reads
/// from the store.
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
        assert!(taken < MAX_PROPAGATION, "seed {seed}: {taken:?}");
        let reads = fleet.store_reads;
        assert!(reads <= MAX_STORE_READS, "seed {seed}: {reads}");
    }
}

/// The same, where three of the watchers die while they serve the configuration to others.
#[parameterized(today = { 85 }, planned = { 1000 })]
fn a_configuration_reaches_all_when_watchers_die(count: usize) {
    for seed in 0..3 {
        let mut fleet = Fleet::new(count, 80_000.0, seed);
        for _ in 0..20 {
            fleet.step();
        }
        let watchers: Vec<usize> = (0..count)
            .filter(|index| index % (count / WATCHERS) == 0)
            .collect();
        for &watcher in &watchers[..3] {
            fleet.kill(watcher);
        }
        let taken = fleet.run();
        assert!(taken < MAX_PROPAGATION, "seed {seed}: {taken:?}");
        let reads = fleet.store_reads;
        assert!(reads <= MAX_STORE_READS, "seed {seed}: {reads}");
    }
}
