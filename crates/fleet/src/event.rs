//! What goes into and comes out of the membership.

use std::net;

use units::{availability, host, request, revision, time};
use wire::{heartbeat, seal};

use crate::Strike;

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
    /// Where the datagram came from.
    pub from: net::SocketAddr,
    /// The sender's tag, from the seal.
    pub tag: seal::Tag,
    /// The sender's boot, from the seal.
    pub boot: seal::Boot,
    /// Whether it was sealed for this very process, from the seal.
    pub fresh: bool,
    /// The heartbeat.
    pub frame: heartbeat::Frame,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The time of one [`crate::Settings::tick`] passed.
    Tick,
    /// A heartbeat arrived.
    Heartbeat(Box<Received>),
    /// The platform gave its list of live routers, which may lag.
    Hosts(Vec<Seed>),
    /// This router applied a revision of the configuration.
    Applied(revision::Id),
    /// This router has a configuration and can serve.
    Ready,
    /// The load of the engines that this router owns changed.
    Load(heartbeat::Load),
    /// A backend server died while this router had an attempt on it.
    Strike {
        /// The request.
        fingerprint: request::Fingerprint,
        /// The attempt.
        attempt: request::Attempt,
        /// When the strike is forgotten.
        expires_at: time::Instant,
    },
    /// This router starts its graceful shutdown: it owns nothing from now on.
    Leaving,
    /// This router ends: the others need not watch it any more.
    Left,
}

/// A heartbeat to be sealed and sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Where to.
    pub to: net::SocketAddr,
    /// For whom to seal it.
    pub audience: seal::Audience,
    /// The heartbeat.
    pub frame: Box<heartbeat::Frame>,
}

/// What is to be done, or has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a heartbeat.
    Send(Send),
    /// A router is new or entered another phase; owners may have changed.
    Phase {
        /// The router.
        host: host::Id,
        /// Its phase.
        phase: heartbeat::Phase,
    },
    /// This router's own right to act as an owner changed; see [`crate::Fleet::is_view_trusted`].
    ViewTrusted(bool),
    /// A router has a higher revision than this one: hand it to [`crate::revision_sync::RevisionSync`].
    NewerRevision {
        /// The revision.
        revision: revision::Id,
        /// The router that applied it.
        host: host::Id,
        /// Its peer address.
        address: net::SocketAddr,
    },
    /// The sum of the load over the engines of the region changed.
    Load(heartbeat::Load),
    /// A strike was learned from another router.
    Strike(Strike),
    /// The boot number is too low, since a clock went back: make the
    /// [`seal::Sealer`] and the [`seal::Opener`] anew with this one.
    BootChanged(seal::Boot),
}
