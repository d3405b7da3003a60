//! Settings of an engine.

use std::{net::SocketAddr, time::Duration};

use crate::server;

/// The behaviour of an engine without faults.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Maximum number of running requests; the others are queued.
    pub capacity: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Prefill time of one uncached prompt token.
    pub prefill_per_token: Duration,
    /// Time between two output tokens while no other request runs.
    pub token_interval: Duration,
    /// Time that each other running request adds to `token_interval`.
    pub interval_per_concurrent_request: Duration,
    /// Number of completed requests after which a cold engine is warm.
    pub cold_requests: u32,
    /// Maximum number of requests in flight while the engine is cold.
    pub cold_capacity: u32,
    /// Number of requests above `cold_capacity` that the engine tolerates after
    /// [`Fault::TurnCold`](super::Fault::TurnCold); one more crashes it. After a start it
    /// tolerates none.
    pub cold_overload_tolerance: u32,
    /// Factor by which a cold engine is slower.
    pub cold_factor: u32,
    /// Age of a published load report.
    pub load_lag: Duration,
    /// Delay before a cache event is published.
    pub event_lag: Duration,
    /// Every `event_drop_interval`-th cache event is lost; 0 means none.
    pub event_drop_interval: u64,
    /// Whether an order with a stale fencing token is rejected.
    pub checks_fencing_token: bool,
    /// Duration of an order.
    pub order_duration: Duration,
    /// Loaded models; empty means that every model is served.
    pub models: Vec<String>,
    /// A request with a message that contains this text crashes the engine when it runs.
    pub poison: Option<String>,
    /// The effect of a crash.
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
