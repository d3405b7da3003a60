//! What became of a request.

use std::{
    fmt,
    time::{Duration, Instant},
};

use serde::Deserialize;

/// A refusal as the caller reads it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: String,
    /// `not_run` or `may_have_run`.
    pub verdict: String,
    /// When to come back, in whole seconds.
    #[serde(default)]
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// Whether it says that another request with the same idempotency key runs.
    ///
    /// A repeat cannot run it a second time, and gets its recorded outcome later.
    pub fn is_claimed(&self) -> bool {
        self.code == "claim_taken"
    }

    /// Whether it says that the request has not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict == "not_run"
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.code, self.verdict)
    }
}

/// The tokens of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Those of them that were in the cache.
    pub cached_tokens: u64,
}

impl Usage {
    /// Cached prompt tokens over all prompt tokens.
    pub fn cache_hit_ratio(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

/// What a request ended with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to this request.
    Served(Usage),
    /// A refusal with a verdict.
    Refused(Refusal),
    /// Neither an answer nor a refusal.
    Lost(String),
    /// An answer that is not the one to this request.
    Wrong(String),
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The id that it was last sent with.
    pub id: String,
    /// The last outcome.
    pub outcome: Outcome,
    /// When its caller first sent it.
    pub started: Instant,
    /// From then to the first token of the answer.
    pub first_token: Option<Duration>,
    /// From then to the end.
    pub total: Duration,
    /// How often it was sent.
    pub sends: u32,
}
