//! The state of an engine that a restart resets.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use crate::engine::{Settings, cache::Cache, generation::Generation, report::Load, slots::Slots};

/// Maximum number of generations retained for clients that resume a stream.
const MAX_STREAMS: usize = 256;

/// The state that a restart resets.
#[derive(Debug)]
pub(super) struct State {
    pub(super) boot: u64,
    pub(super) in_flight: u32,
    pub(super) cold_remaining: u32,
    pub(super) cold_overload_tolerance: u32,
    pub(super) has_crashed: bool,
    pub(super) cache: Cache,
    pub(super) reports: VecDeque<Load>,
    pub(super) last_report_seq: u64,
    pub(super) streams: BTreeMap<String, Arc<Generation>>,
    stream_order: VecDeque<String>,
    pub(super) slots: Slots,
}

impl State {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            boot: rand::random(),
            in_flight: 0,
            cold_remaining: settings.cold_requests,
            cold_overload_tolerance: 0,
            has_crashed: false,
            cache: Cache::new(
                settings.cache_tokens,
                settings.event_lag,
                settings.event_drop_interval,
            ),
            reports: VecDeque::new(),
            last_report_seq: 0,
            streams: BTreeMap::new(),
            stream_order: VecDeque::new(),
            slots: Slots::new(settings.capacity),
        }
    }

    /// Retains a generation so that its client can resume the stream, and drops the oldest one
    /// above the maximum.
    pub(super) fn retain_stream(&mut self, generation: &Arc<Generation>) {
        let attempt = generation.attempt.clone();
        self.streams.insert(attempt.clone(), Arc::clone(generation));
        self.stream_order.push_back(attempt);
        if self.stream_order.len() <= MAX_STREAMS {
            return;
        }
        if let Some(oldest) = self.stream_order.pop_front() {
            self.streams.remove(&oldest);
        }
    }

    /// The boot id as reported to clients.
    pub(super) fn boot_id(&self) -> String {
        format!("{:016x}", self.boot)
    }
}
