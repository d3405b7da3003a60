//! Heartbeats: the datagrams by which routers exchange membership and load.

use std::{fmt, net};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use units::{availability, cost, host, revision};

use crate::{Error, codec, seal};

/// The maximum encoded length of a heartbeat before sealing, in bytes. A sealed datagram fits one packet.
pub const MAX_LENGTH: usize = 1100;
/// The maximum number of member updates in one heartbeat.
pub const MAX_UPDATES: usize = 16;
/// The maximum number of summaries of other routers in one heartbeat.
pub const MAX_SUMMARIES: usize = 16;
/// The maximum number of zone totals in one heartbeat.
pub const MAX_TOTALS: usize = 8;
/// The maximum number of reports in one heartbeat.
pub const MAX_REPORTS: usize = 8;

/// The kind of a heartbeat, which determines the reply of its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A periodic heartbeat, which requires no reply.
    Beat,
    /// A probe. The receiver replies immediately with [`Kind::Answer`].
    Probe,
    /// A join request of a new router. The receiver replies with [`Kind::Answer`] and the
    /// member list.
    Join,
    /// The reply to a probe or a join request.
    Answer {
        /// The version of the probe, which distinguishes its reply from one to an earlier probe.
        echo: u32,
        /// The number of seconds for which the receiver should own no engines, because
        /// the process on its host restarted too often (flap hold-down).
        hold: u16,
    },
}

/// Orders the updates about one router: a higher incarnation overrides a lower one.
///
/// A process starts with a boot number higher than that of the previous process
/// on its host. It increments the refutation to refute a false update about itself.
/// Together they correspond to the incarnation number of SWIM.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// The boot number of the process.
    pub boot: seal::Boot,
    /// The number of false updates about itself that the process has refuted.
    pub refutation: u32,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.boot, self.refutation)
    }
}

/// The lifecycle phase of a router, in order of precedence at equal incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The router has no configuration yet and owns no engines.
    Starting,
    /// The router serves requests.
    Ready,
    /// No heartbeat arrived within the suspicion timeout; the router may still be alive.
    Suspect,
    /// The router is draining: it completes its requests and releases its engines.
    Leaving,
    /// No heartbeat arrived for so long that the router is considered dead.
    Down,
    /// The router shut down gracefully.
    Left,
}

impl Phase {
    /// Whether the router is considered to be running.
    pub fn is_live(self) -> bool {
        matches!(
            self,
            Self::Starting | Self::Ready | Self::Suspect | Self::Leaving
        )
    }

    /// Whether routers in this phase are assigned engines.
    pub fn may_own(self) -> bool {
        matches!(self, Self::Ready | Self::Suspect)
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Down => "down",
            Self::Left => "left",
        })
    }
}

/// A membership update about one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// The address on which the router receives heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
    /// Orders this update among those about the same router.
    pub incarnation: Incarnation,
    /// The phase that the update reports.
    pub phase: Phase,
}

/// The load of the engines that one router owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The total cost of the requests in flight.
    pub cost: cost::Cost,
    /// The number of requests in flight.
    pub requests: u32,
    /// The number of engines owned.
    pub engines: u32,
}

/// A short identifier of a router: a hash of its host name.
///
/// In a zone of 46 routers the probability that two share a tag is 1 in 4
/// million. The load of one of them is then missing from the mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub [u8; 4]);

impl Tag {
    /// The tag of `host`.
    pub fn new(host: &host::Id) -> Self {
        Self(seal::short_hash(host.as_str()))
    }
}

/// The latest state of a router, relayed by another router of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The router that the summary describes.
    pub tag: Tag,
    /// The low bytes of the router's boot number, which distinguish its restarts.
    pub boot: [u8; 2],
    /// Orders the summaries of one boot.
    pub version: u32,
    /// The configuration revision that the router has applied.
    pub revision: revision::Id,
    /// The load of the engines that the router owns.
    pub load: Load,
}

impl Summary {
    /// The two low bytes of `boot`.
    pub fn low_bytes(boot: seal::Boot) -> [u8; 2] {
        let [a, b, ..] = boot.0.to_le_bytes();
        [a, b]
    }
}

/// A short identifier of an availability zone: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneTag(pub [u8; 4]);

impl ZoneTag {
    /// The tag of `zone`.
    pub fn new(zone: &availability::Zone) -> Self {
        Self(seal::short_hash(zone.as_str()))
    }
}

/// The aggregated state of one availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The availability zone.
    pub zone: ZoneTag,
    /// The age of the aggregate, in milliseconds.
    pub age: u32,
    /// The lowest configuration revision that a live router of the zone has applied.
    pub lowest: revision::Id,
    /// The total load of the zone's engines.
    pub load: Load,
}

/// The aggregated state of a router and its descendants in the aggregation tree of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subtree {
    /// The lowest configuration revision that one of these routers has applied.
    pub lowest: revision::Id,
    /// The total load of the engines of these routers.
    pub load: Load,
}

/// The host, zone and address of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The name of the host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// The address on which the router receives heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
}

/// One heartbeat.
///
/// The sender's tag and boot number are part of the seal around the heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The kind of the heartbeat.
    pub kind: Kind,
    /// The lifecycle phase of the sender.
    pub phase: Phase,
    /// The number of false updates about itself that the sender has refuted in this boot.
    pub refutation: u32,
    /// Orders the heartbeats of the sender within its boot.
    pub version: u32,
    /// The configuration revision that the sender has applied.
    pub revision: revision::Id,
    /// The load of the engines that the sender owns.
    pub load: Load,
    /// A hash of the sender's list of live members, by which the receiver detects differences.
    pub digest: [u8; 4],
    /// The identity of the sender, omitted when the receiver already has it.
    pub identity: Option<Identity>,
    /// Membership updates about other routers.
    pub updates: SmallVec<[Member; 2]>,
    /// The aggregate over the sender's subtree, sent to its parent in the aggregation tree.
    pub subtree: Option<Subtree>,
    /// Summaries of other routers of the sender's zone.
    pub summaries: SmallVec<[Summary; 4]>,
    /// Aggregates of availability zones.
    pub totals: SmallVec<[Total; 2]>,
    /// What the sender knows of requests that may crash backend servers.
    pub reports: SmallVec<[recovery::Report; 2]>,
}

impl Frame {
    /// Encodes the heartbeat.
    ///
    /// # Errors
    ///
    /// [`Error::TooMany`] if a list exceeds its limit, [`Error::TooLong`] if the encoded
    /// heartbeat exceeds [`MAX_LENGTH`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.check_limits()?;
        codec::encode(self, MAX_LENGTH)
    }

    /// Decodes a heartbeat, which must occupy all of `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error`] if `bytes` is not a valid heartbeat of this protocol version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let frame: Self = codec::decode(bytes, MAX_LENGTH)?;
        frame.check_limits()?;
        Ok(frame)
    }

    fn check_limits(&self) -> Result<(), Error> {
        let within = self.updates.len() <= MAX_UPDATES
            && self.summaries.len() <= MAX_SUMMARIES
            && self.totals.len() <= MAX_TOTALS
            && self.reports.len() <= MAX_REPORTS;
        if within { Ok(()) } else { Err(Error::TooMany) }
    }
}
