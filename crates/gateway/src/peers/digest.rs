//! The datagrams of the gossip protocol.

use serde::{Deserialize, Serialize};
use units::host;

use super::{Watcher, slices::Slice};
use crate::{
    dispatch,
    load::{self, Load, Report},
    origins,
    prefixes::CachedPrefix,
    source::Topic,
};

/// The maximum payload, in bytes: with its seal it fits one packet on usual links.
const MAX_PAYLOAD: usize = 1300;

/// The maximum number of servers in a digest. Each takes up to twelve bytes, and a dozen
/// watchers take another 200.
const MAX_SERVERS: usize = 80;

/// The newest store versions that a router holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: u64,
    /// The version of the registered servers.
    pub servers: u64,
    /// The version of the registered routers.
    pub routers: u64,
}

impl Versions {
    /// Marks a topic that is not requested.
    pub const NOT_REQUESTED: u64 = u64::MAX;

    /// The version of one topic, or `None` if the topic is not requested.
    pub fn of(self, topic: Topic) -> Option<u64> {
        let version = match topic {
            Topic::Configuration => self.configuration,
            Topic::Servers => self.servers,
            Topic::Routers => self.routers,
        };
        (version != Self::NOT_REQUESTED).then_some(version)
    }

    /// Whether any version is newer than in `other`.
    pub fn is_ahead_of(self, other: Self) -> bool {
        self.configuration > other.configuration
            || self.servers > other.servers
            || self.routers > other.routers
    }
}

/// The state that one router advertises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The host of the router.
    pub host: host::Id,
    /// The newest store versions that it holds.
    pub versions: Versions,
    /// The checksum over all rows that it holds.
    #[serde(rename = "sum")]
    pub checksum: u64,
    /// Whether the store has answered this router, or a watcher known to it, for some time.
    #[serde(rename = "is_steady")]
    pub is_store_stable: bool,
    /// The routers known to watch the store.
    pub watchers: Vec<Watcher>,
    /// Its requests at the servers, in fleets small enough to exchange them in digests.
    pub loads: Option<Report>,
    /// What is known of requests that may crash servers.
    pub reports: Vec<recovery::Report>,
    /// Prompt prefixes that servers have cached recently.
    #[serde(rename = "reads")]
    pub cached_prefixes: Vec<CachedPrefix>,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The state of the sender.
    Digest(Digest),
    /// The loads of the sender, for the aggregators of its zone.
    Loads {
        /// The loads.
        loads: Report,
        /// Prompt prefixes that servers have cached recently for the sender.
        #[serde(rename = "reads")]
        cached_prefixes: Vec<CachedPrefix>,
    },
    /// The summed loads of the sender's zone, for the aggregators of other zones.
    #[serde(rename = "Sum")]
    ZoneSum {
        /// The hash of the zone's name.
        zone: u32,
        /// The number of routers that the sum covers.
        routers: u16,
        /// The summed loads.
        loads: Report,
        /// Prompt prefixes that servers have cached recently for these routers.
        #[serde(rename = "reads")]
        cached_prefixes: Vec<CachedPrefix>,
    },
    /// The loads of the whole fleet, for the routers of the aggregator's zone.
    #[serde(rename = "Total")]
    FleetTotal(FleetTotal),
    /// The progress of a roll-out.
    Rollout(rollout::Message),
    /// The versions that began streams, for a router that keeps them.
    Origins(Vec<origins::Record>),
    /// Asks for the version that began a stream.
    OriginQuery(origins::Key),
    /// The answer to [`Frame::OriginQuery`].
    OriginAnswer(origins::Key, origins::Answer),
    /// What is known of prompt parts that may crash servers.
    PartReports(Vec<recovery::quarantine::Report>),
    /// Loads that a report of the sender does not name.
    LoadSlice(LoadSlice),
    /// The speeds of servers and the use by workspaces.
    ServiceState(ServiceState),
    /// The versions that began streams, for the router that writes the journal.
    Journal(Vec<origins::Record>),
}

/// The speeds of servers and the use by workspaces, as known to a router, a zone or the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Whose state this is.
    pub scope: Scope,
    /// What servers have reported of their speed; ages are as of sending.
    pub load_reports: Vec<load_report::Shared>,
    /// The requests in flight of workspaces, the largest first.
    pub usages: Vec<scheduling::Usage>,
    /// The hashes of the routers to which the receiver relays the state.
    pub relay_to: Vec<u32>,
}

impl ServiceState {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.load_reports.is_empty() && self.usages.is_empty()
    }
}

/// Loads that the reports of a router, a zone or the fleet do not name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSlice {
    /// Whose loads these are.
    pub scope: Scope,
    /// The loads.
    pub slice: Slice,
    /// The hashes of the routers to which the receiver relays the slice.
    pub relay_to: Vec<u32>,
}

/// Whose state a frame holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// The sender's.
    Router,
    /// The sum of the sender's zone, as in [`Frame::ZoneSum`].
    Zone {
        /// The hash of the zone's name.
        zone: u32,
        /// The number of routers that the sum covers.
        routers: u16,
    },
    /// The total of the whole fleet, as in [`Frame::FleetTotal`].
    Fleet {
        /// The number of routers of the zone that reported their loads to the aggregator.
        routers: u16,
    },
}

/// The loads of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetTotal {
    /// The hash of the aggregator's host name; other routers may relay the total.
    pub aggregator: u32,
    /// The number of routers of the zone that reported their loads to the aggregator.
    pub routers: u16,
    /// The summed loads.
    pub loads: Report,
    /// Prompt prefixes that servers have cached recently, for any router of the fleet.
    #[serde(rename = "reads")]
    pub cached_prefixes: Vec<CachedPrefix>,
    /// The hashes of the routers to which the receiver relays the total.
    #[serde(rename = "others")]
    pub relay_to: Vec<u32>,
}

/// A payload that is too long, or that cannot be encoded or decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Digest {
    /// Creates a digest without loads.
    pub fn new(
        host: host::Id,
        versions: Versions,
        is_store_stable: bool,
        watchers: Vec<Watcher>,
        reports: Vec<recovery::Report>,
    ) -> Self {
        Self {
            host,
            versions,
            checksum: 0,
            is_store_stable,
            watchers,
            loads: None,
            reports,
            cached_prefixes: Vec::new(),
        }
    }

    /// Adds the checksum over the rows that the router holds.
    pub fn with_checksum(self, checksum: u64) -> Self {
        Self { checksum, ..self }
    }

    /// Adds the loads and the cached prefixes.
    pub fn with_loads(self, loads: Report, cached_prefixes: Vec<CachedPrefix>) -> Self {
        Self {
            loads: Some(loads),
            cached_prefixes,
            ..self
        }
    }
}

/// The loads that a router reports: those of its busiest servers if there are many, and the
/// others, which it reports in slices.
pub fn loads(all: &[dispatch::Load]) -> (Vec<Load>, Vec<Load>) {
    let loads = all.iter().map(|load| Load {
        server: Load::hash(&load.server),
        running: u16::try_from(load.running).unwrap_or(u16::MAX),
        outcomes: load.outcomes,
    });
    load::split(loads.collect(), MAX_SERVERS)
}

impl Frame {
    /// The name of the kind of frame, for metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Digest(_) => "digest",
            Self::Loads { .. } => "loads",
            Self::ZoneSum { .. } => "zone_sum",
            Self::FleetTotal(_) => "fleet_total",
            Self::Rollout(_) => "rollout",
            Self::Origins(_) => "origins",
            Self::OriginQuery(_) => "origin_query",
            Self::OriginAnswer(..) => "origin_answer",
            Self::PartReports(_) => "part_reports",
            Self::LoadSlice(_) => "load_slice",
            Self::ServiceState(_) => "service_state",
            Self::Journal(_) => "journal",
        }
    }

    /// Encodes the frame, dropping cached prefixes from the end until it fits one datagram.
    ///
    /// # Errors
    ///
    /// When it does not fit even without cached prefixes.
    pub fn encode_truncated(mut self) -> Result<Vec<u8>, Malformed> {
        loop {
            let encoded = self.encode();
            let cached_prefixes = self.cached_prefixes_mut();
            let Some(cached_prefixes) = cached_prefixes.filter(|prefixes| !prefixes.is_empty())
            else {
                return encoded;
            };
            if encoded.is_ok() {
                return encoded;
            }
            cached_prefixes.truncate(cached_prefixes.len() * 3 / 4);
        }
    }

    fn cached_prefixes_mut(&mut self) -> Option<&mut Vec<CachedPrefix>> {
        match self {
            Self::Digest(Digest {
                cached_prefixes, ..
            })
            | Self::Loads {
                cached_prefixes, ..
            }
            | Self::ZoneSum {
                cached_prefixes, ..
            }
            | Self::FleetTotal(FleetTotal {
                cached_prefixes, ..
            }) => Some(cached_prefixes),
            Self::Rollout(_)
            | Self::Origins(_)
            | Self::OriginQuery(_)
            | Self::OriginAnswer(..)
            | Self::PartReports(_)
            | Self::LoadSlice(_)
            | Self::ServiceState(_)
            | Self::Journal(_) => None,
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
    /// When the bytes are not a valid frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, Malformed> {
        if bytes.len() > MAX_PAYLOAD {
            return Err(Malformed);
        }
        postcard::from_bytes(bytes).map_err(|_| Malformed)
    }
}
