//! Outcomes of requests and causes of losses, derived from routers' log lines.

use std::fmt;

use serde::Serialize;

use crate::line::Line;

/// Why a caller did not receive a successful response from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// No server of the service is known, or all of them were tried.
    NoServer,
    /// No connection to a server could be established.
    Unreachable,
    /// All servers were at their concurrency limit.
    Full,
    /// The servers with free capacity were limited by slow start.
    Cold,
    /// The retry budget of the service was exhausted.
    Budget,
    /// The deadline passed before the request was sent to a server.
    Deadline,
    /// The server answered with a server error.
    ServerFailed,
    /// The server closed the connection before its response was complete, or the response was
    /// invalid.
    ServerBroke,
    /// The server did not answer, or its response stalled, until the deadline.
    ServerSilent,
    /// Servers crashed while running the request, so the request is suspected of crashing them.
    Suspect,
    /// Servers crashed under a part of the prompt, so requests with it are refused.
    Quarantined,
    /// No server of the version that began the stream was left.
    VersionGone,
    /// It was not known which version began the stream.
    VersionUnknown,
    /// The router was starting or shutting down, or failed internally.
    Router,
    /// The caller disconnected.
    CallerLeft,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 15] = [
        Self::NoServer,
        Self::Unreachable,
        Self::Full,
        Self::Cold,
        Self::Budget,
        Self::Deadline,
        Self::ServerFailed,
        Self::ServerBroke,
        Self::ServerSilent,
        Self::Suspect,
        Self::Quarantined,
        Self::VersionGone,
        Self::VersionUnknown,
        Self::Router,
        Self::CallerLeft,
    ];

    /// Name of the cause in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Unreachable => "unreachable",
            Self::Full => "full",
            Self::Cold => "cold",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::ServerFailed => "server_failed",
            Self::ServerBroke => "server_broke",
            Self::ServerSilent => "server_silent",
            Self::Suspect => "suspect",
            Self::Quarantined => "quarantined",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::Router => "router",
            Self::CallerLeft => "caller_left",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received a complete response from a server, other than a server error.
    Served,
    /// The request was not authorized or was invalid, and was not sent to a server.
    Rejected,
    /// The caller received no such response.
    Lost(Cause),
}

/// Outcome of a request, if the log line is the last one for its request.
pub fn outcome(line: &Line<'_>) -> Option<Outcome> {
    match line.event.as_ref() {
        "request_done" => Some(completed(line)),
        "request_refused" => Some(Outcome::Lost(refused(line))),
        "request_rejected" => Some(rejected(line)),
        "request_abandoned" => Some(Outcome::Lost(Cause::CallerLeft)),
        _ => None,
    }
}

fn completed(line: &Line<'_>) -> Outcome {
    let is_server_error = line.number("status").is_some_and(|status| status >= 500);
    match line.get("ending") {
        Some("complete") if is_server_error => Outcome::Lost(Cause::ServerFailed),
        Some("complete") => Outcome::Served,
        Some("caller left") => Outcome::Lost(Cause::CallerLeft),
        Some("version_gone") => Outcome::Lost(Cause::VersionGone),
        Some("late" | "silent") => Outcome::Lost(Cause::ServerSilent),
        _ => Outcome::Lost(Cause::ServerBroke),
    }
}

fn refused(line: &Line<'_>) -> Cause {
    let may_have_run = line.get("verdict") == Some("may_have_run");
    let was_unreachable = line.number("unreachable").is_some_and(|count| count > 0);
    match line.get("code") {
        Some("no_server") if was_unreachable => Cause::Unreachable,
        Some("no_server") => Cause::NoServer,
        Some("cold") => Cause::Cold,
        Some("busy") => Cause::Full,
        Some("retry_budget") => Cause::Budget,
        Some("deadline") if may_have_run => Cause::ServerSilent,
        Some("deadline") => Cause::Deadline,
        Some("suspect") => Cause::Suspect,
        Some("quarantined") => Cause::Quarantined,
        Some("version_gone") => Cause::VersionGone,
        Some("version_unknown") => Cause::VersionUnknown,
        Some("backend_died" | "bad_answer") => Cause::ServerBroke,
        Some("backend_failed") => Cause::ServerFailed,
        _ => Cause::Router,
    }
}

fn rejected(line: &Line<'_>) -> Outcome {
    match line.get("code") {
        Some("not_ready" | "internal") => Outcome::Lost(Cause::Router),
        Some("no_server") => Outcome::Lost(Cause::NoServer),
        Some("busy") => Outcome::Lost(Cause::Full),
        Some("version_unknown") => Outcome::Lost(Cause::VersionUnknown),
        _ => Outcome::Rejected,
    }
}
