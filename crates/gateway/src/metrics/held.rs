//! The metrics of what is held for callers and servers that read slowly.

use buffers::Usage;
use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// The bytes held, and the responses that had to yield.
#[derive(Debug, Default)]
pub(super) struct Held {
    now: Gauge,
    most: Gauge,
    yielded: Counter,
}

impl Held {
    /// Adds the metrics to `registry`.
    pub fn register(registry: &mut Registry) -> Self {
        let held = Self::default();
        registry.register(
            "weir_held_bytes",
            "Bytes held for callers and servers that have not read them yet",
            held.now.clone(),
        );
        registry.register(
            "weir_held_bytes_most",
            "The most bytes held since the start",
            held.most.clone(),
        );
        registry.register(
            "weir_responses_yielded",
            "Responses that were not read on for a time because the budget of held bytes was spent",
            held.yielded.clone(),
        );
        held
    }

    /// Sets all metrics.
    pub fn set(&self, usage: Usage) {
        self.now.set(i64::try_from(usage.held).unwrap_or(i64::MAX));
        self.most.set(i64::try_from(usage.most).unwrap_or(i64::MAX));
        // Two readers of the metrics at the same moment may count some twice.
        self.yielded
            .inc_by(usage.yielded.saturating_sub(self.yielded.get()));
    }
}
