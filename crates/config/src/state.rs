//! Rollout state of resources in the fleet.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use units::{availability, host, revision};

/// The maximum number of hosts listed that have not applied a revision.
pub const MAX_MISSING: usize = 5;

/// The rollout state of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// A change to the resource was proposed but is not known to be committed.
    Declared,
    /// The change is committed, but not all reachable routers are known to have applied it.
    Accepted,
    /// All reachable routers have applied the change.
    InForce,
    /// The deletion is committed, but not all reachable routers are known to have applied it.
    Withdrawing,
    /// All reachable routers have applied the deletion.
    Withdrawn,
}

impl State {
    /// The name of the state.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Accepted => "accepted",
            Self::InForce => "in_force",
            Self::Withdrawing => "withdrawing",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// The state of a router as reported by the fleet's heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Router {
    /// The host of the router.
    pub host: host::Id,
    /// The availability zone of the router.
    pub zone: availability::Zone,
    /// The configuration revision that the router has applied.
    pub revision: revision::Id,
    /// The lifecycle phase of the router in the membership.
    pub state: String,
}

impl Router {
    /// Whether the router is reachable and may serve requests.
    ///
    /// A starting router does not count: it applies the highest revision that it
    /// finds before it becomes ready. A router that has left serves no requests.
    fn serves(&self) -> bool {
        !matches!(self.state.as_str(), "starting" | "left" | "down")
    }

    /// Whether the fleet considers the router down. It may still serve a partitioned zone.
    fn is_down(&self) -> bool {
        self.state == "down"
    }
}

/// The rollout of a revision in one availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The number of reachable routers.
    pub routers: usize,
    /// The number of reachable routers that have applied the revision.
    pub applied: usize,
    /// The hosts of up to [`MAX_MISSING`] reachable routers that have not applied it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<host::Id>,
    /// The number of routers that the fleet considers down. In a partitioned zone
    /// they may still serve requests with the configuration that they have.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lost: usize,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

/// The rollout of a revision by availability zone.
pub type Zones = BTreeMap<availability::Zone, Coverage>;

/// Computes the rollout of `revision` in each availability zone.
pub fn coverage(revision: revision::Id, routers: &[Router]) -> Zones {
    let mut zones = Zones::new();
    for router in routers {
        let zone = zones.entry(router.zone.clone()).or_default();
        if router.is_down() {
            zone.lost += 1;
        }
        if !router.serves() {
            continue;
        }
        zone.routers += 1;
        if router.revision >= revision {
            zone.applied += 1;
        } else if zone.missing.len() < MAX_MISSING {
            zone.missing.push(router.host.clone());
        }
    }
    zones
}

/// Whether all reachable routers have applied the revision that `zones` describes.
///
/// Returns `false` if no router is reachable.
pub fn is_applied(zones: &Zones) -> bool {
    let reached: usize = zones.values().map(|zone| zone.routers).sum();
    reached > 0 && zones.values().all(|zone| zone.applied == zone.routers)
}
