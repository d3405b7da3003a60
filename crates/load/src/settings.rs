//! Settings of a run.

use std::{net::SocketAddr, time::Duration};

/// What a run does.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The routers, of which any may be asked.
    pub routers: Vec<SocketAddr>,
    /// The plain services whose ledgers tell what ran.
    pub ledgers: Vec<SocketAddr>,
    /// The workspaces; the first is the largest.
    pub workspaces: Vec<String>,
    /// The key that callers send, if any.
    pub key: Option<String>,
    /// How long callers begin new requests.
    pub duration: Duration,
    /// How many chats are open.
    pub chats: u32,
    /// The mean pause between an answer and the next message of its chat.
    pub pause: Duration,
    /// How many messages a chat has before it starts over.
    pub turns: u32,
    /// How many words a caller's message has.
    pub words: u32,
    /// How many tokens an answer has.
    pub tokens: u32,
    /// The model that chats name.
    pub model: String,
    /// How many callers book, one booking after the other.
    pub booking_callers: u32,
    /// The mean pause between two bookings of one caller.
    pub booking_pause: Duration,
    /// The path that bookings are sent to.
    pub booking_path: String,
    /// How many bookings in a hundred are sent twice with one key.
    pub duplicate_percent: u32,
    /// How many callers look up, one lookup after the other.
    pub lookup_callers: u32,
    /// The mean pause between two lookups of one caller.
    pub lookup_pause: Duration,
    /// The path under which lookups are.
    pub lookup_path: String,
    /// How long a caller waits for its final answer, its repeats included.
    pub timeout: Duration,
    /// Whether a caller sends a request again whose connection broke.
    ///
    /// It may: chats and lookups are idempotent, and bookings carry a key.
    pub retries_broken: bool,
    /// When each phase of the report begins, counted from the start; the first begins with it.
    pub phases: Vec<Duration>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            routers: Vec::new(),
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
            retries_broken: false,
            phases: Vec::new(),
            seed: 1,
        }
    }
}
