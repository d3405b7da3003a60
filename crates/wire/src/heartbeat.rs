//! Heartbeats: what routers tell one another in datagrams.

use std::{fmt, net};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use units::{availability, cost, host, request, revision};

use crate::{Error, codec, seal};

/// The longest heartbeat before sealing, in bytes, so that a datagram fits one packet.
pub const MAX_LENGTH: usize = 1100;
/// The most member updates in one heartbeat.
pub const MAX_UPDATES: usize = 16;
/// The most summaries of other routers in one heartbeat.
pub const MAX_SUMMARIES: usize = 16;
/// The most totals of zones in one heartbeat.
pub const MAX_TOTALS: usize = 8;
/// The most strikes in one heartbeat.
pub const MAX_STRIKES: usize = 8;

/// What a heartbeat asks of its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Nothing: the sender shows that it is alive.
    Beat,
    /// An answer at once.
    Probe,
    /// An answer and the list of members: the sender is new.
    Join,
    /// Nothing: it answers a probe.
    Answer {
        /// The version of the probe, so that an answer to an older one is told apart.
        echo: u32,
        /// For how many seconds the receiver should own no engines, because
        /// the process on its host came and went too often.
        hold: u16,
    },
}

/// Orders the claims about one router: a higher one overrides a lower one.
///
/// A process starts with a new boot number, higher than that of its
/// predecessor on the host; it raises the refutation to deny a false rumour.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation {
    /// The start of the process.
    pub boot: seal::Boot,
    /// How often the process denied a rumour about itself.
    pub refutation: u32,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.boot, self.refutation)
    }
}

/// In which phase of its life a router is, in the order of precedence at equal incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It has no configuration yet and owns nothing.
    Starting,
    /// It serves.
    Ready,
    /// It was not heard for a while.
    Suspect,
    /// It finishes its requests and gives up its engines.
    Leaving,
    /// It was not heard for too long.
    Down,
    /// It ended in order.
    Left,
}

impl Phase {
    /// Whether the router is thought to run.
    pub fn is_live(self) -> bool {
        matches!(
            self,
            Self::Starting | Self::Ready | Self::Suspect | Self::Leaving
        )
    }

    /// Whether routers in this phase are given engines to own.
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

/// A claim about one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's name.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it takes heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
    /// Orders this claim among those about the same router.
    pub incarnation: Incarnation,
    /// What is claimed.
    pub phase: Phase,
}

/// The load of the engines that one router owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Work in flight.
    pub cost: cost::Cost,
    /// Requests in flight.
    pub requests: u32,
    /// Engines owned.
    pub engines: u32,
}

/// A short name for a router, the hash of its host's name.
///
/// Two routers of a zone of 46 share one with a chance of 1 in 4 million; the
/// load of one of them is then missing from the mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub [u8; 4]);

impl Tag {
    /// The tag of `host`.
    pub fn new(host: &host::Id) -> Self {
        Self(seal::short_hash(host.as_str()))
    }
}

/// What a router last said of itself, passed on by another one of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Whom it is about.
    pub tag: Tag,
    /// The low bytes of the router's boot number, which tell its starts apart.
    pub boot: [u8; 2],
    /// Orders the summaries of one start.
    pub version: u32,
    /// The revision of the configuration that the router applied.
    pub revision: revision::Id,
    /// The load of the engines that it owns.
    pub load: Load,
}

impl Summary {
    /// The low bytes of `boot`.
    pub fn low_bytes(boot: seal::Boot) -> [u8; 2] {
        let [a, b, ..] = boot.0.to_le_bytes();
        [a, b]
    }
}

/// A short name for an availability zone, the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneTag(pub [u8; 4]);

impl ZoneTag {
    /// The tag of `zone`.
    pub fn new(zone: &availability::Zone) -> Self {
        Self(seal::short_hash(zone.as_str()))
    }
}

/// The sum over one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The zone.
    pub zone: ZoneTag,
    /// How old the sum is, in milliseconds.
    pub age: u32,
    /// The lowest revision that a live router of the zone applied.
    pub lowest: revision::Id,
    /// The load of the zone's engines.
    pub load: Load,
}

/// The sum over a router and those below it in the tree of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subtree {
    /// The lowest revision that one of them applied.
    pub lowest: revision::Id,
    /// The load of their engines.
    pub load: Load,
}

/// The death of a backend server while it had a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strike {
    /// The request.
    pub fingerprint: request::Fingerprint,
    /// The low half of the attempt's number, which tells deaths apart.
    pub attempt: [u8; 4],
    /// After how many seconds it is forgotten.
    pub remaining: u16,
}

/// Who a router is and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host's name.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it takes heartbeats (UDP) and hops (TCP).
    pub address: net::SocketAddr,
}

/// One heartbeat.
///
/// The seal around it holds the hash of the sender's name and its boot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// What it asks of its receiver.
    pub kind: Kind,
    /// In which phase the sender is: whether it is ready or leaving.
    pub phase: Phase,
    /// How often the sender denied a rumour about itself in this boot.
    pub refutation: u32,
    /// Orders what the sender says within its boot.
    pub version: u32,
    /// The revision of the configuration that the sender applied.
    pub revision: revision::Id,
    /// The load of the engines that the sender owns.
    pub load: Load,
    /// The hash of what the sender knows of the live members, to find differences.
    pub digest: [u8; 4],
    /// Who the sender is, left out for a receiver that knows.
    pub identity: Option<Identity>,
    /// Claims about other routers.
    pub updates: SmallVec<[Member; 2]>,
    /// The sum over the routers below the sender, for the one above it.
    pub subtree: Option<Subtree>,
    /// Summaries of other routers of the sender's zone.
    pub summaries: SmallVec<[Summary; 4]>,
    /// Sums over zones.
    pub totals: SmallVec<[Total; 2]>,
    /// Suspect requests.
    pub strikes: SmallVec<[Strike; 2]>,
}

impl Frame {
    /// Encodes the heartbeat.
    ///
    /// # Errors
    ///
    /// [`Error::TooMany`] or [`Error::TooLong`] when a list or the whole is over its limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.check_limits()?;
        codec::encode(self, MAX_LENGTH)
    }

    /// Decodes a heartbeat that takes up all of `bytes`.
    ///
    /// # Errors
    ///
    /// [`Error`] for bytes that no sender of this version makes.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let frame: Self = codec::decode(bytes, MAX_LENGTH)?;
        frame.check_limits()?;
        Ok(frame)
    }

    fn check_limits(&self) -> Result<(), Error> {
        let within = self.updates.len() <= MAX_UPDATES
            && self.summaries.len() <= MAX_SUMMARIES
            && self.totals.len() <= MAX_TOTALS
            && self.strikes.len() <= MAX_STRIKES;
        if within { Ok(()) } else { Err(Error::TooMany) }
    }
}
