//! Settings of a load test.

use std::{net::SocketAddr, num::NonZeroUsize, time::Duration};

/// Settings of a load test.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Routers that requests are balanced over.
    pub routers: Vec<SocketAddr>,
    /// All but one in this many requests go to one router; `None` to balance them evenly.
    pub skew: Option<NonZeroUsize>,
    /// Plain services whose ledgers record which bookings ran.
    pub ledgers: Vec<SocketAddr>,
    /// Workspaces in descending order of traffic.
    pub workspaces: Vec<String>,
    /// API key of the callers, if they send one.
    pub key: Option<String>,
    /// How long callers start new requests.
    pub duration: Duration,
    /// Number of concurrent chats.
    pub chats: u32,
    /// Mean pause between a response and the next message of its chat.
    pub pause: Duration,
    /// Number of user messages per chat; after them the caller begins a new chat.
    pub turns: u32,
    /// Number of words in a user message.
    pub words: u32,
    /// Number of tokens in a response.
    pub tokens: u32,
    /// Model that chats request.
    pub model: String,
    /// Number of callers that send bookings, each one booking at a time.
    pub booking_callers: u32,
    /// Mean pause between two bookings of a caller.
    pub booking_pause: Duration,
    /// Path of bookings.
    pub booking_path: String,
    /// Percentage of bookings that are sent twice concurrently with the same idempotency key.
    pub duplicate_percent: u32,
    /// Number of callers that send lookups, each one lookup at a time.
    pub lookup_callers: u32,
    /// Mean pause between two lookups of a caller.
    pub lookup_pause: Duration,
    /// Path prefix of lookups.
    pub lookup_path: String,
    /// Timeout of a request, including its retries.
    pub timeout: Duration,
    /// Whether callers retry lost requests, such as those whose connection broke.
    ///
    /// This is safe: chats and lookups are idempotent, and bookings have idempotency keys.
    pub retries_lost: bool,
    /// Start times of the second and further phases of the report, relative to the start of the
    /// run. The first phase begins with the run.
    pub phases: Vec<Duration>,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            routers: Vec::new(),
            skew: None,
            ledgers: Vec::new(),
            workspaces: vec![String::from("default")],
            key: None,
            duration: Duration::from_secs(10),
            chats: 40,
            pause: Duration::from_millis(500),
            turns: 12,
            words: 40,
            tokens: 24,
            model: String::from("weir"),
            booking_callers: 4,
            booking_pause: Duration::from_millis(200),
            booking_path: String::from("/bookings"),
            duplicate_percent: 20,
            lookup_callers: 4,
            lookup_pause: Duration::from_millis(200),
            lookup_path: String::from("/lookups"),
            timeout: Duration::from_secs(20),
            retries_lost: false,
            phases: Vec::new(),
            seed: 1,
        }
    }
}
