//! The datagram by which a router tells others what it knows.

use serde::{Deserialize, Serialize};
use units::{backend, host};
use xxhash_rust::xxh3;

use super::{Sum, Watcher, sums};
use crate::{dispatch, evidence::Ends};

/// The longest payload, in bytes: with its seal it fits one packet on usual links.
const MAX_PAYLOAD: usize = 1300;

/// The most servers that one router tells of; each takes up to twelve bytes, and
/// a dozen watchers another 200.
const MOST_SERVERS: usize = 80;

/// The newest changes that a router knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Of the configuration.
    pub configuration: u64,
    /// Of the registered servers.
    pub servers: u64,
    /// Of the registered routers.
    pub routers: u64,
}

impl Versions {
    /// Whether one of them is higher than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration
            || self.servers > other.servers
            || self.routers > other.routers
    }
}

/// Requests that a router has, or lately had, at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// A hash of the server's name.
    pub server: u32,
    /// Requests in flight.
    pub running: u16,
    /// How requests there lately ended.
    pub ends: Ends,
}

impl Load {
    /// The hash that stands for a server.
    pub fn hash(server: &backend::Server) -> u32 {
        (xxh3::xxh3_64(server.as_str().as_bytes()) >> 32) as u32
    }
}

/// What one router tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The router.
    pub host: host::Id,
    /// The newest changes that it knows.
    pub versions: Versions,
    /// Whether the store has answered it, or a watcher that it hears, for some time.
    pub is_steady: bool,
    /// The routers that watch the store, as far as it knows.
    pub watchers: Vec<Watcher>,
    /// What it has in flight; servers without a request are left out.
    pub loads: Vec<Load>,
    /// Requests that servers lately died of.
    pub strikes: Vec<recovery::Strike>,
}

/// What one datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// What one router tells.
    Digest(Digest),
    /// The loads of the sender's zone, for those who add up in other zones.
    Sum(Sum),
    /// The loads of the whole fleet, for the routers of the sender's zone.
    Total(Vec<Load>),
}

/// A datagram that cannot be sent or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Digest {
    /// The digest of a router with these requests in flight.
    pub fn new(
        host: host::Id,
        versions: Versions,
        is_steady: bool,
        watchers: Vec<Watcher>,
        news: dispatch::News,
    ) -> Self {
        let loads = news.loads.iter().map(|load| Load {
            server: Load::hash(&load.server),
            running: u16::try_from(load.running).unwrap_or(u16::MAX),
            ends: load.ends,
        });
        Self {
            host,
            versions,
            is_steady,
            watchers,
            loads: sums::busiest(loads.collect(), MOST_SERVERS),
            strikes: news.strikes,
        }
    }
}

impl Digest {
    /// The same without what is only of use to those who add up.
    pub fn without_loads(self) -> Self {
        Self {
            loads: Vec::new(),
            ..self
        }
    }
}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// When it does not fit one datagram.
    pub fn encode(&self) -> Result<Vec<u8>, Malformed> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Malformed)?;
        if bytes.len() > MAX_PAYLOAD {
            return Err(Malformed);
        }
        Ok(bytes)
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// When the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MAX_PAYLOAD {
            return Err(Malformed);
        }
        postcard::from_bytes(bytes).map_err(|_| Malformed)
    }
}
