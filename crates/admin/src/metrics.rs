//! The metrics of the administration.
//!
//! Labels take their values from fixed lists only, so that no caller can make
//! the number of series grow.

use config::{proposal, state};
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::{
    fleet,
    store::{Failure, Health, Outcome, View},
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    outcome: &'static str,
}

/// Returns the `outcome` label of a change.
fn outcome_label(result: &Result<Outcome, Failure>) -> &'static str {
    match result {
        Ok(Outcome::Accepted(_)) => "accepted",
        Ok(Outcome::Repeated(_)) => "repeated",
        Ok(Outcome::Unchanged(_)) => "unchanged",
        Err(Failure::Refused(proposal::Refusal::Invalid(_))) => "invalid",
        Err(Failure::Refused(proposal::Refusal::Conflict(_))) => "conflict",
        Err(Failure::Unavailable(_)) => "unavailable",
        Err(Failure::Unknown(_)) => "unknown",
    }
}

/// The metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    changes: Family<Labels, Counter>,
    platform_up: Gauge,
    age: Gauge,
    revision: Gauge,
    missing: Gauge,
    lost: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::default();
        let changes = Family::<Labels, Counter>::default();
        let help = "Proposed changes by outcome";
        registry.register("weir_admin_changes", help, changes.clone());
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            platform_up: gauge("weir_admin_platform_up", "Whether the table answers"),
            age: gauge(
                "weir_admin_age_milliseconds",
                "Time since the table confirmed the configuration",
            ),
            revision: gauge("weir_admin_revision", "Revision of the configuration"),
            missing: gauge(
                "weir_admin_routers_missing",
                "Routers that have not applied the revision",
            ),
            lost: gauge(
                "weir_admin_routers_lost",
                "Routers that the fleet has lost sight of",
            ),
            registry,
            changes,
        }
    }
}

impl Metrics {
    /// Counts a change by its outcome.
    pub fn count_outcome(&self, result: &Result<Outcome, Failure>) {
        let outcome = outcome_label(result);
        self.changes.get_or_create(&Labels { outcome }).inc();
    }

    /// Encodes all metrics as text after setting the gauges from `view` and `fleet`.
    pub fn encode(&self, view: &View, fleet: &fleet::View) -> String {
        let revision = view.version.snapshot.revision();
        let zones = state::coverage(revision, &fleet.routers);
        let missing: usize = zones.values().map(|zone| zone.routers - zone.applied).sum();
        let lost: usize = zones.values().map(|zone| zone.lost).sum();
        self.platform_up.set(i64::from(view.health == Health::Up));
        let age = view
            .confirmed_at
            .map_or(0, |instant| instant.elapsed().as_millis());
        self.age.set(i64::try_from(age).unwrap_or(i64::MAX));
        self.revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        self.missing.set(i64::try_from(missing).unwrap_or(i64::MAX));
        self.lost.set(i64::try_from(lost).unwrap_or(i64::MAX));
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
