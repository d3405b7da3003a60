//! What a server has reported of its load.

use std::time::Duration;

use load_report::{Belief, Report, Shared, Slowdown};
use units::time::{Instant, Millis};

use super::Server;

/// How long a report is passed on: two rounds, so that the loss of one message is made up for.
const SHARED_FOR: Duration = Duration::from_millis(400);
/// The change of a slowdown, in percent of the usual time, that other routers are told of.
/// Smaller ones do not change which server is best.
const MIN_CHANGE: u16 = 10;
/// The most requests that a report counts for, as a multiple of the slots. Servers queue up to
/// three times their slots.
const MAX_REPORTED_MULTIPLE: u32 = 4;

/// A slowdown that the server has reported to this router.
#[derive(Clone, Copy, Debug)]
struct OwnSpeed {
    slowdown: Slowdown,
    at: Instant,
    /// Whether it differed from what was believed before.
    is_news: bool,
}

/// The reports of one incarnation of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    belief: Belief,
    /// Requests of this router that were placed since the last report.
    placed: u32,
    own_speed: Option<OwnSpeed>,
}

/// A slowdown to be passed on, and whether it is news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Update {
    /// Whether the slowdown differs from what was believed before it.
    pub is_news: bool,
    /// The slowdown.
    pub shared: Shared,
}

/// The effect of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The report is of another incarnation or not the newest.
    Ignored,
    /// The slowdown is about the same as before.
    Confirmed,
    /// The slowdown has changed.
    Changed,
}

impl Reported {
    pub(super) fn new(incarnation: u64, valid_from: Instant) -> Self {
        Self {
            belief: Belief::new(incarnation, valid_from),
            placed: 0,
            own_speed: None,
        }
    }

    pub(super) fn placed(&mut self) {
        self.placed = self.placed.saturating_add(1);
    }

    fn effect_of(&self, before: Slowdown, now: Instant) -> Effect {
        if is_change(before, self.belief.slowdown(now)) {
            Effect::Changed
        } else {
            Effect::Confirmed
        }
    }
}

fn is_change(one: Slowdown, other: Slowdown) -> bool {
    one.percent().abs_diff(other.percent()) >= MIN_CHANGE
}

impl Server {
    /// Records what `incarnation` of the server has reported in a response.
    pub fn record_load_report(&mut self, incarnation: u64, report: Report, now: Instant) -> Effect {
        let reported = &mut self.reported;
        let before = reported.belief.slowdown(now);
        if !reported.belief.record(incarnation, report, now) {
            return Effect::Ignored;
        }
        reported.placed = 0;
        let effect = reported.effect_of(before, now);
        if let Some(slowdown) = report.slowdown {
            reported.own_speed = Some(OwnSpeed {
                slowdown,
                at: now,
                is_news: effect == Effect::Changed,
            });
        }
        effect
    }

    /// Records a slowdown that the server reported to another router at `at`.
    pub fn record_peer_slowdown(
        &mut self,
        slowdown: Slowdown,
        at: Instant,
        now: Instant,
    ) -> Effect {
        let reported = &mut self.reported;
        let before = reported.belief.slowdown(now);
        if !reported.belief.record_shared(slowdown, at) {
            return Effect::Ignored;
        }
        reported.effect_of(before, now)
    }

    /// Records a time to first byte. Returns whether the reported slowdown is ignored from now
    /// on, since measured times contradict it.
    pub(in crate::pool) fn record_time(
        &mut self,
        measured: Duration,
        expected: Duration,
        now: Instant,
    ) -> bool {
        self.reported.belief.record_time(measured, expected, now)
    }

    /// How long work takes at the server, as far as it is known.
    pub fn slowdown(&self, now: Instant) -> Slowdown {
        self.reported.belief.slowdown(now)
    }

    /// The age of the last reported slowdown, if it is known.
    pub fn slowdown_age(&self, now: Instant) -> Option<Duration> {
        let at = self.reported.belief.speed_at(now)?;
        Some(now.since(at))
    }

    /// The requests that the server reported as running and waiting.
    pub fn reported_requests(&self, now: Instant) -> u32 {
        self.reported.belief.requests(now)
    }

    /// The age of the last report to this router, if it is known.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        let at = self.reported.belief.requests_at(now)?;
        Some(now.since(at))
    }

    /// The requests in flight that are known from routers, or from the server and this router's
    /// requests since its report, whichever are more.
    pub fn expected_load(&self, now: Instant) -> u32 {
        let most = self.slots().saturating_mul(MAX_REPORTED_MULTIPLE);
        let reported = self.reported_requests(now).min(most);
        let placed = self.reported.placed.min(self.running);
        self.load().max(reported + placed)
    }

    /// The number of requests that the server may run concurrently at its present speed. A
    /// server that takes several times as long gets a proportionally smaller number.
    pub fn effective_slots(&self, now: Instant) -> u32 {
        self.slowdown(now).effective_slots(self.slots())
    }

    /// The slowdown that other routers are told of: one that was reported to this router a
    /// moment ago and is news, or which they would otherwise forget.
    pub fn slowdown_update(&self, now: Instant) -> Option<Update> {
        let own = self.reported.own_speed?;
        let age = now.since(own.at);
        let deviates = is_change(own.slowdown, Slowdown::NONE);
        (age <= SHARED_FOR && (own.is_news || deviates)).then(|| Update {
            is_news: own.is_news,
            shared: Shared {
                server: self.hash(),
                slowdown: own.slowdown,
                age: Millis::from(age),
            },
        })
    }
}
