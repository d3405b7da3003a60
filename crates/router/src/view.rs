//! What the router knows of the configuration and of the backend servers.

use std::{collections::BTreeMap, net, sync::Arc};

use config::{resource, snapshot::Snapshot};
use fleet::Region;
use placement::topology;
use storage::hosts;
use units::{availability, backend, pool, revision, time};

/// A backend server as the configuration and the host list describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub server: backend::Server,
    /// Its pool.
    pub pool: pool::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its size, relative to the others of the pool.
    pub weight: u32,
    /// Whether it gets new work.
    pub state: topology::State,
}

/// A pool and the topologies that it had.
#[derive(Clone, Debug)]
pub struct Pool {
    /// As it was declared.
    pub declared: resource::Pool,
    /// Its topologies.
    pub history: placement::History,
}

/// What was known at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Whether this router may serve with it.
    pub ready: bool,
    /// The configuration, unset before the first one was read.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The pools.
    pub pools: BTreeMap<pool::Id, Pool>,
    /// The backend servers of all pools.
    pub targets: BTreeMap<backend::Server, Target>,
}

impl View {
    /// The revision in force, zero before the first configuration.
    pub fn revision(&self) -> revision::Id {
        self.snapshot
            .as_ref()
            .map_or_else(revision::Id::default, |snapshot| snapshot.revision())
    }

    /// The view that follows from `snapshot` and `hosts`, with this one's history.
    ///
    /// Only servers of the router's own region count: between regions the way
    /// is longer than a prefill, and the routers there are not known well
    /// enough to tell who owns a server.
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

/// The settings of placement for a pool.
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

/// The servers of a pool: the declared ones, and those that the host list adds.
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
