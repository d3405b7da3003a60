//! Crashes that strikes tell of, and those of them that were pauses.

use std::{collections::BTreeSet, time::Duration};

use recovery::{Crash, Moment, Strike};
use units::time::Instant;

/// The most crashes, and the most pauses, that are remembered.
const MAX_DEATHS: usize = 1024;
/// How long after its last report a crash may turn out to have been a pause: longer than sound
/// servers are silent.
const PAUSED_FOR: Duration = Duration::from_secs(10);

/// A server that is taken for dead.
#[derive(Clone, Copy, Debug)]
struct Death {
    crash: Crash,
    /// When the first request there was noticed to wait or to have broken off.
    signed_at: Moment,
    /// When it was last reported to have crashed.
    reported_at: Instant,
}

/// A server that was taken for dead and has responded since.
#[derive(Clone, Copy, Debug)]
struct Pause {
    crash: Crash,
    ended_at: Moment,
}

/// Tells pauses of servers from crashes.
///
/// A host that loses power and one that is silent for seconds look the same until the latter goes
/// on. Requests that may have crashed the server are not to wait for that: their strikes count at
/// once, and are taken back.
#[derive(Clone, Debug, Default)]
pub(super) struct Deaths {
    recent: Vec<Death>,
    pauses: Vec<Pause>,
}

impl Deaths {
    /// Records that a strike was reported. Returns whether that shows that a server that has paused
    /// has crashed since.
    pub(super) fn record(&mut self, strike: &Strike, now: Instant) -> bool {
        let ended_at = strike.interval.end;
        let mut pauses = self.pauses.iter();
        let known = pauses.position(|pause| pause.crash == strike.crash);
        if let Some(index) = known {
            if ended_at <= self.pauses[index].ended_at {
                return false;
            }
            self.pauses.remove(index);
        }
        let mut recent = self.recent.iter_mut();
        match recent.find(|death| death.crash == strike.crash) {
            Some(death) => {
                death.signed_at = death.signed_at.min(ended_at);
                death.reported_at = now;
            }
            None => self.push(strike, now),
        }
        known.is_some()
    }

    fn push(&mut self, strike: &Strike, now: Instant) {
        self.recent
            .retain(|death| now < death.reported_at + PAUSED_FOR);
        if self.recent.len() >= MAX_DEATHS {
            self.recent.remove(0);
        }
        self.recent.push(Death {
            crash: strike.crash,
            signed_at: strike.interval.end,
            reported_at: now,
        });
    }

    /// Records that a response on a connection from `connected_at` has begun at `at`. Returns
    /// whether that shows that the crash was a pause.
    pub(super) fn record_survival(
        &mut self,
        crash: Crash,
        connected_at: Instant,
        at: Instant,
    ) -> bool {
        let is_survived = |death: &Death| {
            death.crash == crash
                && Moment::from(connected_at) < death.signed_at
                && at > death.reported_at
                && at < death.reported_at + PAUSED_FOR
        };
        let Some(index) = self.recent.iter().position(is_survived) else {
            return false;
        };
        self.recent.remove(index);
        if self.pauses.len() >= MAX_DEATHS {
            self.pauses.remove(0);
        }
        self.pauses.push(Pause {
            crash,
            ended_at: at.into(),
        });
        true
    }

    /// The crashes that were pauses.
    pub(super) fn pauses(&self) -> BTreeSet<Crash> {
        self.pauses.iter().map(|pause| pause.crash).collect()
    }
}
