//! Decides when a request leaves a backend server that is silent.

use std::{fmt, time::Duration};

use units::time::{Instant, Millis};

/// The time without a byte after which a request may leave its server, as a multiple of the route's
/// target.
const MAX_SILENCE_TARGETS: u32 = 3;
/// How long a server may be silent on all connections until its requests may also be sent
/// elsewhere. Sound servers fall silent for about a second and go on.
const HANG_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time from a server's response to a check until one of its requests leaves it: a server that
/// goes on after a pause responds to the check before it writes the rest of its streams.
const GRACE: Duration = Duration::from_millis(100);
/// The interval between two checks of a server, and between two attempts to leave it.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of a check.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a server that responds to checks is kept after the request was sent to another one that
/// responds to checks as well: both may be working on it.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Since when a server has sent a request nothing, and until when it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// When it began: at the last byte, or when the request was sent.
    pub since: Instant,
    /// When the next bytes were due. A server that pauses goes on with them after the pause.
    pub due_at: Instant,
    /// The earliest instant at which the request may leave the server.
    pub leave_at: Instant,
}

/// When a request may leave a server that is silent since `silent_since`, by the route's target and
/// the least time without a byte.
pub fn leave_at(silent_since: Instant, target: Millis, min_silence: Duration) -> Instant {
    silent_since + (target.duration() * MAX_SILENCE_TARGETS).max(min_silence)
}

/// What a check of a server on a new connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It responds. A request that is silent hangs, or its connection is lost.
    Responds,
    /// It responds, after it did not for some time.
    Resumed,
    /// It refuses connections.
    Refuses,
    /// It does not respond. It may have paused.
    Silent,
}

impl Health {
    /// The name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Responds => "responds",
            Self::Resumed => "resumed",
            Self::Refuses => "refuses",
            Self::Silent => "silent",
        }
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a request leaves a silent server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The server responded to all checks: the request hangs, or its connection is lost.
    Request,
    /// The server was silent on new connections, too: it or the path to it paused.
    Pause,
}

/// What to do about a silent server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for it until this instant.
    Wait(Instant),
    /// Check it on a new connection.
    Check,
    /// Send the request to another server as well.
    Leave(Overlap),
}

/// How long a request stays at two servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlap {
    /// For [`MAX_OVERLAP`] at most.
    Brief,
    /// Until one of them has responded.
    UntilResponse,
}

/// Watches one request at a server that is silent.
///
/// Silence alone does not tell a paused server, which will go on, from a lost connection or a
/// server that hangs. Checks do: a request leaves a server that responds to them, and one that
/// does not only after the hang timeout.
#[derive(Clone, Debug)]
pub struct Watch {
    silence: Silence,
    /// When the last check is outdated.
    check_at: Instant,
    /// The earliest instant at which the request leaves a server that responds.
    leave_at: Instant,
    /// The earliest instant at which it leaves one that does not.
    hang_at: Instant,
    health: Option<Health>,
    has_checked: bool,
    cause: Cause,
}

impl Watch {
    /// Watches a request whose server is silent.
    pub fn new(silence: Silence, deadline: Instant) -> Self {
        let Silence {
            since,
            due_at,
            leave_at,
        } = silence;
        let half_remaining = deadline.since(since) / 2;
        let hang_timeout = due_at.since(since) + HANG_TIMEOUT;
        let patience = leave_at.since(since);
        Self {
            silence,
            check_at: since + patience.saturating_sub(GRACE),
            leave_at,
            hang_at: leave_at.max(since + hang_timeout.min(half_remaining)),
            health: None,
            has_checked: false,
            cause: Cause::Request,
        }
    }

    /// What to do at `now`.
    pub fn step(&self, now: Instant) -> Step {
        match self.health {
            Some(Health::Refuses) if now >= self.leave_at => Step::Leave(Overlap::UntilResponse),
            Some(Health::Silent) if now >= self.hang_at => Step::Leave(Overlap::UntilResponse),
            // A check that ends later would hold the request up.
            Some(Health::Silent) if now + CHECK_TIMEOUT > self.hang_at => Step::Wait(self.hang_at),
            _ if now >= self.check_at => Step::Check,
            Some(Health::Responds) if now >= self.leave_at => Step::Leave(Overlap::Brief),
            Some(Health::Responds | Health::Refuses) => {
                Step::Wait(self.check_at.min(self.leave_at))
            }
            Some(Health::Silent | Health::Resumed) | None => Step::Wait(self.check_at),
        }
    }

    /// Records the result of a check.
    pub fn checked(&mut self, health: Health, now: Instant) {
        // A server that always responds late does not pause.
        let is_slow = health == Health::Resumed && self.health == Some(Health::Resumed);
        let has_paused = self.health == Some(Health::Silent);
        let health = match health {
            Health::Resumed if is_slow => Health::Responds,
            Health::Responds if has_paused => Health::Resumed,
            other => other,
        };
        self.health = Some(health);
        self.has_checked = true;
        self.check_at = now + CHECK_INTERVAL;
        match health {
            Health::Responds => self.leave_at = self.leave_at.max(now + GRACE),
            Health::Resumed => {
                let gap = self.silence.due_at.since(self.silence.since);
                self.leave_at = self.leave_at.max(now + gap + GRACE);
                self.cause = Cause::Pause;
            }
            Health::Refuses | Health::Silent => self.cause = Cause::Pause,
        }
    }

    /// Records that no other server takes the request.
    pub fn stay(&mut self, now: Instant) {
        let retry_at = now + CHECK_INTERVAL;
        self.check_at = self.check_at.min(now + (CHECK_INTERVAL - GRACE));
        self.leave_at = self.leave_at.max(retry_at);
        self.hang_at = self.hang_at.max(retry_at);
    }

    /// The result of the last check.
    pub fn health(&self) -> Option<Health> {
        self.health
    }

    /// Why the request leaves the server, if it does.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// Whether the server has been checked.
    pub fn has_checked(&self) -> bool {
        self.has_checked
    }
}
