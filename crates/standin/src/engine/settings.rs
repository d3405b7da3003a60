//! Settings of an engine.

use std::{net::SocketAddr, time::Duration};

use crate::server;

/// How an engine behaves while no fault is on.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// How many requests it runs at once; the others wait.
    pub capacity: u32,
    /// How many tokens of prefixes its memory holds.
    pub cache_tokens: u64,
    /// Time to compute one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Time between two tokens of an answer while nothing else runs.
    pub token_interval: Duration,
    /// What each other running request adds to the time between two tokens.
    pub interval_per_concurrent_request: Duration,
    /// How many requests a cold start lasts.
    pub cold_requests: u32,
    /// How many requests at once it bears while cold.
    pub cold_capacity: u32,
    /// How many requests above that it gets over when it turns cold without
    /// warning; one more makes it fall over. After a start it gets over none.
    pub cold_overload_tolerance: u32,
    /// How much slower it is while cold.
    pub cold_factor: u32,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How late a cache event is published.
    pub event_lag: Duration,
    /// Every how many cache events one is missing; 0 means none.
    pub event_drop_interval: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing_token: bool,
    /// How long an order takes.
    pub order_duration: Duration,
    /// Models that are loaded; empty means that any is served.
    pub models: Vec<String>,
    /// A message that holds this text crashes the engine when it runs.
    pub poison: Option<String>,
    /// What a crash does.
    pub crash: server::Crash,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: 16,
            cache_tokens: 20_000,
            prefill_per_token: Duration::from_micros(50),
            token_interval: Duration::from_millis(2),
            interval_per_concurrent_request: Duration::from_micros(200),
            cold_requests: 0,
            cold_capacity: 2,
            cold_overload_tolerance: 4,
            cold_factor: 4,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(200),
            event_drop_interval: 16,
            checks_fencing_token: true,
            order_duration: Duration::ZERO,
            models: Vec::new(),
            poison: None,
            crash: server::Crash::Abort,
        }
    }
}
