//! Metrics of the load that servers report.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

use super::Metrics;
use crate::pool::Effect;

/// The labels of a load report.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct Labels {
    source: &'static str,
    effect: &'static str,
}

/// Creates and registers the counter of load reports.
pub(super) fn register(registry: &mut Registry) -> Family<Labels, Counter> {
    let reports = Family::default();
    registry.register(
        "weir_load_reports",
        "Load reports of servers, by who passed them on and by what they changed",
        Family::clone(&reports),
    );
    reports
}

impl Metrics {
    /// Counts a report of a server's load that came from `source`.
    pub fn load_reported(&self, source: &'static str, effect: Effect) {
        let effect = match effect {
            Effect::Ignored => "ignored",
            Effect::Confirmed => "confirmed",
            Effect::Changed => "changed",
        };
        let labels = Labels { source, effect };
        self.load_reports.get_or_create(&labels).inc();
    }
}
