//! The routing table: routes, API keys, services and limits of the current
//! configuration.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    sync::Arc,
};

use scheduling::rank;
use smallvec::SmallVec;
use units::{pool, time::Millis, workspace};

/// Whether and how a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The request may run at most once, and its response is an event stream.
    Stream,
    /// The response is an event stream that another server can resume after the last
    /// event.
    Resumable,
}

impl Kind {
    const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }

    /// Whether the request may be sent to another server after it may have run on one.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub pool: pool::Id,
    /// The weight relative to the other splits of the route.
    pub weight: u32,
}

/// The configuration of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name used in logs.
    pub name: String,
    /// Whether and how requests may be retried.
    pub kind: Kind,
    /// The timeout for the complete response.
    pub timeout: Millis,
    /// The target for the time to first byte.
    pub target: Millis,
    /// The urgency of the requests; zero is the most urgent.
    pub rank: u8,
    /// The services that receive the requests.
    pub splits: SmallVec<[Split; 2]>,
    /// The most servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_anonymous: bool,
}

impl Route {
    /// Chooses the service of a request by its hash, according to the weights.
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

/// The workspace that owns an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyOwner {
    /// The workspace.
    pub workspace: workspace::Id,
    /// The urgency of the workspace's requests, if it overrides the route's rank.
    pub rank: Option<u8>,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Requests per second that one cold server can handle; zero if servers need no
    /// slow start.
    pub cold_per_s: f64,
    /// Prompt tokens that fit in a server's cache; zero for a plain service.
    pub cache_tokens: u64,
    /// The path at which a server tells about itself, if possible without a slot.
    pub health_path: String,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The timeout for receiving a request head.
    pub head_timeout: Millis,
    /// The idle timeout of a caller's connection.
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

/// An entry of a configuration that cannot be used, and is left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable {
    /// What the entry is.
    pub kind: &'static str,
    /// Its name, if it has one.
    pub name: String,
    /// Why it cannot be used.
    pub reason: String,
}

/// The longest reason that is kept, in characters. Some quote the value.
const MAX_REASON: usize = 200;

impl Unusable {
    /// An entry that cannot be read because of `error`.
    pub fn new(kind: &'static str, name: &str, error: &impl fmt::Display) -> Self {
        Self {
            kind,
            name: String::from(name),
            reason: error.to_string().chars().take(MAX_REASON).collect(),
        }
    }
}

/// The routes of one host, by path prefix.
type Prefixes = HashMap<String, Arc<Route>>;

/// A version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version assigned by operators.
    pub version: u64,
    hosts: HashMap<String, Prefixes>,
    keys: HashMap<String, Arc<KeyOwner>>,
    /// The services, by name.
    pub services: BTreeMap<pool::Id, Service>,
    /// The limits for callers.
    pub limits: Limits,
    /// Whether routes that are not anonymous require an API key.
    pub needs_key: bool,
    /// What was left out.
    pub unusable: Vec<Unusable>,
}

impl Table {
    /// Adds a route for `prefix` on `host`; the prefix must begin and end with a slash.
    pub fn add_route(&mut self, host: &str, prefix: &str, route: Route) {
        let prefixes = self.hosts.entry(host.to_ascii_lowercase()).or_default();
        prefixes.insert(String::from(prefix), Arc::new(route));
    }

    /// Adds an API key and its owner.
    pub fn add_key(&mut self, key: &str, key_owner: Arc<KeyOwner>) {
        self.keys.insert(String::from(key), key_owner);
    }

    /// Finds the route with the longest prefix of `path`.
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

    /// The names of all routes.
    pub fn route_names(&self) -> impl Iterator<Item = &str> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes.map(|route| route.name.as_str())
    }

    /// The routes of which a service receives requests.
    pub fn routes_to(&self, pool: &pool::Id) -> impl Iterator<Item = &Route> {
        let routes = self.hosts.values().flat_map(HashMap::values);
        routes
            .map(Arc::as_ref)
            .filter(move |route| route.splits.iter().any(|split| split.pool == *pool))
    }

    /// The ranks by which requests to a service are scheduled.
    pub fn ranks(&self, pool: &pool::Id) -> BTreeSet<u8> {
        let workspaces: BTreeSet<u8> = self.keys.values().filter_map(|owner| owner.rank).collect();
        let combined = |route: &Route| {
            let workspaces = workspaces.clone().into_iter().chain([route.rank]);
            let route = route.rank;
            workspaces.map(move |workspace| rank::combine(workspace, route))
        };
        self.routes_to(pool).flat_map(combined).collect()
    }

    /// The owner of an API key.
    pub fn key_owner(&self, key: &str) -> Option<&Arc<KeyOwner>> {
        self.keys.get(key)
    }
}
