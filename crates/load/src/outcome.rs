//! Outcomes of requests.

use std::{
    fmt,
    time::{Duration, Instant},
};

use serde::Deserialize;

/// A refusal in the response to a caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct Refusal {
    /// Code of the reason.
    pub code: String,
    /// Whether the request ran: `not_run` or `may_have_run`.
    pub verdict: String,
    /// Delay after which the caller may retry, in seconds.
    #[serde(default)]
    pub retry_after: Option<u64>,
}

impl Refusal {
    /// Whether another request with the same idempotency key is running.
    ///
    /// A retry cannot run the request a second time, and later receives the recorded outcome.
    pub fn is_claimed(&self) -> bool {
        self.code == "claim_taken"
    }

    /// Whether the refusal states that the request has not run.
    pub fn is_not_run(&self) -> bool {
        self.verdict == "not_run"
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.code, self.verdict)
    }
}

/// Token counts of a chat completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were in the cache.
    pub cached_tokens: u64,
}

impl Usage {
    /// Ratio of cached prompt tokens to all prompt tokens.
    pub fn cache_hit_ratio(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }
}

/// Outcome of a request or of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received the complete and correct response.
    Served(Usage),
    /// The caller received a refusal with a verdict.
    Refused(Refusal),
    /// The caller received neither a complete response nor a refusal.
    Lost(String),
    /// The caller received a response other than the expected one.
    Wrong(String),
}

/// Final outcome and times of a request, including its retries.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Request ID of the last attempt.
    pub id: String,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
    /// When the caller started the first attempt.
    pub started: Instant,
    /// Time from the start to the first token of the response.
    pub first_token: Option<Duration>,
    /// Time from the start to the final outcome.
    pub total: Duration,
    /// Number of attempts that sent anything.
    pub sends: u32,
}
