//! What has room on a server at present, and when.

use units::{cost::Cost, request, time::Instant};

use super::{Ownership, Server};
use crate::Ticket;

/// The most workspaces over their share that others pass by.
const MAX_SKIPPED_WORKSPACES: usize = 16;

/// Overdue first tokens that may be the fault of a connection and not of the server.
const MAX_SLOW_ATTEMPTS: usize = 1;

/// Whether there is room for a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Capacity {
    /// There is.
    Available,
    /// There is none for anyone like it.
    Full,
    /// The last slots are kept for workspaces below their share.
    OverShare,
}

/// What the queue has to offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextQueued {
    /// Nothing, or only tickets of workspaces over their share.
    None,
    /// A ticket that there is no room for. It is not passed by cheaper ones.
    Blocked,
    /// A ticket that may run now.
    Ready(request::Attempt),
}

impl Server {
    /// The last instant at which starting the ticket makes sense.
    pub(super) fn latest_start(&self, ticket: &Ticket, now: Instant) -> Instant {
        let left = ticket.deadline.since(now);
        let max_wait = left.mul_f64(self.settings.max_wait_share);
        if !self.run_times.has_samples() {
            return now + max_wait;
        }
        let by_run_time = ticket.deadline - self.run_times.run_time(ticket.cost);
        by_run_time.min(now + max_wait)
    }

    /// When a ticket starts that has to wait for the cost ahead of it.
    pub(super) fn estimated_start(&self, ahead: Cost, now: Instant) -> Instant {
        let remaining = Cost(self.running_cost.0 / 2);
        now + self
            .run_times
            .drain_time(ahead + self.suspects.cost() + remaining, self.slots(now))
    }

    /// When a ticket offered now starts, by what its workspace gets.
    pub(super) fn estimated_fair_start(&self, ticket: &Ticket, now: Instant) -> Instant {
        let ahead = self.queue.cost_ahead(&ticket.workspace, ticket.priority);
        let estimated_start = self.estimated_start(ahead, now);
        let allowed = self.allowed(now);
        if !self.is_over_share(ticket, allowed, now) {
            return estimated_start;
        }
        // It gets about as many slots as it has now, whatever is free besides.
        let own = self.queue.cost_of(&ticket.workspace);
        let slots = self.shares.in_flight(&ticket.workspace);
        estimated_start.max(now + self.run_times.drain_time(own, slots))
    }

    pub(super) fn slots(&self, now: Instant) -> u32 {
        let allowed = self.allowed(now);
        allowed.saturating_sub(self.load.foreign(now)).max(1)
    }

    /// The most requests that the server may carry at present.
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

    /// Whether there is room for a ticket.
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

    /// The ticket of the queue that is served next.
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

    /// The most requests beside which a workspace over its share gets a slot.
    ///
    /// The slots that it leaves free are taken off the limit and not off the
    /// bound: the bound follows the mean load, and leaving free a part of it
    /// would lower the mean, and with it the bound, again and again.
    fn over_share_limit(&self) -> u32 {
        let limit = self.limit.get(&self.settings);
        limit - limit.checked_div(self.settings.headroom).unwrap_or(0)
    }

    /// Whether it is doubtful that the server is still warm: a first token is
    /// overdue, or the last one was, and no later attempt has overtaken it.
    /// Then one request goes out to see, and no more until its first token comes.
    ///
    /// A server that turned cold without a warning shows it first by that. Until
    /// the delay is long enough to be sure, the limit of the warm server would
    /// let in many more than a cold one bears. If only a connection went silent,
    /// the next request is answered in time and ends the doubt.
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

    /// The cost on the server; requests of others are taken to cost as much as own ones.
    fn total_cost(&self, fallback: Cost, now: Instant) -> Cost {
        let own = u64::from(self.load.own());
        let mean = self.running_cost.0.checked_div(own).unwrap_or(fallback.0);
        self.running_cost + Cost(mean.saturating_mul(u64::from(self.load.foreign(now))))
    }
}
