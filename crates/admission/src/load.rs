//! The load of one backend server: own requests and what it reports.

use std::collections::VecDeque;

use units::time::Instant;

use crate::{Report, Settings};

/// An own load that held until an instant.
#[derive(Clone, Copy, Debug)]
struct PastLoad {
    until: Instant,
    own: u32,
}

/// Own loads of late that may be the extreme of a window up to now.
///
/// Each is nearer to the present load than the one before, so there are at
/// most as many as the highest load.
#[derive(Clone, Debug, Default)]
struct ExtremeWindow(VecDeque<PastLoad>);

impl ExtremeWindow {
    /// Adds a load that has just ended and drops those that it `supersedes`.
    fn push(&mut self, past: PastLoad, supersedes: impl Fn(u32) -> bool) {
        while self.0.back().is_some_and(|last| supersedes(last.own)) {
            self.0.pop_back();
        }
        self.0.push_back(past);
    }

    /// The extreme since `oldest`, if it is not the present load.
    fn extreme(&mut self, oldest: Instant) -> Option<u32> {
        while self.0.front().is_some_and(|past| past.until < oldest) {
            self.0.pop_front();
        }
        self.0.front().map(|past| past.own)
    }
}

/// Requests on a backend server, own ones and those of other routers.
///
/// A report says how many requests the server had a moment ago, own ones
/// included. Adding the own ones would count them twice; taking the larger of
/// both would count those that have finished since. So the requests of others
/// are the reported ones less the most own ones within the report's lag.
///
/// That is too few when the own load has just grown. After a change of owner
/// the difference matters: the requests of the earlier owner still run, and the
/// new one fills up beside them. Those can only become fewer, so they count
/// until a report shows that fewer are left whatever its lag.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    own: u32,
    peaks: ExtremeWindow,
    troughs: ExtremeWindow,
    foreign: u32,
    /// The most requests that an earlier owner may have left.
    inherited: u32,
    /// When reports show what happened after the hand-over.
    inherited_until: Instant,
    foreign_until: Instant,
}

impl Load {
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests of others, as far as the last report still counts.
    pub fn foreign(&self, now: Instant) -> u32 {
        if now < self.foreign_until {
            self.foreign
        } else {
            0
        }
    }

    /// All requests on the server.
    pub fn total(&self, now: Instant) -> u32 {
        self.own.saturating_add(self.foreign(now))
    }

    /// When the last report ceases to count, if it counts anything.
    pub fn expires_at(&self) -> Option<Instant> {
        (self.foreign > 0).then_some(self.foreign_until)
    }

    /// Lets the last report cease to count.
    pub fn expire(&mut self, now: Instant) {
        if now >= self.foreign_until {
            self.foreign = 0;
            self.inherited = 0;
        }
    }

    pub fn add(&mut self, now: Instant) {
        let past = PastLoad {
            until: now,
            own: self.own,
        };
        self.troughs.push(past, |last| last >= past.own);
        self.own += 1;
    }

    pub fn remove(&mut self, now: Instant) {
        let past = PastLoad {
            until: now,
            own: self.own,
        };
        self.peaks.push(past, |last| last <= past.own);
        self.own = self.own.saturating_sub(1);
    }

    /// Takes in a report. While an earlier owner may still admit, `is_takeover`.
    pub fn report(
        &mut self,
        report: &Report,
        is_takeover: bool,
        settings: &Settings,
        now: Instant,
    ) {
        let oldest = now - settings.report_lag;
        let peak = self.peaks.extreme(oldest).unwrap_or(0).max(self.own);
        let trough = self.troughs.extreme(oldest).unwrap_or(u32::MAX);
        let reported = report.running.saturating_add(report.waiting);
        let min_foreign = reported.saturating_sub(peak);
        let max_foreign = reported.saturating_sub(trough.min(self.own));
        if is_takeover {
            self.inherited = max_foreign;
        } else if now >= self.inherited_until {
            self.inherited = max_foreign.min(self.inherited);
        }
        self.foreign = min_foreign.max(self.inherited);
        self.foreign_until = now + settings.report_expiry;
    }

    /// Requests of an earlier owner that still run.
    pub fn inherit(&mut self, in_flight: u32, settings: &Settings, now: Instant) {
        self.inherited = in_flight;
        self.inherited_until = now + settings.report_lag;
        self.foreign = in_flight;
        self.foreign_until = now + settings.report_expiry;
    }
}
