//! The hash ring that assigns watchers across zones.
//!
//! Each router is watched by the next router of another zone on the ring, so
//! that the isolation of a zone is detected from outside. If there is no other
//! zone, the next router of its own zone watches it. Within a zone, neighbours
//! in the load tree watch each other, since they exchange heartbeats anyway. The
//! cost per router is therefore independent of the number of routers. A
//! suspected router is not assigned as a watcher: if it is dead and the router
//! that it watched died with it, no other router would detect that.

use std::collections::BTreeMap;

use units::{availability, host};
use xxhash_rust::xxh3;

use crate::tree;

/// The most routers that one router watches, if there are enough other watchers.
///
/// Where many routers of one zone follow each other on the ring, the next router
/// of another zone would have to watch all of them and exceed its traffic
/// budget. Routers with all their children in a load tree have the most traffic
/// and are assigned only as a last resort.
const MAX_WATCHED: usize = 2;

/// The routers of a region, ordered by the hashes of their host names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ring {
    nodes: Vec<Node>,
    /// For each node, the index of its watcher.
    watchers: Vec<Option<usize>>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Node {
    hash: u64,
    host: host::Id,
    zone: availability::Zone,
    can_watch: bool,
}

impl Ring {
    /// The ring of `routers`, each with its zone and whether it can watch others.
    pub(crate) fn new<'a, I>(routers: I) -> Self
    where
        I: IntoIterator<Item = (&'a host::Id, &'a availability::Zone, bool)>,
    {
        let mut nodes: Vec<Node> = routers
            .into_iter()
            .map(|(host, zone, can_watch)| Node {
                hash: xxh3::xxh3_64(host.as_str().as_bytes()),
                host: host.clone(),
                zone: zone.clone(),
                can_watch,
            })
            .collect();
        nodes.sort();
        let watchers = assign(&nodes);
        Self { nodes, watchers }
    }

    /// The router that watches `host`.
    pub(crate) fn watcher(&self, host: &host::Id) -> Option<&host::Id> {
        let watcher = self.watchers[self.position(host)?]?;
        Some(&self.nodes[watcher].host)
    }

    /// The routers that `host` watches.
    pub(crate) fn watched(&self, host: &host::Id) -> impl Iterator<Item = &host::Id> {
        let local = self.position(host);
        let pairs = self.nodes.iter().zip(&self.watchers);
        pairs
            .filter(move |(_, watcher)| local.is_some() && **watcher == local)
            .map(|(node, _)| &node.host)
    }

    fn position(&self, host: &host::Id) -> Option<usize> {
        self.nodes.iter().position(|node| node.host == *host)
    }
}

/// Assigns a watcher to each node, in ring order.
fn assign(nodes: &[Node]) -> Vec<Option<usize>> {
    let mut watched = vec![0; nodes.len()];
    let full_in_tree = full_in_tree(nodes);
    (0..nodes.len())
        .map(|index| {
            let successors = || (index + 1..nodes.len()).chain(0..index);
            let eligible = || successors().filter(|other| nodes[*other].can_watch);
            let in_other_zone = |other: &usize| nodes[*other].zone != nodes[index].zone;
            let has_capacity =
                |other: &usize| !full_in_tree[*other] && watched[*other] < MAX_WATCHED;
            let preferred = eligible().find(|other| in_other_zone(other) && has_capacity(other));
            let fallback = || {
                eligible()
                    .find(|other| in_other_zone(other))
                    .or_else(|| eligible().next())
            };
            let watcher = preferred.or_else(fallback)?;
            watched[watcher] += 1;
            Some(watcher)
        })
        .collect()
}

/// For each node, whether it has all possible children in its zone's load tree.
fn full_in_tree(nodes: &[Node]) -> Vec<bool> {
    let mut sizes: BTreeMap<&availability::Zone, usize> = BTreeMap::new();
    for node in nodes {
        *sizes.entry(&node.zone).or_default() += 1;
    }
    let mut ranks: BTreeMap<&availability::Zone, usize> = BTreeMap::new();
    nodes
        .iter()
        .map(|Node { zone, .. }| {
            let rank = ranks.entry(zone).or_default();
            *rank += 1;
            tree::is_full(*rank - 1, sizes[zone])
        })
        .collect()
}
