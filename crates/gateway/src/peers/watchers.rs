//! The choice of the routers that watch the store on behalf of the fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use units::{host, time::Instant};
use xxhash_rust::xxh3;

/// The number of routers that watch the store, whatever the size of the fleet.
///
/// The store notifies each watcher of every change, so its load grows with their number.
/// With six, three remain after half of the fleet has been killed.
pub const WATCHERS: usize = 6;
/// The maximum number of routers that poll the store while it is unavailable.
const MAX_CANDIDATES: usize = 2 * WATCHERS;
/// How long a watcher counts as alive after its last new heartbeat.
///
/// Heartbeats reach a fleet of a hundred routers within three rounds of 200 ms.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1400);
/// The additional delay with which each next router in order takes over from a lost
/// watcher.
///
/// Without it all routers would start to watch at the same moment.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(60);
/// How long routers are waited for that are registered and not heard: a router that has just started has
/// not heard the others yet, and those that are lost stay registered.
const MAX_STAGGER: Duration = Duration::from_millis(1000);
/// The minimum time for which a router keeps watching, so that the role does not flap.
const MIN_TERM: Duration = Duration::from_secs(4);

/// How long the store has to answer without interruption until it counts as stable: longer
/// than lapsed entries take to return.
const STABLE_AFTER: Duration = Duration::from_secs(3);

/// A watcher as advertised in digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watcher {
    /// The hash of its host name.
    pub host: u32,
    /// Its heartbeat counter, which keeps growing across restarts.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the store answers it.
    #[serde(rename = "is_served")]
    pub is_store_reachable: bool,
}

impl Watcher {
    /// The hash that identifies a host.
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

/// The watchers known to a router, and whether it is a watcher itself.
#[derive(Clone, Debug)]
pub struct Watchers {
    own: u32,
    records: BTreeMap<u32, Record>,
    shortage_since: Option<Instant>,
    /// The end of this router's minimum term, while it watches.
    term_ends: Option<Instant>,
    heartbeat: u64,
    /// Since when at least one watcher has been answered by the store at every check.
    reachable_since: Option<Instant>,
}

impl Watchers {
    /// Creates a table without known watchers. `epoch` is higher at each start of the
    /// process.
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

    /// Applies the watchers advertised by a peer. Only a new heartbeat counts, so that a
    /// dead watcher is not kept alive by others that still advertise it.
    ///
    /// Returns whether a watcher is new, or whether the store began or stopped answering
    /// one: other routers may have to start or stop watching.
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

    /// The watchers to advertise to peers. `is_store_reachable` says whether the store
    /// answers this router, if it is a watcher.
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

    /// Whether this router is to watch the store, given the registered routers and which of them are heard.
    pub fn should_watch(
        &mut self,
        members: &[host::Id],
        is_heard: impl Fn(&host::Id) -> bool,
        now: Instant,
    ) -> bool {
        self.records.retain(|_, record| now < record.alive_until);
        let connected = self.connected();
        if let Some(ends) = self.term_ends {
            if now >= ends && self.is_redundant(&connected) {
                self.term_ends = None;
            }
        } else if self.should_take_over(&connected, members, is_heard, now) {
            self.term_ends = Some(now + MIN_TERM);
            self.shortage_since = None;
        }
        self.term_ends.is_some()
    }

    /// Records whether the store answers this router or any known watcher. Returns whether
    /// it was unavailable at the previous check.
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

    /// Whether the store has answered some watcher without interruption for some time.
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

    /// Whether enough other watchers precede this router in order.
    fn is_redundant(&self, connected: &BTreeSet<u32>) -> bool {
        connected.iter().filter(|&&host| host < self.own).count() >= WATCHERS
    }

    /// Whether there are too few watchers and it is this router's turn to take over.
    fn should_take_over(
        &mut self,
        connected: &BTreeSet<u32>,
        members: &[host::Id],
        is_heard: impl Fn(&host::Id) -> bool,
        now: Instant,
    ) -> bool {
        // Before the members are known, each router would take itself for the first in
        // order.
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
        let precedes = |member: &&host::Id| {
            let hash = Watcher::hash(member);
            hash < self.own && !self.records.contains_key(&hash)
        };
        let before = members.iter().filter(precedes);
        let heard = before.clone().filter(|member| is_heard(member)).count();
        // As many routers as are missing take over at once.
        let missing = WATCHERS - connected.len();
        let delay = |before: usize| {
            let rank = u32::try_from(before.saturating_sub(missing)).unwrap_or(u32::MAX);
            TAKEOVER_STAGGER.saturating_mul(rank)
        };
        now >= since + delay(before.count()).min(MAX_STAGGER + delay(heard))
    }
}
