//! Routes, keys, services and limits of the configuration in force.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use smallvec::SmallVec;
use units::{pool, time::Millis, workspace};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    Once,
    /// It may run once, and its answer is a series of events.
    Stream,
    /// A stream that another server can continue after its last event.
    Resumable,
}

impl Kind {
    /// Whether another server may run the request after one may have run it.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub pool: pool::Id,
    /// Its share, relative to the other splits of the route.
    pub weight: u32,
}

/// What the configuration says of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time until the final answer.
    pub timeout: Millis,
    /// The time to the first byte that callers hope for.
    pub target: Millis,
    /// How urgent its requests are; zero is the most urgent.
    pub rank: u8,
    /// The services that run its requests.
    pub splits: SmallVec<[Split; 2]>,
    /// How many servers one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

impl Route {
    /// The service for a request with the hash `hash`, by the weights of the splits.
    pub fn pool(&self, hash: u64) -> Option<&pool::Id> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        if total == 0 {
            return self.splits.first().map(|split| &split.pool);
        }
        let mut point = hash % total;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.pool);
            }
            point -= weight;
        }
        None
    }
}

/// A workspace as the holder of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: workspace::Id,
    /// How urgent its requests are, if it goes before the route's rank.
    pub rank: Option<u8>,
}

/// What the configuration says of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Requests a second that one cold server bears; zero where servers start warm.
    pub cold_per_s: f64,
    /// Prompt tokens that a server's cache holds; zero for a plain service.
    pub cache_tokens: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// How long a caller may take to send a head.
    pub head_timeout: Millis,
    /// How long a caller's connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Millis(3000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// The routes of one host name, by prefix.
type Prefixes = HashMap<String, Arc<Route>>;

/// One version of the configuration, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version that operators gave it.
    pub version: u64,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<String, Arc<KeyOwner>>,
    /// The services, by name.
    pub services: BTreeMap<pool::Id, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Whether routes that are not anonymous need a key.
    pub needs_key: bool,
}

impl Table {
    /// Adds a route at `prefix` of `host`; the prefix begins and ends with a slash.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        let prefixes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        prefixes.insert(String::from(prefix), Arc::new(route));
    }

    /// Adds a key and its holder.
    pub fn add_key(&mut self, key: &str, key_owner: Arc<KeyOwner>) {
        self.keys.insert(String::from(key), key_owner);
    }

    /// The route with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.hosts.get(&host.to_ascii_lowercase())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }

    /// The holder of a key.
    pub fn holder(&self, key: &str) -> Option<&Arc<KeyOwner>> {
        self.keys.get(key)
    }
}
