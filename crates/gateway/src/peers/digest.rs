//! The datagram by which a router tells others what it knows.

use serde::{Deserialize, Serialize};
use units::host;

use super::Watcher;
use crate::{
    dispatch,
    load::{self, Load, Report},
    prefixes::CachedPrefix,
    source::Topic,
};

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
    /// Stands for whatever is known of a topic that is not asked for.
    pub const NOT_ASKED: u64 = u64::MAX;

    /// That of one topic, if it is asked for.
    pub fn of(self, topic: Topic) -> Option<u64> {
        let version = match topic {
            Topic::Configuration => self.configuration,
            Topic::Servers => self.servers,
            Topic::Routers => self.routers,
        };
        (version != Self::NOT_ASKED).then_some(version)
    }

    /// Whether one of them is higher than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration
            || self.servers > other.servers
            || self.routers > other.routers
    }
}

/// What one router tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The router.
    pub host: host::Id,
    /// The newest changes that it knows.
    pub versions: Versions,
    /// A sum over all rows that it holds.
    pub sum: u64,
    /// Whether the store has answered it, or a watcher that it hears, for some time.
    pub is_steady: bool,
    /// The routers that watch the store, as far as it knows.
    pub watchers: Vec<Watcher>,
    /// What it has in flight, to those who need it.
    pub loads: Option<Report>,
    /// Requests that servers lately died of.
    pub strikes: Vec<recovery::Strike>,
    /// Prompts that servers have read just now.
    pub reads: Vec<CachedPrefix>,
}

/// What one datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// What one router tells.
    Digest(Digest),
    /// The loads of the sender, for those who add up in its zone.
    Loads {
        /// Its loads.
        loads: Report,
        /// Prompts that servers have read for it just now.
        reads: Vec<CachedPrefix>,
    },
    /// The loads of the sender's zone, for those who add up in other zones.
    Sum {
        /// The hash of the zone's name.
        zone: u32,
        /// How many routers' loads these are.
        routers: u16,
        /// Their sum.
        loads: Report,
        /// Prompts that servers have read for them just now.
        reads: Vec<CachedPrefix>,
    },
    /// The loads of the whole fleet, for the routers of a zone.
    Total(Total),
}

/// The loads of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The hash of the router that added up; others pass it on.
    pub aggregator: u32,
    /// How many routers of the zone told it their loads.
    pub routers: u16,
    /// The sum.
    pub loads: Report,
    /// Prompts that servers have read just now, anywhere in the fleet.
    pub reads: Vec<CachedPrefix>,
    /// The hashes of the routers that the receiver passes it on to.
    pub others: Vec<u32>,
}

/// A datagram that cannot be sent or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Digest {
    /// The digest of a router that tells nothing of its loads.
    pub fn new(
        host: host::Id,
        versions: Versions,
        is_steady: bool,
        watchers: Vec<Watcher>,
        strikes: Vec<recovery::Strike>,
    ) -> Self {
        Self {
            host,
            versions,
            sum: 0,
            is_steady,
            watchers,
            loads: None,
            strikes,
            reads: Vec::new(),
        }
    }

    /// The same with the sum over the rows that the router holds.
    pub fn with_sum(self, sum: u64) -> Self {
        Self { sum, ..self }
    }

    /// The same with loads and with what servers have read.
    pub fn with_loads(self, loads: Report, reads: Vec<CachedPrefix>) -> Self {
        Self {
            loads: Some(loads),
            reads,
            ..self
        }
    }
}

/// The loads of a router, of its busiest servers if there are many.
pub fn loads(all: &[dispatch::Load]) -> Vec<Load> {
    let loads = all.iter().map(|load| Load {
        server: Load::hash(&load.server),
        running: u16::try_from(load.running).unwrap_or(u16::MAX),
        outcomes: load.outcomes,
    });
    load::busiest(loads.collect(), MOST_SERVERS)
}

impl Frame {
    /// Encodes the frame with as much of what servers have read as fits, the first
    /// before the rest: it gives way where a datagram is too small for all.
    ///
    /// # Errors
    ///
    /// When what is left does not fit one datagram.
    pub fn encode_fitting(mut self) -> Result<Vec<u8>, Malformed> {
        loop {
            let encoded = self.encode();
            let reads = self.reads_mut();
            if encoded.is_ok() || reads.is_empty() {
                return encoded;
            }
            reads.truncate(reads.len() * 3 / 4);
        }
    }

    fn reads_mut(&mut self) -> &mut Vec<CachedPrefix> {
        match self {
            Self::Digest(Digest { reads, .. })
            | Self::Loads { reads, .. }
            | Self::Sum { reads, .. }
            | Self::Total(Total { reads, .. }) => reads,
        }
    }

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
