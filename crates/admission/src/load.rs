//! Load of one backend server: requests of this router and of other routers.

use std::collections::VecDeque;

use units::time::Instant;

use crate::{Report, Settings};

/// Number of own requests in flight that was valid until an instant.
#[derive(Clone, Copy, Debug)]
struct PastLoad {
    until: Instant,
    own: u32,
}

/// Sliding-window extreme (maximum or minimum) of the own load, as a monotonic
/// queue.
///
/// Each entry is closer to the current load than the one before it, so the
/// number of entries is at most the highest load.
#[derive(Clone, Debug, Default)]
struct ExtremeWindow(VecDeque<PastLoad>);

impl ExtremeWindow {
    /// Adds the load that has just changed and removes the entries that it `supersedes`.
    fn push(&mut self, past: PastLoad, supersedes: impl Fn(u32) -> bool) {
        while self.0.back().is_some_and(|last| supersedes(last.own)) {
            self.0.pop_back();
        }
        self.0.push_back(past);
    }

    /// The extreme since `oldest`, or `None` if only the current load falls in the window.
    fn extreme(&mut self, oldest: Instant) -> Option<u32> {
        while self.0.front().is_some_and(|past| past.until < oldest) {
            self.0.pop_front();
        }
        self.0.front().map(|past| past.own)
    }
}

/// Requests on a backend server: own ones, sent by this router, and foreign
/// ones, sent by other routers.
///
/// A load report gives the number of requests at some instant within the report
/// lag, own ones included. Adding the own requests to it would count them twice;
/// taking the maximum of both would count requests that have finished since. The
/// number of foreign requests is therefore the reported number minus the highest
/// number of own requests within the report lag.
///
/// This underestimates when the own load has just grown, which matters after a
/// change of owner: requests of the earlier owner still run while the new owner
/// fills the server. Inherited requests can only decrease, so they are counted
/// until a report shows that fewer are left, whatever the lag of that report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Load {
    own: u32,
    peaks: ExtremeWindow,
    troughs: ExtremeWindow,
    foreign: u32,
    /// Upper bound on the requests of an earlier owner that still run.
    inherited: u32,
    /// From this instant on, reports cover only the time after the handover.
    inherited_until: Instant,
    foreign_until: Instant,
}

impl Load {
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Foreign requests, or zero once the last report has expired.
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

    /// When the last report expires, if it showed foreign requests.
    pub fn expires_at(&self) -> Option<Instant> {
        (self.foreign > 0).then_some(self.foreign_until)
    }

    /// Discards the foreign requests once the last report has expired.
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

    /// Updates the foreign load from a report. During a takeover (`is_takeover`),
    /// an earlier owner may still admit requests.
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

    /// Sets the number of requests of the earlier owner that still run, as given
    /// in its handover.
    pub fn inherit(&mut self, in_flight: u32, settings: &Settings, now: Instant) {
        self.inherited = in_flight;
        self.inherited_until = now + settings.report_lag;
        self.foreign = in_flight;
        self.foreign_until = now + settings.report_expiry;
    }
}
