//! Consistency checks across resources.

use std::{collections::BTreeMap, net};

use super::Faults;
use crate::{resource::Pool, snapshot::Snapshot};

/// Reports inconsistencies between the resources of `snapshot`.
pub fn snapshot(snapshot: &Snapshot, faults: &mut Faults) {
    missing_pools(snapshot, faults);
    duplicate_routes(snapshot, faults);
    duplicate_servers(snapshot, faults);
}

/// Reports routes to undeclared pools. Their requests would all be refused.
fn missing_pools(snapshot: &Snapshot, faults: &mut Faults) {
    for route in snapshot.routes() {
        if snapshot.pool(&route.pool).is_none() {
            let path = format!("route/{}.pool", route.name);
            faults.add(&path, format!("pool/{} is not declared", route.pool));
        }
    }
}

/// Reports routes with the same path and model. The second one would never match.
fn duplicate_routes(snapshot: &Snapshot, faults: &mut Faults) {
    let mut seen: BTreeMap<(&str, Option<&str>), &str> = BTreeMap::new();
    for route in snapshot.routes() {
        let target = (route.path.as_str(), route.model.as_deref());
        if let Some(other) = seen.insert(target, &route.name) {
            let path = format!("route/{}.path", route.name);
            faults.add(&path, format!("route/{other} has the same path and model"));
        }
    }
}

/// Reports servers that are declared twice. They would have two owners and receive twice
/// the load.
fn duplicate_servers(snapshot: &Snapshot, faults: &mut Faults) {
    let mut names: BTreeMap<&str, &Pool> = BTreeMap::new();
    let mut addresses: BTreeMap<net::SocketAddr, &Pool> = BTreeMap::new();
    for pool in snapshot.pools() {
        for (index, server) in pool.servers.iter().enumerate() {
            let path = format!("pool/{}.servers[{index}]", pool.name);
            if let Some(other) = names.insert(server.name.as_str(), pool) {
                let message = format!("{} stands in pool/{} already", server.name, other.name);
                faults.add(&format!("{path}.name"), message);
            }
            if let Some(other) = addresses.insert(server.address, pool) {
                let message = format!("{} stands in pool/{} already", server.address, other.name);
                faults.add(&format!("{path}.address"), message);
            }
        }
    }
}
