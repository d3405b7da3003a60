//! The simulation of an engine: batching, cold starts, the prefix cache and faults.

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

/// Counters of an engine since its first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Received requests.
    pub requests: u64,
    /// Requests whose prefill was completed.
    pub started: u64,
    /// Requests that were completed.
    pub completed: u64,
    /// Requests that were cancelled while they were generating tokens.
    pub cancelled: u64,
    /// Maximum number of requests in flight, queued ones included.
    pub most_at_once: u32,
    /// Maximum number of requests in flight while the engine was cold.
    pub most_while_cold: u32,
    /// Requests that exceeded the capacity of the cold engine.
    pub overloads_while_cold: u64,
    /// Crashes because of such an overload.
    pub falls: u64,
    /// Prompt tokens of the started requests.
    pub prompt_tokens: u64,
    /// Prompt tokens of the started requests that were cached.
    pub cached_tokens: u64,
}

/// Faults that last until all faults are cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ActiveFaults {
    is_frozen: bool,
    slowdown: u32,
}

const NO_FAULTS: ActiveFaults = ActiveFaults {
    is_frozen: false,
    slowdown: 1,
};

/// The state of an engine and the operations on it.
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

    /// Resets the state as a restart of the process would. Counters and executed orders stay.
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

    /// Injects a fault. `from` is the connection of the request for it, which
    /// [`Fault::SilentConnections`] does not affect.
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
            Fault::Endless(endless) => self.control.set_endless(Some(endless)),
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
        self.control.set_endless(None);
        *lock(&self.pending) = Pending::default();
        *lock(&self.poison) = None;
        self.active_faults.send_replace(NO_FAULTS);
    }

    /// The effects of the pending faults on the next request.
    pub(super) fn next_effects(&self, is_stream: bool) -> Effects {
        lock(&self.pending).next(is_stream)
    }

    /// Waits while the engine is frozen.
    pub(super) async fn wait_until_unfrozen(&self) {
        let mut active_faults = self.active_faults.subscribe();
        // `self` keeps the sender alive, so the wait can't fail.
        drop(active_faults.wait_for(|active| !active.is_frozen).await);
    }

    /// Whether `model` is loaded; without a list of models, every model is.
    pub(super) fn serves(&self, model: &str) -> bool {
        let orders = lock(&self.orders);
        orders.models.is_empty() || orders.models.iter().any(|loaded| loaded == model)
    }

    /// Starts a generation, which continues if the client disconnects.
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

    /// Counts a request as in flight. Returns `None` if it overloads the cold engine, which then
    /// crashes.
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

    /// Simulates the prefill of the uncached part of the prompt.
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

    /// The current factor by which prefill and decoding are slower.
    fn slowdown_factor(&self) -> u32 {
        let slowdown = self.active_faults.borrow().slowdown;
        let is_cold = lock(&self.state).cold_remaining > 0;
        if is_cold {
            return slowdown.saturating_mul(self.settings.cold_factor);
        }
        slowdown
    }

    /// The time to the next token, which grows with the number of running requests.
    fn interval(&self, slots: &Slots) -> Duration {
        let concurrent = slots.counts().0.saturating_sub(1);
        let added = self.settings.interval_per_concurrent_request * concurrent;
        (self.settings.token_interval + added).saturating_mul(self.slowdown_factor())
    }

    /// The generation for `attempt`, if it is still retained.
    pub(super) fn stream(&self, attempt: &str) -> Option<Arc<Generation>> {
        lock(&self.state).streams.get(attempt).cloned()
    }

    /// The cache events after `seq`, with the boot id.
    pub(super) fn cache_events(&self, seq: u64) -> serde_json::Value {
        let state = lock(&self.state);
        let events = state.cache.events(seq, Instant::now());
        serde_json::json!({ "boot": state.boot_id(), "events": events })
    }

    /// Calls `change` with the locked cache.
    pub(super) fn with_cache<T>(&self, change: impl FnOnce(&mut Cache) -> T) -> T {
        change(&mut lock(&self.state).cache)
    }

    /// Executes an order after the configured duration.
    pub(super) async fn execute_order(&self, order: Fenced) -> Result<(), Stale> {
        process::pause(self.settings.order_duration).await;
        lock(&self.orders).execute(order, self.settings.checks_fencing_token)
    }
}

/// Decrements the number of requests in flight when dropped, unless the engine has restarted
/// since.
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
