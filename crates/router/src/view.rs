//! The router's view of the configuration and the backend servers.

use std::{collections::BTreeMap, net, sync::Arc};

use config::{resource, snapshot::Snapshot};
use fleet::Region;
use placement::topology;
use storage::hosts;
use units::{availability, backend, pool, revision, time};

/// A backend server, as described by the configuration and the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the server.
    pub server: backend::Server,
    /// The pool of the server.
    pub pool: pool::Id,
    /// The availability zone of the server.
    pub zone: availability::Zone,
    /// The listen address of the server.
    pub address: net::SocketAddr,
    /// The weight of the server relative to the other servers of the pool.
    pub weight: u32,
    /// Whether the server is eligible for new requests.
    pub state: topology::State,
}

/// A pool and its topology history.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The pool as declared in the configuration.
    pub declared: resource::Pool,
    /// The current and previous topologies.
    pub history: placement::History,
}

/// The configuration and backend servers at one point in time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Whether this router may serve requests with this view.
    pub ready: bool,
    /// The configuration, or `None` before it was read for the first time.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The pools.
    pub pools: BTreeMap<pool::Id, Pool>,
    /// The backend servers of all pools.
    pub targets: BTreeMap<backend::Server, Target>,
}

impl View {
    /// Returns the revision of the configuration, or zero if there is none.
    pub fn revision(&self) -> revision::Id {
        self.snapshot
            .as_ref()
            .map_or_else(revision::Id::default, |snapshot| snapshot.revision())
    }

    /// Builds the next view from `snapshot` and `hosts`, and keeps the topology
    /// history of this view.
    ///
    /// The view contains only servers of the router's own region: the latency
    /// between regions exceeds the time of a prefill, and the membership of
    /// other regions is not known reliably enough to determine the owner of a
    /// server.
    pub fn rebuild(
        &self,
        region: &Region,
        snapshot: &Arc<Snapshot>,
        hosts: &[hosts::Host],
        now: time::Instant,
    ) -> Self {
        let mut next = Self {
            snapshot: Some(Arc::clone(snapshot)),
            ..Self::default()
        };
        for declared in snapshot.pools() {
            let mut targets = targets(snapshot, declared, hosts);
            targets.retain(|target| region.contains(&target.zone));
            let topology = topology(&targets);
            let pool = Pool {
                declared: declared.clone(),
                history: self.history(declared, topology, now),
            };
            next.pools.insert(declared.name.clone(), pool);
            let named = targets
                .into_iter()
                .map(|target| (target.server.clone(), target));
            next.targets.extend(named);
        }
        next
    }

    fn history(
        &self,
        declared: &resource::Pool,
        topology: placement::Topology,
        now: time::Instant,
    ) -> placement::History {
        match self.pools.get(&declared.name) {
            Some(pool) => {
                let mut history = pool.history.clone();
                history.replace(topology, now);
                history
            }
            None => placement::History::new(placement_settings(declared), topology),
        }
    }
}

/// Returns the placement settings for a pool.
pub fn placement_settings(declared: &resource::Pool) -> placement::Settings {
    placement::Settings {
        load_bound: declared.load_bound,
        ..placement::Settings::default()
    }
}

fn topology(targets: &[Target]) -> placement::Topology {
    let members = targets.iter().map(|target| topology::Member {
        id: target.server.clone(),
        zone: target.zone.clone(),
        weight: target.weight,
        state: target.state,
    });
    placement::Topology::new(members.collect())
}

/// Returns the servers of a pool: those declared in the configuration, and those
/// added by the host list.
fn targets(snapshot: &Snapshot, declared: &resource::Pool, hosts: &[hosts::Host]) -> Vec<Target> {
    let mut targets: BTreeMap<backend::Server, Target> = declared
        .servers
        .iter()
        .map(|server| (server.name.clone(), declared_target(declared, server)))
        .collect();
    for host in hosts
        .iter()
        .filter(|host| host.role == hosts::Role::Backend)
    {
        let Ok(name) = host.name.parse::<backend::Server>() else {
            continue;
        };
        if host.pool.as_ref() == Some(&declared.name) && !targets.contains_key(&name) {
            targets.insert(name.clone(), listed_target(declared, host, name.clone()));
        }
        if host.state == hosts::State::Leaving
            && let Some(target) = targets.get_mut(&name)
        {
            target.state = topology::State::Excluded;
        }
    }
    let mut targets: Vec<Target> = targets.into_values().collect();
    for target in &mut targets {
        let out = snapshot.zone_service(&target.zone) == resource::Service::Out;
        if out || snapshot.is_drained(&target.server) {
            target.state = topology::State::Excluded;
        }
    }
    targets
}

fn declared_target(declared: &resource::Pool, server: &resource::Server) -> Target {
    Target {
        server: server.name.clone(),
        pool: declared.name.clone(),
        zone: server.zone.clone(),
        address: server.address,
        weight: server.weight,
        state: topology::State::Eligible,
    }
}

fn listed_target(declared: &resource::Pool, host: &hosts::Host, server: backend::Server) -> Target {
    Target {
        server,
        pool: declared.name.clone(),
        zone: host.zone.clone(),
        address: host.address,
        weight: 1,
        state: topology::State::Eligible,
    }
}
