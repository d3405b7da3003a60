//! The routers, as this one knows them.

use std::net;

use units::{availability, backend, host, revision};

/// A router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it takes hops.
    pub address: net::SocketAddr,
    /// The revision that it applied.
    pub revision: revision::Id,
    /// Its phase, for the status page.
    pub phase: String,
    /// Whether it may own backend servers.
    pub role: Role,
}

/// Whether a router may own backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It may.
    Owner,
    /// It may no longer, and hands its servers over.
    Leaving,
    /// It may not: it starts or is down.
    Ineligible,
}

/// All routers at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// This router's host.
    pub own: host::Id,
    /// All routers, this one included.
    pub peers: Vec<Peer>,
}

impl Members {
    /// The router that owns a server.
    pub fn owner(&self, server: &backend::Server, zone: &availability::Zone) -> Option<&Peer> {
        let owners = self.peers.iter().filter(|peer| peer.role == Role::Owner);
        let host = fleet::owner(server, zone, owners.map(|peer| (&peer.host, &peer.zone)))?;
        self.peers.iter().find(|peer| &peer.host == host)
    }

    /// The router that would own a server if this one did not run.
    pub fn successor(&self, server: &backend::Server, zone: &availability::Zone) -> Option<&Peer> {
        let owners = self
            .peers
            .iter()
            .filter(|peer| peer.role == Role::Owner && peer.host != self.own);
        let host = fleet::owner(server, zone, owners.map(|peer| (&peer.host, &peer.zone)))?;
        self.peers.iter().find(|peer| &peer.host == host)
    }

    /// A router that runs and owns, or owned, backend servers.
    pub fn live(&self, host: &host::Id) -> Option<&Peer> {
        self.peers
            .iter()
            .find(|peer| &peer.host == host && peer.role != Role::Ineligible)
    }

    /// Whether any router may own backend servers, as far as this one knows.
    ///
    /// A router that has just started knows of none for a moment, and would
    /// refuse whatever the balancer sends it.
    pub fn has_owner(&self) -> bool {
        self.peers.iter().any(|peer| peer.role == Role::Owner)
    }

    /// Whether this router owns a server.
    pub fn owns(&self, server: &backend::Server, zone: &availability::Zone) -> bool {
        self.owner(server, zone)
            .is_some_and(|peer| peer.host == self.own)
    }
}
