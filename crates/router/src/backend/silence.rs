//! What the checks of a backend server show while an attempt receives nothing.

use std::time::Duration;

use super::{
    PROGRESS_TIMEOUT,
    relay::{Check, Mode, Watchdog},
};

/// Number of successive checks without progress, with the server healthy in each
/// of them, after which the connection counts as stalled.
const MAX_HEALTHY_CHECKS: u32 = 2;
/// As [`MAX_HEALTHY_CHECKS`], for requests that cannot be retried. The limit is
/// higher, since a late response is better than none, but finite, so that the
/// caller does not have to wait until its deadline.
const MAX_HEALTHY_CHECKS_NO_RETRY: u32 = 3;
/// Delay between an unanswered check and the next one. It is shorter than
/// [`PROGRESS_TIMEOUT`], so that the end of a pause is noticed soon.
const UNANSWERED_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of successive unanswered checks after which an attempt moves to
/// another server, if it can. The server has then been silent for more than 4 s;
/// a sound server pauses for a second or so.
const MAX_UNANSWERED_CHECKS: u32 = 3;

/// Why an attempt is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// The connection stalled, while the server responds over a new one.
    Stalled,
    /// The server refuses or closes connections.
    Refused,
    /// The server does not respond for long, and another one can take the
    /// request.
    Hung,
}

/// The checks since the last progress of an attempt.
///
/// An unanswered check does not tell a pause of the server from its loss, so it
/// alone ends no attempt before the deadline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    /// Number of successive checks that found the server healthy.
    healthy: u32,
    /// Number of successive checks that were not answered.
    unanswered: u32,
}

impl Silence {
    /// The delay until the next check.
    pub fn check_interval(&self) -> Duration {
        if self.unanswered > 0 {
            UNANSWERED_CHECK_INTERVAL
        } else {
            PROGRESS_TIMEOUT
        }
    }

    /// Records the result of a check. Returns why the attempt is given up, if it
    /// is.
    pub fn record(&mut self, check: &Check, watchdog: &Watchdog) -> Option<Loss> {
        let (healthy, unanswered) = (self.healthy, self.unanswered);
        *self = Self::default();
        match check {
            Check::Resumed(_) => None,
            Check::Refused => Some(Loss::Refused),
            Check::Healthy => {
                self.healthy = healthy + 1;
                let is_stalled = self.healthy >= max_healthy_checks(watchdog.mode);
                is_stalled.then_some(Loss::Stalled)
            }
            Check::Unanswered => {
                self.unanswered = unanswered + 1;
                let is_hung = self.unanswered >= MAX_UNANSWERED_CHECKS;
                (watchdog.can_move && is_hung).then_some(Loss::Hung)
            }
        }
    }
}

fn max_healthy_checks(mode: Mode) -> u32 {
    match mode {
        Mode::Resume | Mode::Retry => MAX_HEALTHY_CHECKS,
        Mode::Wait => MAX_HEALTHY_CHECKS_NO_RETRY,
    }
}
