//! Load reports, which are published with a lag.

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use tokio::time;

use crate::{engine::simulator::Simulator, server::lock};

/// Number of load reports that are recorded per lag.
const REPORTS_PER_LAG: u32 = 2;

/// A load report.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Load {
    boot: String,
    seq: u64,
    running: u32,
    waiting: u32,
    capacity: u32,
    cached_tokens: u64,
    models: Vec<String>,
}

impl Simulator {
    /// The load report that is published now: the oldest retained one, which is about one lag
    /// old.
    pub(super) fn load(&self) -> Load {
        let state = lock(&self.state);
        let reported = state.reports.front().cloned();
        reported.unwrap_or_else(|| Load {
            boot: state.boot_id(),
            capacity: self.settings.capacity,
            models: lock(&self.orders).models.clone(),
            ..Load::default()
        })
    }

    /// Records load reports until the engine crashes or stops.
    pub(super) fn report_load(self: Arc<Self>) {
        let simulator = Arc::downgrade(&self);
        let interval = self.settings.load_lag / REPORTS_PER_LAG;
        self.control.spawn(async move {
            while let Some(simulator) = simulator.upgrade() {
                simulator.record_load();
                drop(simulator);
                time::sleep(interval.max(Duration::from_millis(1))).await;
            }
        });
    }

    fn record_load(&self) {
        let models = lock(&self.orders).models.clone();
        let mut state = lock(&self.state);
        let (running, waiting) = state.slots.counts();
        state.last_report_seq += 1;
        let load = Load {
            boot: state.boot_id(),
            seq: state.last_report_seq,
            running,
            waiting,
            capacity: self.settings.capacity,
            cached_tokens: state.cache.tokens(),
            models,
        };
        state.reports.push_back(load);
        if state.reports.len() > REPORTS_PER_LAG as usize + 1 {
            state.reports.pop_front();
        }
    }
}
