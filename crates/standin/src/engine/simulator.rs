//! The engine itself: its batch, its cold start and its cache.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    engine::{
        Fault, Fenced, Settings,
        cache::Cache,
        completion,
        fault::{Effects, Pending},
        generation::{Generation, Stage, Usage},
        orders::{Orders, Stale},
        slots::Slots,
        state::State,
    },
    payload, process,
    server::{self, lock},
};

/// What an engine has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Requests that reached it.
    pub requests: u64,
    /// Requests that it began to run.
    pub started: u64,
    /// Requests that it ran to their end.
    pub completed: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// The most requests at once.
    pub most_at_once: u32,
    /// The most requests at once while it was cold.
    pub most_while_cold: u32,
    /// Requests above what it bears while cold.
    pub overloads_while_cold: u64,
    /// Times that it fell over because of them.
    pub falls: u64,
    /// Prompt tokens of the requests run.
    pub prompt_tokens: u64,
    /// Those of them that were in the cache.
    pub cached_tokens: u64,
}

/// A switch that lasts until the faults end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ActiveFaults {
    is_frozen: bool,
    slowdown: u32,
}

const NO_FAULTS: ActiveFaults = ActiveFaults {
    is_frozen: false,
    slowdown: 1,
};

/// An engine's state and what changes it.
#[derive(Debug)]
pub struct Simulator {
    pub(super) settings: Settings,
    pub(super) state: Mutex<State>,
    pub(super) orders: Mutex<Orders>,
    counters: Mutex<Counters>,
    pending: Mutex<Pending>,
    poison: Mutex<Option<String>>,
    active_faults: watch::Sender<ActiveFaults>,
    pub(super) control: Arc<server::Control>,
}

impl Simulator {
    pub(super) fn new(settings: Settings, control: Arc<server::Control>) -> Self {
        Self {
            state: Mutex::new(State::new(&settings)),
            orders: Mutex::new(Orders::new(settings.models.clone())),
            counters: Mutex::default(),
            pending: Mutex::default(),
            poison: Mutex::new(settings.poison.clone()),
            active_faults: watch::Sender::new(NO_FAULTS),
            settings,
            control,
        }
    }

    /// Begins anew, as after a start of the process.
    pub(super) fn reboot(&self) {
        *lock(&self.state) = State::new(&self.settings);
        lock(&self.orders).models = self.settings.models.clone();
        self.active_faults.send_replace(NO_FAULTS);
    }

    pub(super) fn counters(&self) -> Counters {
        *lock(&self.counters)
    }

    pub(super) fn executed(&self) -> Vec<Fenced> {
        lock(&self.orders).executed.clone()
    }

    /// Switches a fault that the connection `from` asks for.
    pub(super) fn set_fault(&self, fault: Fault, from: Option<server::ConnectionId>) {
        match fault {
            Fault::Normal => self.clear_faults(),
            Fault::Crash => self.control.crash(),
            Fault::Freeze => self
                .active_faults
                .send_modify(|active| active.is_frozen = true),
            Fault::Slow { factor } => self
                .active_faults
                .send_modify(|active| active.slowdown = factor.max(1)),
            Fault::TurnCold => self.turn_cold(),
            Fault::SilentConnections => self.control.silence(from),
            Fault::Poison { marker } => *lock(&self.poison) = Some(marker),
            other => lock(&self.pending).add(&other),
        }
    }

    fn turn_cold(&self) {
        let mut state = lock(&self.state);
        state.cold_remaining = self.settings.cold_requests.max(1);
        state.cold_overload_tolerance = self.settings.cold_overload_tolerance;
    }

    fn clear_faults(&self) {
        *lock(&self.pending) = Pending::default();
        *lock(&self.poison) = None;
        self.active_faults.send_replace(NO_FAULTS);
    }

    /// What hits the next request.
    pub(super) fn next_effects(&self, is_stream: bool) -> Effects {
        lock(&self.pending).next(is_stream)
    }

    /// Waits until the engine is not frozen.
    pub(super) async fn wait_until_unfrozen(&self) {
        let mut active_faults = self.active_faults.subscribe();
        // The sender lives as long as `self`, so the wait ends only with a thaw.
        drop(active_faults.wait_for(|active| !active.is_frozen).await);
    }

    /// Whether `model` can be served.
    pub(super) fn serves(&self, model: &str) -> bool {
        let orders = lock(&self.orders);
        orders.models.is_empty() || orders.models.iter().any(|loaded| loaded == model)
    }

    /// Begins an answer, which goes on also when its caller is gone.
    pub(super) fn start_generation(
        self: &Arc<Self>,
        headers: completion::Headers,
        body: completion::Body,
    ) -> Arc<Generation> {
        let generation = Arc::new(Generation::new(headers.attempt.clone(), body.model.clone()));
        lock(&self.state).retain_stream(&generation);
        lock(&self.counters).requests += 1;
        let simulator = Arc::clone(self);
        let started = Arc::clone(&generation);
        self.control.spawn(async move {
            simulator.generate(&headers, &body, &started).await;
        });
        generation
    }

    async fn generate(
        &self,
        headers: &completion::Headers,
        body: &completion::Body,
        generation: &Generation,
    ) {
        let Some(_in_flight) = self.admit() else {
            self.control.crash();
            return;
        };
        let slots = lock(&self.state).slots.clone();
        let Some(_slot) = slots.acquire(headers.priority).await else {
            return;
        };
        if generation.is_cancelled() {
            return;
        }
        self.wait_until_unfrozen().await;
        let usage = self.prefill(headers, body).await;
        if self.is_poisoned(body) {
            self.control.crash();
            return;
        }
        for word in payload::words(body.prompt(), body.output_tokens()) {
            process::pause(self.interval(&slots)).await;
            self.wait_until_unfrozen().await;
            if generation.is_cancelled() {
                lock(&self.counters).cancelled += 1;
                return;
            }
            generation.push(word);
        }
        self.finish(headers, body, generation, usage);
    }

    /// Counts a request in; none: the engine is cold and falls over.
    fn admit(&self) -> Option<InFlight<'_>> {
        let mut state = lock(&self.state);
        state.in_flight += 1;
        let is_cold = state.cold_remaining > 0;
        let mut counters = lock(&self.counters);
        counters.most_at_once = counters.most_at_once.max(state.in_flight);
        if is_cold {
            counters.most_while_cold = counters.most_while_cold.max(state.in_flight);
        }
        if is_cold && state.in_flight > self.settings.cold_capacity {
            counters.overloads_while_cold += 1;
            if state.cold_overload_tolerance == 0 {
                counters.falls += u64::from(!state.has_crashed);
                state.has_crashed = true;
                return None;
            }
            state.cold_overload_tolerance -= 1;
        }
        let boot = state.boot;
        Some(InFlight {
            simulator: self,
            boot,
        })
    }

    /// Computes what of the prompt is not cached.
    async fn prefill(&self, headers: &completion::Headers, body: &completion::Body) -> Usage {
        let blocks = body.blocks();
        let prompt_tokens = blocks.iter().map(|block| block.tokens).sum();
        let cached_tokens = lock(&self.state).cache.lookup(headers.chat, &blocks);
        let uncached = u32::try_from(prompt_tokens - cached_tokens).unwrap_or(u32::MAX);
        let duration = self.settings.prefill_per_token.saturating_mul(uncached);
        process::pause(duration.saturating_mul(self.slowdown_factor())).await;
        let mut counters = lock(&self.counters);
        counters.started += 1;
        counters.prompt_tokens += prompt_tokens;
        counters.cached_tokens += cached_tokens;
        Usage {
            prompt_tokens,
            cached_tokens,
            completion_tokens: u64::from(body.output_tokens()),
        }
    }

    fn finish(
        &self,
        headers: &completion::Headers,
        body: &completion::Body,
        generation: &Generation,
        usage: Usage,
    ) {
        let text = payload::text(body.prompt(), body.output_tokens());
        let mut state = lock(&self.state);
        let blocks = body.blocks_with_reply(&text);
        state.cache.store(headers.chat, blocks, Instant::now());
        state.cold_remaining = state.cold_remaining.saturating_sub(1);
        lock(&self.counters).completed += 1;
        generation.end(Stage::Done(usage));
    }

    fn is_poisoned(&self, body: &completion::Body) -> bool {
        let poison = lock(&self.poison);
        poison
            .as_ref()
            .is_some_and(|marker| body.has_marker(marker))
    }

    /// How many times as long everything takes now.
    fn slowdown_factor(&self) -> u32 {
        let slowdown = self.active_faults.borrow().slowdown;
        let is_cold = lock(&self.state).cold_remaining > 0;
        if is_cold {
            return slowdown.saturating_mul(self.settings.cold_factor);
        }
        slowdown
    }

    /// The time to the next token, which grows with the batch.
    fn interval(&self, slots: &Slots) -> Duration {
        let concurrent = slots.counts().0.saturating_sub(1);
        let added = self.settings.interval_per_concurrent_request * concurrent;
        (self.settings.token_interval + added).saturating_mul(self.slowdown_factor())
    }

    /// The answer of `attempt`, while it is kept.
    pub(super) fn stream(&self, attempt: &str) -> Option<Arc<Generation>> {
        lock(&self.state).streams.get(attempt).cloned()
    }

    /// The events about the cache after `seq`, with the boot.
    pub(super) fn cache_events(&self, seq: u64) -> serde_json::Value {
        let state = lock(&self.state);
        let events = state.cache.events(seq, Instant::now());
        serde_json::json!({ "boot": state.boot_id(), "events": events })
    }

    /// Reads or changes the cache.
    pub(super) fn with_cache<T>(&self, change: impl FnOnce(&mut Cache) -> T) -> T {
        change(&mut lock(&self.state).cache)
    }

    /// Carries out an order.
    pub(super) async fn execute_order(&self, order: Fenced) -> Result<(), Stale> {
        process::pause(self.settings.order_duration).await;
        lock(&self.orders).execute(order, self.settings.checks_fencing_token)
    }
}

/// Counts a request out, unless the engine has started anew since.
struct InFlight<'a> {
    simulator: &'a Simulator,
    boot: u64,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.simulator.state);
        if state.boot == self.boot {
            state.in_flight -= 1;
        }
    }
}
