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

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body, a header or a parameter is malformed.
    Malformed,
    /// A header or the body is over its limit.
    TooLarge,
    /// The caller took too long to send its request.
    SlowCaller,
    /// The workspace is not declared.
    UnknownWorkspace,
    /// The caller's key does not belong to the workspace.
    BadKey,
    /// A chat route was called without a chat.
    MissingChat,
    /// No route matches.
    UnknownRoute,
    /// Every backend server or queue that could accept the request is at its limit.
    Busy,
    /// The backend servers with free capacity are in slow start and at its limit.
    Cold,
    /// The workspace is at its own limit of concurrent requests.
    WorkspaceLimit,
    /// The request could not have been finished by its deadline.
    Deadline,
    /// No backend server is available.
    NoServer,
    /// The router has no configuration yet, or is shutting down.
    NotReady,
    /// The platform is down and the request needs a claim.
    ClaimUnavailable,
    /// A request with this idempotency key is running, or its outcome is unknown.
    ClaimTaken,
    /// The request is suspected of crashing backend servers.
    Suspect,
    /// The backend server failed while it processed the request.
    BackendFailed,
    /// The backend server crashed while it processed the request.
    BackendDied,
    /// The response of the backend server belonged to another request or was truncated.
    BadAnswer,
    /// The retry budget is exhausted.
    RetryBudget,
    /// This router does not own the backend server, or the server is leaving or ejected.
    Moved,
    /// Another internal error occurred.
    Internal,
    /// No backend server of the version that began the stream is left.
    VersionGone,
    /// It is not known which version began the stream.
    VersionUnknown,
}

impl Code {
    /// All codes.
    pub const ALL: [Self; 23] = [
        Self::Malformed,
        Self::TooLarge,
        Self::SlowCaller,
        Self::UnknownWorkspace,
        Self::BadKey,
        Self::MissingChat,
        Self::UnknownRoute,
        Self::Busy,
        Self::WorkspaceLimit,
        Self::Deadline,
        Self::NoServer,
        Self::NotReady,
        Self::ClaimUnavailable,
        Self::ClaimTaken,
        Self::Suspect,
        Self::BackendFailed,
        Self::BackendDied,
        Self::BadAnswer,
        Self::RetryBudget,
        Self::Moved,
        Self::Internal,
        Self::VersionGone,
        Self::VersionUnknown,
    ];
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::SlowCaller => "slow_caller",
            Self::UnknownWorkspace => "unknown_workspace",
            Self::BadKey => "bad_key",
            Self::MissingChat => "missing_chat",
            Self::UnknownRoute => "unknown_route",
            Self::Busy => "busy",
            Self::Cold => "cold",
            Self::WorkspaceLimit => "workspace_limit",
            Self::Deadline => "deadline",
            Self::NoServer => "no_server",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::NotReady => "not_ready",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::ClaimTaken => "claim_taken",
            Self::Suspect => "suspect",
            Self::BackendFailed => "backend_failed",
            Self::BackendDied => "backend_died",
            Self::BadAnswer => "bad_answer",
            Self::RetryBudget => "retry_budget",
            Self::Moved => "moved",
            Self::Internal => "internal",
        })
    }
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
