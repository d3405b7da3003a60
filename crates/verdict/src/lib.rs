//! Refusals, and whether a refused request may have run.

use std::{error, fmt};

use serde::{Deserialize, Serialize};
use units::time;

/// Whether a request that was refused, or got no response, may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request reached a backend server. It is safe to repeat.
    NotRun,
    /// A backend server may have run the request, wholly or in part.
    MayHaveRun,
}

impl Verdict {
    /// The combined verdict on two attempts of the same request.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
        })
    }
}

macro_rules! codes {
    ($($(#[$meta:meta])* $code:ident => $name:literal,)*) => {
        /// Why a request was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Code {
            $($(#[$meta])* $code,)*
        }

        impl Code {
            /// All codes.
            pub const ALL: &[Self] = &[$(Self::$code,)*];
        }

        impl fmt::Display for Code {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self {
                    $(Self::$code => $name,)*
                })
            }
        }
    };
}

codes! {
    /// The body, a header or a parameter is malformed.
    Malformed => "malformed",
    /// A header or the body is over its limit.
    TooLarge => "too_large",
    /// The caller took too long to send its request.
    SlowCaller => "slow_caller",
    /// The workspace is not declared.
    UnknownWorkspace => "unknown_workspace",
    /// The caller's key does not belong to the workspace.
    BadKey => "bad_key",
    /// A chat route was called without a chat.
    MissingChat => "missing_chat",
    /// No route matches.
    UnknownRoute => "unknown_route",
    /// Every backend server or queue that could accept the request is at its limit.
    Busy => "busy",
    /// The backend servers with free capacity are in slow start and at its limit.
    Cold => "cold",
    /// The workspace is at its own limit of concurrent requests.
    WorkspaceLimit => "workspace_limit",
    /// The request could not have been finished by its deadline.
    Deadline => "deadline",
    /// No backend server is available.
    NoServer => "no_server",
    /// The router has no configuration yet, or is shutting down.
    NotReady => "not_ready",
    /// The platform is down and the request needs a claim.
    ClaimUnavailable => "claim_unavailable",
    /// A request with this idempotency key is running, or its outcome is unknown.
    ClaimTaken => "claim_taken",
    /// The request is suspected of crashing backend servers.
    Suspect => "suspect",
    /// The backend server failed while it processed the request.
    BackendFailed => "backend_failed",
    /// The backend server crashed while it processed the request.
    BackendDied => "backend_died",
    /// The response of the backend server belonged to another request or was truncated.
    BadAnswer => "bad_answer",
    /// The retry budget is exhausted.
    RetryBudget => "retry_budget",
    /// This router does not own the backend server, or the server is leaving or ejected.
    Moved => "moved",
    /// Another internal error occurred.
    Internal => "internal",
    /// No backend server of the version that began the stream is left.
    VersionGone => "version_gone",
    /// It is not known which version began the stream.
    VersionUnknown => "version_unknown",
    /// Servers crashed under a part of the prompt.
    Quarantined => "quarantined",
}

/// The final response to a request that the system refuses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request was refused.
    pub code: Code,
    /// The message to the caller, one sentence.
    pub message: String,
    /// When the caller may retry; `None` when a later retry does not help.
    pub retry_at: Option<time::Instant>,
}

impl Refusal {
    /// Creates a refusal of a request that has not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::NotRun,
            code,
            message: message.into(),
            retry_at: None,
        }
    }

    /// Creates a refusal of a request that a backend server may have run.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            ..Self::not_run(code, message)
        }
    }

    /// Sets the instant at which the caller may retry.
    pub fn retry_at(self, instant: time::Instant) -> Self {
        Self {
            retry_at: Some(instant),
            ..self
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.code, self.verdict, self.message)
    }
}

impl error::Error for Refusal {}
