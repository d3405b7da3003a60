//! Builds API responses from the cached configuration and the view of the fleet.

use config::{
    resource::Resource,
    response::{Engine, Freshness, List, Listed, Pending, Removed, Status, Zone},
    state::{self, State},
};
use tokio::time;
use units::{availability, revision};

use crate::{
    fleet::{self, Survey},
    store::{Health, View},
};

/// Returns the freshness of `view`. `None` if no configuration was loaded.
pub fn freshness(view: &View, fleet: &fleet::View) -> Option<Freshness> {
    let confirmed_at = view.confirmed_at?;
    Some(Freshness {
        revision: view.version.snapshot.revision(),
        age_ms: elapsed_ms(confirmed_at),
        platform: match view.health {
            Health::Down(_) => String::from("down"),
            Health::Up | Health::Unchecked => String::from("up"),
        },
        fleet_age_ms: fleet.updated_at.map(elapsed_ms),
    })
}

fn elapsed_ms(instant: time::Instant) -> u64 {
    u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns all resources with their states. `None` if no configuration was loaded.
pub fn list(view: &View, fleet: &fleet::View) -> Option<List> {
    let resources = view.version.snapshot.resources();
    Some(List {
        freshness: freshness(view, fleet)?,
        resources: resources
            .map(|declared| listed(&declared.resource, declared.revision, fleet))
            .collect(),
        removed: view
            .removed
            .iter()
            .map(|(key, revision)| {
                let (state, zones) =
                    progress(*revision, fleet, State::Withdrawing, State::Withdrawn);
                Removed {
                    key: key.clone(),
                    revision: *revision,
                    state,
                    zones,
                }
            })
            .collect(),
        pending: view
            .pending
            .iter()
            .map(|(id, pending)| Pending {
                id: id.clone(),
                keys: pending.keys.clone(),
            })
            .collect(),
    })
}

fn listed(resource: &Resource, revision: revision::Id, fleet: &fleet::View) -> Listed {
    let (state, zones) = progress(revision, fleet, State::Accepted, State::InForce);
    Listed {
        resource: resource.clone(),
        generation: revision::Generation(revision.0),
        state,
        zones,
    }
}

/// Returns `reached` if all routers have applied `revision`, otherwise `in_progress`,
/// and the zones with routers that have not applied it or are lost.
fn progress(
    revision: revision::Id,
    fleet: &fleet::View,
    in_progress: State,
    reached: State,
) -> (State, state::Zones) {
    let mut zones = state::coverage(revision, &fleet.routers);
    let state = if state::is_applied(&zones) {
        reached
    } else {
        in_progress
    };
    zones.retain(|_, zone| zone.applied < zone.routers || zone.lost > 0);
    (state, zones)
}

/// Returns whether the routers have applied the cached revision, as far as known.
pub fn is_rolled_out(view: &View, fleet: &fleet::View) -> bool {
    let revision = view.version.snapshot.revision();
    state::is_applied(&state::coverage(revision, &fleet.routers))
}

/// Returns the status of the fleet. `None` if no configuration was loaded.
pub fn status(view: &View, fleet: &fleet::View, survey: Survey) -> Option<Status> {
    let snapshot = &view.version.snapshot;
    let mut coverage = state::coverage(snapshot.revision(), &fleet.routers);
    for declared in snapshot.resources() {
        if let Resource::Zone(zone) = &declared.resource {
            coverage.entry(zone.name.clone()).or_default();
        }
    }
    let zone = |(name, coverage): (availability::Zone, state::Coverage)| Zone {
        service: snapshot.zone_service(&name),
        name,
        coverage,
    };
    let drained = |engine: Engine| Engine {
        drained: snapshot.is_drained(&engine.name),
        ..engine
    };
    Some(Status {
        freshness: freshness(view, fleet)?,
        asked: survey.queried,
        answered: survey.responded,
        zones: coverage.into_iter().map(zone).collect(),
        routers: fleet.routers.to_vec(),
        engines: survey.engines.into_iter().map(drained).collect(),
        refusals: survey.refusals,
    })
}
