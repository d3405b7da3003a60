//! The events that a [`crate::Fleet`] takes and the actions that it returns.

use std::net;

use recovery::Evidence;
use units::{availability, host, revision};
use wire::{heartbeat, seal};

/// A router on the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// The host's name.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Its peer address.
    pub address: net::SocketAddr,
}

/// A heartbeat that was received, opened and decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The source address of the datagram.
    pub from: net::SocketAddr,
    /// The hash of the sender's host name, from the seal.
    pub tag: seal::Tag,
    /// The sender's boot number, from the seal.
    pub boot: seal::Boot,
    /// Whether it was sealed for this process and boot, so that it cannot be a replay
    /// of a datagram to an earlier or another process.
    pub fresh: bool,
    /// The decoded heartbeat.
    pub frame: heartbeat::Frame,
}

/// An input to [`crate::Fleet::handle`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// One [`crate::Settings::tick`] has passed.
    Tick,
    /// A heartbeat arrived.
    Heartbeat(Box<Received>),
    /// The platform returned its list of live routers, which may be out of date.
    Hosts(Vec<Seed>),
    /// This router applied a revision of the configuration.
    Applied(revision::Id),
    /// This router has a configuration and can serve requests.
    Ready,
    /// The load of the engines that this router owns changed.
    Load(heartbeat::Load),
    /// This router has learned whether a request crashes backend servers.
    Evidence(Evidence),
    /// This router starts to drain: from now on it owns no engines.
    Leaving,
    /// This router stops: the other routers no longer need to watch it.
    Left,
}

/// A heartbeat to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// The destination address.
    pub to: net::SocketAddr,
    /// The receiver that the heartbeat is sealed for.
    pub audience: seal::Audience,
    /// The heartbeat to encode.
    pub frame: Box<heartbeat::Frame>,
}

/// An output of [`crate::Fleet::handle`]: something to do, or a change to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send(Send),
    /// A router is new or entered another phase; engines may have new owners.
    Phase {
        /// The router.
        host: host::Id,
        /// Its current phase.
        phase: heartbeat::Phase,
    },
    /// This router may act as an owner from now on, or no longer; see
    /// [`crate::Fleet::is_view_trusted`].
    ViewTrusted(bool),
    /// A router has a higher revision than this one; pass it to
    /// [`crate::revision_sync::RevisionSync::add_source`].
    NewerRevision {
        /// The revision.
        revision: revision::Id,
        /// The router that applied it.
        host: host::Id,
        /// Its peer address.
        address: net::SocketAddr,
    },
    /// The total load of the region's engines changed.
    Load(heartbeat::Load),
    /// Another router has learned whether a request crashes backend servers.
    Evidence(Evidence),
    /// The boot number was too low, because a clock went back: recreate the
    /// [`seal::Sealer`] and the [`seal::Opener`] with this boot number.
    BootChanged(seal::Boot),
}
