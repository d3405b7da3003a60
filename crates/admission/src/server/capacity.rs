//! Current capacity of a server for tickets, and estimated start times.

use units::{cost::Cost, request, time::Instant};

use super::{Ownership, Server};
use crate::Ticket;

/// Maximum number of workspaces over their share that are skipped in the queue
/// when looking for a ticket that may run.
const MAX_SKIPPED_WORKSPACES: usize = 16;

/// Number of slow first tokens that may be due to a stalled connection rather than
/// to the server.
const MAX_SLOW_ATTEMPTS: usize = 1;

/// Whether a server has capacity for a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Capacity {
    /// The ticket may run now.
    Available,
    /// No slot is free, the cost would exceed the bound, or the server may be cold.
    Full,
    /// The remaining slots are reserved for workspaces below their share.
    OverShare,
}

/// The ticket that the regular queue serves next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextQueued {
    /// No ticket, or only tickets of workspaces over their share.
    None,
    /// There is no capacity for the first ticket. Cheaper tickets do not overtake it.
    Blocked,
    /// The ticket of this attempt may run now.
    Ready(request::Attempt),
}

impl Server {
    /// Latest instant at which the request may be started: bounded by its deadline
    /// minus the expected run time, and by the maximum time in the queue.
    pub(super) fn latest_start(&self, ticket: &Ticket, now: Instant) -> Instant {
        let left = ticket.deadline.since(now);
        let max_wait = left.mul_f64(self.settings.max_wait_share);
        if !self.run_times.has_samples() {
            return now + max_wait;
        }
        let by_run_time = ticket.deadline - self.run_times.run_time(ticket.cost);
        by_run_time.min(now + max_wait)
    }

    /// Estimated start of a ticket that waits for the cost `ahead` of it.
    pub(super) fn estimated_start(&self, ahead: Cost, now: Instant) -> Instant {
        let remaining = Cost(self.running_cost.0 / 2);
        now + self
            .run_times
            .drain_time(ahead + self.suspects.cost() + remaining, self.slots(now))
    }

    /// Estimated start of a ticket offered now, given the share of its workspace.
    pub(super) fn estimated_fair_start(&self, ticket: &Ticket, now: Instant) -> Instant {
        let ahead = self.queue.cost_ahead(&ticket.workspace, ticket.priority);
        let estimated_start = self.estimated_start(ahead, now);
        let allowed = self.allowed(now);
        if !self.is_over_share(ticket, allowed, now) {
            return estimated_start;
        }
        // A workspace over its share keeps about its current number of slots, even
        // if others are free.
        let own = self.queue.cost_of(&ticket.workspace);
        let slots = self.shares.in_flight(&ticket.workspace);
        estimated_start.max(now + self.run_times.drain_time(own, slots))
    }

    pub(super) fn slots(&self, now: Instant) -> u32 {
        let allowed = self.allowed(now);
        allowed.saturating_sub(self.load.foreign(now)).max(1)
    }

    /// Maximum requests that the server may carry now.
    pub(super) fn allowed(&self, now: Instant) -> u32 {
        let limit = self.limit.get(&self.settings);
        let bound = self.max_requests();
        let share = self.takeover_share(bound);
        match self.ownership {
            Ownership::Stopped => 0,
            Ownership::Settled => limit.min(bound - share),
            Ownership::Takeover(_) => {
                let foreign = self.load.foreign(now);
                let spare = self.takeover_share(foreign).min(share).min(limit);
                (foreign + spare).min(bound)
            }
        }
    }

    fn max_requests(&self) -> u32 {
        let most = self.settings.max_concurrency;
        self.bound
            .requests
            .map_or(most, |bound| bound.min(most))
            .max(1)
    }

    fn takeover_share(&self, requests: u32) -> u32 {
        requests
            .checked_div(self.settings.takeover_share)
            .unwrap_or(0)
    }

    pub(super) fn is_in_use(&self, now: Instant) -> bool {
        self.load.total(now).saturating_mul(2) > self.allowed(now)
    }

    /// Whether the server has capacity for the ticket now.
    pub(super) fn capacity(&self, ticket: &Ticket, now: Instant) -> Capacity {
        let total = self.load.total(now);
        let allowed = self.allowed(now);
        if total >= allowed || self.is_in_doubt() {
            return Capacity::Full;
        }
        if let Some(bound) = self.bound.cost
            && total > 0
            && self.total_cost(ticket.cost, now) + ticket.cost > bound
        {
            return Capacity::Full;
        }
        if self.is_over_share(ticket, allowed, now) && total >= self.over_share_limit() {
            return Capacity::OverShare;
        }
        Capacity::Available
    }

    /// The ticket that the regular queue serves next.
    pub(super) fn next_queued(&self, now: Instant) -> NextQueued {
        for waiting in self.queue.heads().take(MAX_SKIPPED_WORKSPACES) {
            match self.capacity(&waiting.ticket, now) {
                Capacity::Available => return NextQueued::Ready(waiting.ticket.attempt),
                Capacity::Full => return NextQueued::Blocked,
                Capacity::OverShare => {}
            }
        }
        NextQueued::None
    }

    fn is_over_share(&self, ticket: &Ticket, allowed: u32, now: Instant) -> bool {
        let shares = &self.shares;
        shares.is_over_share(&ticket.workspace, allowed, &self.settings, now)
    }

    /// Number of requests on the server from which a workspace over its share gets
    /// no further slot.
    ///
    /// The reserved slots are subtracted from the limit and not from the bound.
    /// The bound follows the mean load of the pool: leaving a part of it free would
    /// lower the mean load, and with it the bound, in a feedback loop.
    fn over_share_limit(&self) -> u32 {
        let limit = self.limit.get(&self.settings);
        limit - limit.checked_div(self.settings.headroom).unwrap_or(0)
    }

    /// Whether the server may have turned cold: a first token is slow, or the last
    /// one was late or a spike, and no later attempt has had its first token on
    /// time. In this state one request is admitted as a probe, and no others
    /// until its first token arrives.
    ///
    /// A slow first token is the first sign of a server that turned cold without
    /// notice. Until the delay is long enough to confirm it, the limit of the warm
    /// server would admit many more requests than the cold server can handle. If
    /// only a connection has stalled, the probe is answered in time and ends this
    /// state.
    pub(super) fn is_in_doubt(&self) -> bool {
        let is_newest = |attempt: &request::Attempt| {
            let running = self.running.get(attempt);
            running.is_some_and(|running| running.admitted_at >= self.last_on_time_admission)
        };
        let slow_check_pending = self
            .slow_timers
            .iter()
            .any(|(_, attempt)| is_newest(attempt));
        let slow_count = self
            .slow_attempts
            .iter()
            .filter(|attempt| is_newest(attempt))
            .count();
        let has_recent_delay = slow_count > 0 || self.limit.has_recent_delay();
        self.observes_first_tokens
            && (slow_count > MAX_SLOW_ATTEMPTS || (slow_check_pending && has_recent_delay))
    }

    /// Cost in flight on the server. Foreign requests are assumed to cost as much as
    /// the mean own request.
    fn total_cost(&self, fallback: Cost, now: Instant) -> Cost {
        let own = u64::from(self.load.own());
        let mean = self.running_cost.0.checked_div(own).unwrap_or(fallback.0);
        self.running_cost + Cost(mean.saturating_mul(u64::from(self.load.foreign(now))))
    }
}
