//! The resources that operators declare.

use std::net;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use units::{availability, backend, pool, request, workspace};

use crate::key::{Key, Type};

/// A workspace of a customer: its weight, its limit and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: workspace::Id,
    /// The weight of the workspace for its share of a contended backend server, relative to
    /// other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The maximum number of requests in flight per router. Unset: unlimited.
    #[serde(default)]
    pub max_in_flight: Option<u32>,
    /// The BLAKE3 hashes of the callers' keys, in hex. Empty: no key is required.
    #[serde(default)]
    pub key_hashes: Vec<String>,
}

/// The kind of the backend servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines, which batch requests and cache prompt prefixes.
    Engine,
    /// Plain services.
    Service,
}

/// One backend server of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name of the server.
    pub name: backend::Server,
    /// The availability zone of the server.
    pub zone: availability::Zone,
    /// The address on which the server listens.
    pub address: net::SocketAddr,
    /// The relative capacity of the server within the pool.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A pool of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name of the pool.
    pub name: pool::Id,
    /// The kind of the servers.
    pub kind: Kind,
    /// Whether the servers report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// Whether the servers refuse orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The maximum load of one server, as a multiple of the pool's mean load.
    #[serde(default = "default_load_bound")]
    pub load_bound: f64,
    /// The maximum number of concurrent requests on one warm server.
    #[serde(default = "default_max_concurrency")]
    pub max_concurrency: u32,
    /// The declared servers. Servers that the platform's host list assigns to the pool are
    /// added to them.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// A rule that routes matching requests to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The path prefix of the matching requests, such as `/v1/chat/completions`. The longest
    /// matching prefix takes precedence.
    pub path: String,
    /// The model of the matching requests. Unset: any model.
    #[serde(default)]
    pub model: Option<String>,
    /// The pool to which requests are routed.
    pub pool: pool::Id,
    /// Whether requests are idempotent and may be run more than once. Unset: GET and HEAD are.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// The timeout of a request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// The priority of the requests.
    #[serde(default)]
    pub priority: request::Priority,
}

impl Route {
    /// Whether a request with this HTTP `method` may be run more than once.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.unwrap_or(matches!(method, "GET" | "HEAD"))
    }
}

/// Whether an availability zone receives new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Service {
    /// The zone receives new requests.
    #[default]
    In,
    /// The zone receives no new requests. Requests in flight run to completion.
    Out,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name of the zone.
    pub name: availability::Zone,
    /// Whether the zone receives new requests.
    #[serde(default)]
    pub service: Service,
}

/// The drain of one backend server, which then receives no new requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The name of the server.
    pub name: backend::Server,
}

/// A resource of any type.
///
/// JSON and TOML contain the type in the field `type`. Binary codecs, which are
/// not self-describing, contain the index of the variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Resource {
    /// A workspace.
    Workspace(Workspace),
    /// A pool of backend servers.
    Pool(Pool),
    /// A route.
    Route(Route),
    /// An availability zone.
    Zone(Zone),
    /// A drained backend server.
    Drain(Drain),
}

impl Resource {
    /// The key of the resource.
    pub fn key(&self) -> Key {
        match self {
            Self::Workspace(workspace) => Key::new(Type::Workspace, workspace.name.as_str()),
            Self::Pool(pool) => Key::new(Type::Pool, pool.name.as_str()),
            Self::Route(route) => Key::new(Type::Route, &route.name),
            Self::Zone(zone) => Key::new(Type::Zone, zone.name.as_str()),
            Self::Drain(drain) => Key::new(Type::Drain, drain.name.as_str()),
        }
    }
}

/// The serialized form of a resource in self-describing formats.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Resource", tag = "type", rename_all = "lowercase")]
enum Tagged {
    Workspace(Workspace),
    Pool(Pool),
    Route(Route),
    Zone(Zone),
    Drain(Drain),
}

/// The serialized form of a resource in binary formats, which do not support internally
/// tagged enums.
#[derive(Serialize, Deserialize)]
#[serde(remote = "Resource")]
enum Numbered {
    Workspace(Workspace),
    Pool(Pool),
    Route(Route),
    Zone(Zone),
    Drain(Drain),
}

impl Serialize for Resource {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            Tagged::serialize(self, serializer)
        } else {
            Numbered::serialize(self, serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Resource {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            Tagged::deserialize(deserializer)
        } else {
            Numbered::deserialize(deserializer)
        }
    }
}

const fn default_weight() -> u32 {
    1
}

const fn default_load_bound() -> f64 {
    1.25
}

const fn default_max_concurrency() -> u32 {
    64
}

const fn default_timeout_ms() -> u64 {
    60_000
}
