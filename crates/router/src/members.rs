//! One router's view of the routers of the fleet.

use std::net;

use units::{availability, backend, host, revision};

/// A router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Host of the router.
    pub host: host::Id,
    /// Availability zone of the router.
    pub zone: availability::Zone,
    /// Address at which the router accepts connections from peers.
    pub address: net::SocketAddr,
    /// Configuration revision that the router applied.
    pub revision: revision::Id,
    /// Lifecycle phase, as shown on the status page.
    pub phase: String,
    /// Whether the router may own backend servers.
    pub role: Role,
}

/// Whether a router may own backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The router may own servers.
    Owner,
    /// The router is shutting down and hands its servers over.
    Leaving,
    /// The router is starting or down.
    Ineligible,
}

/// The membership at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// Host of this router.
    pub own: host::Id,
    /// All routers, this one included.
    pub peers: Vec<Peer>,
}

impl Members {
    /// Returns the router that owns a server.
    pub fn owner(&self, server: &backend::Server, zone: &availability::Zone) -> Option<&Peer> {
        let owners = self.peers.iter().filter(|peer| peer.role == Role::Owner);
        let host = fleet::owner(server, zone, owners.map(|peer| (&peer.host, &peer.zone)))?;
        self.peers.iter().find(|peer| &peer.host == host)
    }

    /// Returns the router that would own a server if this router were not a member.
    pub fn successor(&self, server: &backend::Server, zone: &availability::Zone) -> Option<&Peer> {
        let owners = self
            .peers
            .iter()
            .filter(|peer| peer.role == Role::Owner && peer.host != self.own);
        let host = fleet::owner(server, zone, owners.map(|peer| (&peer.host, &peer.zone)))?;
        self.peers.iter().find(|peer| &peer.host == host)
    }

    /// Returns the router on `host` if it may own servers or is handing them over.
    pub fn live(&self, host: &host::Id) -> Option<&Peer> {
        self.peers
            .iter()
            .find(|peer| &peer.host == host && peer.role != Role::Ineligible)
    }

    /// Whether any known router may own backend servers.
    ///
    /// This is false for a short time after the start, during which the router
    /// would refuse every request that the load balancer sends.
    pub fn has_owner(&self) -> bool {
        self.peers.iter().any(|peer| peer.role == Role::Owner)
    }

    /// Returns whether this router owns a server.
    pub fn owns(&self, server: &backend::Server, zone: &availability::Zone) -> bool {
        self.owner(server, zone)
            .is_some_and(|peer| peer.host == self.own)
    }
}
