//! Checks of the resources against each other.

use std::{collections::BTreeMap, net};

use super::Faults;
use crate::{resource::Pool, snapshot::Snapshot};

/// Notes what does not fit together in `snapshot`.
pub fn snapshot(snapshot: &Snapshot, faults: &mut Faults) {
    missing_pools(snapshot, faults);
    duplicate_routes(snapshot, faults);
    duplicate_servers(snapshot, faults);
}

/// A route to a pool that does not exist would refuse all its requests.
fn missing_pools(snapshot: &Snapshot, faults: &mut Faults) {
    for route in snapshot.routes() {
        if snapshot.pool(&route.pool).is_none() {
            let path = format!("route/{}.pool", route.name);
            faults.add(&path, format!("pool/{} is not declared", route.pool));
        }
    }
}

/// Of two routes with one path and model the second would never be taken.
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

/// A server that stands twice would be owned and loaded twice.
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
