//! Max-min fair shares of workspaces over the fleet.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use units::time::Instant;

/// How long the usages of other routers count after they were received: three rounds of the
/// exchange, as for loads.
const PEERS_TTL: Duration = Duration::from_millis(700);
/// The most usages that a router tells others, so that they fit one datagram beside its loads.
const MAX_USAGES: usize = 32;

/// A hash that identifies a workspace, or a workspace of one service.
pub type Workspace = u32;

/// The requests of a workspace that a router has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The hash that identifies the workspace, or the workspace of one service.
    pub workspace: Workspace,
    /// Requests in flight.
    pub running: u32,
}

/// The requests of each workspace in flight at all routers, for one service.
///
/// If all slots are taken, the workspaces that use most are over their share: those above the
/// level at which the slots are used up. While they leave slots free, others take these, until
/// all that ask for more have the same.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own: BTreeMap<Workspace, u32>,
    peers: BTreeMap<Workspace, u32>,
    peers_expire_at: Instant,
    weights: BTreeMap<Workspace, u32>,
}

impl Shares {
    /// Sets the weights of workspaces; those without an entry have weight one.
    pub fn set_weights(&mut self, weights: BTreeMap<Workspace, u32>) {
        self.weights = weights;
    }

    /// Records that a request was sent to a server.
    pub fn admitted(&mut self, workspace: Workspace) {
        let running = self.own.entry(workspace).or_default();
        *running = running.saturating_add(1);
    }

    /// Records that a request at a server has ended.
    pub fn finished(&mut self, workspace: Workspace) {
        if let Some(running) = self.own.get_mut(&workspace) {
            *running = running.saturating_sub(1);
            if *running == 0 {
                self.own.remove(&workspace);
            }
        }
    }

    /// Sets the requests in flight at all other routers.
    pub fn set_peers(&mut self, usages: impl Iterator<Item = Usage>, now: Instant) {
        self.peers.clear();
        for usage in usages {
            let running = self.peers.entry(usage.workspace).or_default();
            *running = running.saturating_add(usage.running);
        }
        self.peers_expire_at = now + PEERS_TTL;
    }

    /// The requests of this router in flight, of the workspaces with the most.
    pub fn own(&self) -> Vec<Usage> {
        let own = self.own.iter();
        largest(own.map(|(&workspace, &running)| Usage { workspace, running }))
    }

    /// The age of what other routers told; `None` if it has expired or nothing was told.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let left = self.peers_expire_at.since(now);
        (now < self.peers_expire_at).then(|| PEERS_TTL.saturating_sub(left))
    }

    /// The requests of a workspace in flight at all routers.
    pub fn running(&self, workspace: Workspace, now: Instant) -> u32 {
        let own = self.own.get(&workspace).copied().unwrap_or(0);
        let peers = self.peers_at(now).get(&workspace).copied().unwrap_or(0);
        own.saturating_add(peers)
    }

    /// Whether a workspace has more than its share of `slots`, so that it has to leave some to
    /// others. Without others, nothing is left.
    pub fn is_over(&self, workspace: Workspace, slots: u32, now: Instant) -> bool {
        let running = f64::from(self.running(workspace, now));
        running > self.share(workspace, slots, now) && self.has_others(workspace, now)
    }

    fn has_others(&self, workspace: Workspace, now: Instant) -> bool {
        let all = self.own.iter().chain(self.peers_at(now));
        let mut others = all.filter(|(other, _)| **other != workspace);
        others.any(|(_, running)| *running > 0)
    }

    /// The share of a workspace in `slots`; infinite while not all of them are taken.
    pub fn share(&self, workspace: Workspace, slots: u32, now: Instant) -> f64 {
        self.level(slots, now) * self.weight(workspace)
    }

    /// The requests for each unit of weight at which the workspaces use up `slots`.
    fn level(&self, slots: u32, now: Instant) -> f64 {
        let peers = self.peers_at(now);
        let others = peers.keys().filter(|key| !self.own.contains_key(key));
        let all = self.own.keys().chain(others);
        let mut workspaces: Vec<(f64, f64)> = all
            .map(|&key| (f64::from(self.running(key, now)), self.weight(key)))
            .collect();
        let relative = |(running, weight): &(f64, f64)| running / weight;
        workspaces.sort_by(|a, b| relative(a).total_cmp(&relative(b)));
        let mut left = f64::from(slots);
        let mut weight_left: f64 = workspaces.iter().map(|(_, weight)| weight).sum();
        for workspace in &workspaces {
            let (running, weight) = *workspace;
            if relative(workspace) * weight_left > left {
                return left / weight_left;
            }
            left -= running;
            weight_left -= weight;
        }
        f64::INFINITY
    }

    fn peers_at(&self, now: Instant) -> &BTreeMap<Workspace, u32> {
        static NONE: BTreeMap<Workspace, u32> = BTreeMap::new();
        if now < self.peers_expire_at {
            &self.peers
        } else {
            &NONE
        }
    }

    fn weight(&self, workspace: Workspace) -> f64 {
        let weight = self.weights.get(&workspace).copied().unwrap_or(1);
        f64::from(weight.max(1))
    }
}

/// The usages with the most requests in flight.
pub fn largest(usages: impl Iterator<Item = Usage>) -> Vec<Usage> {
    let mut usages: Vec<Usage> = usages.collect();
    usages.sort_by_key(|usage| (Reverse(usage.running), usage.workspace));
    usages.truncate(MAX_USAGES);
    usages
}
