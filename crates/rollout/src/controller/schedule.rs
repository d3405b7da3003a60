//! When the stages of a roll-out begin and end.

use std::time::Duration;

use units::time::Instant;

use super::{COMPLETION_NOTICE, Controller, IDLE_TIME, SPREAD_TIME, View};
use crate::trial::PROMOTION_TIME;

/// The part of the duration that is left for a slow store, as a divisor.
const RESERVE_DIVISOR: u32 = 4;
/// The part of the duration for which the canary runs at least, as a divisor.
const MIN_CANARY_DIVISOR: u32 = 3;
/// The part of the duration before whose end a roll-out that cannot be completed is rolled
/// back, as a divisor.
const FINISH_DIVISOR: u32 = 10;
/// The same time for short roll-outs.
const MIN_FINISH_TIME: Duration = Duration::from_millis(1000);
/// The time before the end at which a promotion with more requests at old servers is rolled
/// back.
const LAST_CALL_TIME: Duration = Duration::from_millis(400);
/// The part of all requests in flight that may still run at old servers when the roll-out
/// has to finish, as a divisor.
const MAX_REMAINING_DIVISOR: u32 = 100;
/// The time before the last call in which no router completes a promotion with requests at old
/// servers, since others may already see too many of them.
const FINISH_MARGIN: Duration = Duration::from_millis(300);

impl Controller {
    /// When a promotion that is not completed is rolled back.
    pub(super) fn last_call_at(&self) -> Instant {
        self.began_at + self.duration().saturating_sub(LAST_CALL_TIME)
    }

    /// Whether so few requests run at old servers that stopping them harms fewer callers
    /// than rolling back.
    pub(super) fn may_stop_old_servers(&self, view: &View) -> bool {
        view.baseline_load.saturating_mul(MAX_REMAINING_DIVISOR) <= view.total_load
    }

    /// Whether the old servers may be stopped.
    pub(super) fn is_complete(&self, view: &View, now: Instant) -> bool {
        if view.is_serving {
            return true;
        }
        let has_spread = now >= self.stage_since + SPREAD_TIME;
        let is_idle = self
            .idle_since
            .is_some_and(|since| now >= since + IDLE_TIME);
        let finish_until = self.last_call_at() - FINISH_MARGIN;
        let is_finishing = (self.finish_at()..finish_until).contains(&now);
        let must_finish = is_finishing && self.may_stop_old_servers(view);
        has_spread && (is_idle || must_finish)
    }

    pub(super) fn duration(&self) -> Duration {
        self.order.duration.duration()
    }

    /// When a roll-out that cannot be completed is rolled back.
    pub(super) fn finish_at(&self) -> Instant {
        let reserve = (self.duration() / FINISH_DIVISOR).max(MIN_FINISH_TIME);
        self.began_at + self.duration().saturating_sub(reserve)
    }

    /// When the canary has run long enough. The rest of the time is for the requests in
    /// flight at the old servers and for a slow store.
    pub(super) fn promote_at(&self, view: &View) -> Instant {
        let drain = drain_time(view) + SPREAD_TIME;
        let reserve = self.duration() / RESERVE_DIVISOR + drain;
        let canary = self.duration().saturating_sub(reserve);
        self.began_at + canary.max(self.duration() / MIN_CANARY_DIVISOR)
    }

    /// When the version is promoted although too few requests have shown that it is sound.
    /// A later promotion could not be completed in time.
    pub(super) fn latest_promotion(&self, view: &View) -> Instant {
        (self.finish_at() - drain_time(view)).max(self.promote_at(view))
    }
}

/// The time from the start of a promotion until the old servers are known to be idle.
fn drain_time(view: &View) -> Duration {
    PROMOTION_TIME + view.longest_response.duration() + IDLE_TIME + COMPLETION_NOTICE
}
