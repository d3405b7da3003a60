//! Which routers watch the store for all.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use units::{host, time::Instant};
use xxhash_rust::xxh3;

/// How many routers watch the store, whatever the size of the fleet.
///
/// Every watching router is told of every change, so the calls to the store
/// grow with their number. Six leave three after half the fleet was killed.
pub const WATCHERS: usize = 6;
/// How many may try at a time while the store is away.
const MAX_CANDIDATES: usize = 2 * WATCHERS;
/// How long a watcher is taken for alive after its last new heartbeat.
///
/// Heartbeats reach a fleet of a hundred within three rounds of 200 ms.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1400);
/// How much later each next router in order takes over from one that is lost.
///
/// Without it all would begin to watch at the same moment.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(60);
/// How long a router watches at least, so that the watchers do not alternate.
const MIN_TERM: Duration = Duration::from_secs(4);

/// How long the store has to answer until it counts as steady: longer than
/// entries that lapsed take to return.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// A watcher as routers tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watcher {
    /// A hash of its host's name.
    pub host: u32,
    /// Its heartbeats, which go on growing over restarts.
    pub heartbeat: u64,
    /// Whether the store answers it.
    pub is_store_reachable: bool,
}

impl Watcher {
    /// The hash that stands for a host.
    pub fn hash(host: &host::Id) -> u32 {
        (xxh3::xxh3_64(host.as_str().as_bytes()) >> 32) as u32
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    heartbeat: u64,
    is_store_reachable: bool,
    alive_until: Instant,
}

/// The watchers that a router hears of, and whether it is one itself.
#[derive(Clone, Debug)]
pub struct Watchers {
    own: u32,
    records: BTreeMap<u32, Record>,
    shortage_since: Option<Instant>,
    /// Until when this router watches at least, while it does.
    term_ends: Option<Instant>,
    heartbeat: u64,
    /// Since when some watcher has been served at each look.
    reachable_since: Option<Instant>,
}

impl Watchers {
    /// No watcher is known. `epoch` is higher at each start of the process.
    pub fn new(own: &host::Id, epoch: u64) -> Self {
        Self {
            own: Watcher::hash(own),
            records: BTreeMap::new(),
            shortage_since: None,
            term_ends: None,
            heartbeat: epoch,
            reachable_since: None,
        }
    }

    /// Takes in what another router tells. Only a new heartbeat counts, so that
    /// a watcher that died is not kept alive by those who tell of it.
    ///
    /// Returns whether a watcher is new, or the store has begun or ceased to
    /// answer it: others may have to watch in its place, or need not any more.
    pub fn receive(&mut self, watchers: &[Watcher], now: Instant) -> bool {
        let mut has_update = false;
        for watcher in watchers.iter().filter(|watcher| watcher.host != self.own) {
            let known = self.records.get(&watcher.host);
            if known.is_some_and(|known| known.heartbeat >= watcher.heartbeat) {
                continue;
            }
            let record = Record {
                heartbeat: watcher.heartbeat,
                is_store_reachable: watcher.is_store_reachable,
                alive_until: now + HEARTBEAT_TIMEOUT,
            };
            has_update |=
                known.is_none_or(|known| known.is_store_reachable != watcher.is_store_reachable);
            self.records.insert(watcher.host, record);
        }
        has_update
    }

    /// The watchers to tell others of. `is_served` says whether the store
    /// answers this router, if it watches.
    pub fn advertise(&mut self, is_store_reachable: bool, now: Instant) -> Vec<Watcher> {
        self.records.retain(|_, record| now < record.alive_until);
        let mut watchers: Vec<Watcher> = self
            .records
            .iter()
            .map(|(&host, record)| Watcher {
                host,
                heartbeat: record.heartbeat,
                is_store_reachable: record.is_store_reachable,
            })
            .collect();
        if self.term_ends.is_some() {
            self.heartbeat += 1;
            watchers.push(Watcher {
                host: self.own,
                heartbeat: self.heartbeat,
                is_store_reachable,
            });
        }
        watchers
    }

    /// Whether this router is to watch the store, given the registered routers.
    pub fn should_watch(&mut self, members: &[host::Id], now: Instant) -> bool {
        self.records.retain(|_, record| now < record.alive_until);
        let connected = self.connected();
        if let Some(ends) = self.term_ends {
            if now >= ends && self.is_redundant(&connected) {
                self.term_ends = None;
            }
        } else if self.should_take_over(&connected, members, now) {
            self.term_ends = Some(now + MIN_TERM);
            self.shortage_since = None;
        }
        self.term_ends.is_some()
    }

    /// Looks whether the store answers this router or a watcher. Returns whether
    /// it has begun to since the last look.
    pub fn has_store_returned(&mut self, is_store_reachable: bool, now: Instant) -> bool {
        let is_store_reachable = is_store_reachable || !self.connected().is_empty();
        let has_store_returned = is_store_reachable && self.reachable_since.is_none();
        if is_store_reachable {
            self.reachable_since.get_or_insert(now);
        } else {
            self.reachable_since = None;
        }
        has_store_returned
    }

    /// Whether the store has answered some watcher at each look for some time.
    pub fn is_store_stable(&self, now: Instant) -> bool {
        self.reachable_since
            .is_some_and(|since| now >= since + STABLE_AFTER)
    }

    fn connected(&self) -> BTreeSet<u32> {
        let connected = self
            .records
            .iter()
            .filter(|(_, record)| record.is_store_reachable);
        connected.map(|(&host, _)| host).collect()
    }

    /// Whether enough others watch that come before this router in order.
    fn is_redundant(&self, connected: &BTreeSet<u32>) -> bool {
        connected.iter().filter(|&&host| host < self.own).count() >= WATCHERS
    }

    /// Whether too few watch, and it is this router's turn to take over.
    fn should_take_over(
        &mut self,
        connected: &BTreeSet<u32>,
        members: &[host::Id],
        now: Instant,
    ) -> bool {
        // Before the others are known, each router would take itself for the first.
        if !members
            .iter()
            .any(|member| Watcher::hash(member) == self.own)
        {
            return false;
        }
        if connected.len() >= WATCHERS || self.records.len() >= MAX_CANDIDATES {
            self.shortage_since = None;
            return false;
        }
        let since = *self.shortage_since.get_or_insert(now);
        let hashes = members.iter().map(Watcher::hash);
        let before = hashes.filter(|hash| *hash < self.own && !self.records.contains_key(hash));
        let rank = u32::try_from(before.count()).unwrap_or(u32::MAX);
        // The first few take over at once.
        let rank = rank.saturating_sub(u32::try_from(WATCHERS - connected.len()).unwrap_or(0));
        now >= since + TAKEOVER_STAGGER * rank
    }
}
