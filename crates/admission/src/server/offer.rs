//! Decision on an offered ticket: admit, queue or refuse.

use units::{request, time::Instant, workspace};
use verdict::{Code, Refusal};

use super::{
    Ownership, Server,
    capacity::{Capacity, NextQueued},
};
use crate::{Action, Actions, Decision, Standing, Ticket, queue::Waiting};

impl Server {
    pub(super) fn validate(&self, ticket: &Ticket, now: Instant) -> Result<(), Refusal> {
        if self.ownership == Ownership::Stopped {
            return Err(moved_refusal());
        }
        if now >= ticket.deadline {
            return Err(Refusal::not_run(Code::Deadline, "The deadline has passed."));
        }
        if self.running.contains_key(&ticket.attempt)
            || self.queue.contains(ticket.attempt)
            || self.suspects.contains(ticket.attempt)
        {
            return Err(Refusal::not_run(
                Code::Internal,
                "An attempt of this name is present.",
            ));
        }
        Ok(())
    }

    /// Admits or queues a validated ticket, or refuses it.
    pub(super) fn admit_or_queue(
        &mut self,
        ticket: Ticket,
        others: &mut Actions,
        now: Instant,
    ) -> Decision {
        let waiting = Waiting {
            latest_start: self.latest_start(&ticket, now),
            ticket,
        };
        // An idle server also admits requests that are estimated to miss their
        // deadline. Otherwise an estimate that is too high would refuse all
        // requests and never be corrected by a completed one.
        if waiting.latest_start <= now && !self.running.is_empty() {
            let message = "The request would not be finished by its deadline.";
            return Decision::Refused(Refusal::not_run(Code::Deadline, message));
        }
        let suspect = waiting.ticket.standing == Standing::Suspect;
        // Tickets are queued only while there is no capacity for them. A new ticket
        // may overtake those held back because their workspace is over its share,
        // but no others.
        let is_next = self.next_queued(now) == NextQueued::None
            && self.suspects.may_bypass(waiting.ticket.standing);
        if is_next && self.capacity(&waiting.ticket, now) == Capacity::Available {
            if self.running.is_empty() {
                self.queue.forget_charges();
            }
            self.queue
                .charge(&waiting.ticket.workspace, waiting.ticket.cost);
            if suspect {
                self.suspects.start(waiting.ticket.attempt);
            }
            self.admit(&waiting.ticket, now);
            return Decision::Admitted;
        }
        match self.enqueue(waiting, others, now) {
            Ok(()) => Decision::Queued,
            Err(refusal) => Decision::Refused(refusal),
        }
    }

    /// Queues a ticket if it is expected to start in time and the queue has space.
    fn enqueue(
        &mut self,
        waiting: Waiting,
        others: &mut Actions,
        now: Instant,
    ) -> Result<(), Refusal> {
        let ticket = &waiting.ticket;
        let estimated_start = self.estimated_fair_start(ticket, now);
        if estimated_start > waiting.latest_start {
            return Err(self.busy_refusal(
                ticket.attempt,
                estimated_start,
                waiting.latest_start,
                now,
            ));
        }
        if ticket.standing == Standing::Suspect {
            if self.suspects.len() >= self.settings.max_queued_suspects {
                return Err(self.busy_refusal(ticket.attempt, estimated_start, now, now));
            }
            self.suspects.push(waiting);
            return Ok(());
        }
        self.make_space(&ticket.workspace, ticket.attempt, others, now)?;
        self.queue.push(waiting, self.settings.priority_step, now);
        Ok(())
    }

    /// Makes space in a full queue by refusing a ticket of the workspace with the
    /// most queued tickets.
    ///
    /// Otherwise a surge of one workspace would fill the queue and lock out the
    /// others.
    fn make_space(
        &mut self,
        workspace: &workspace::Id,
        attempt: request::Attempt,
        others: &mut Actions,
        now: Instant,
    ) -> Result<(), Refusal> {
        let drained_at = self.estimated_start(self.queue.cost(), now);
        if self.queue.len_of(workspace) >= self.settings.max_queued_per_workspace {
            return Err(self.busy_refusal(attempt, drained_at, now, now));
        }
        if self.queue.len() < self.settings.max_queued {
            return Ok(());
        }
        let Some(displaced) = self.queue.pop_from_longest(workspace) else {
            return Err(self.busy_refusal(attempt, drained_at, now, now));
        };
        let refusal = self.busy_refusal(displaced.ticket.attempt, drained_at, now, now);
        others.push(Action::Refuse(displaced.ticket.attempt, refusal));
        Ok(())
    }

    /// Refusal of a queued ticket that will not start in time.
    pub(super) fn missed_start_refusal(&self, waiting: &Waiting, now: Instant) -> Refusal {
        let drained_at = self.estimated_start(self.queue.cost(), now);
        self.busy_refusal(waiting.ticket.attempt, drained_at, now, now)
    }

    /// Refusal with the time at which a similar ticket is expected to be accepted,
    /// plus a jitter of up to a quarter of the wait, so that callers do not all
    /// retry at the same time.
    fn busy_refusal(
        &self,
        attempt: request::Attempt,
        estimated_start: Instant,
        latest_start: Instant,
        now: Instant,
    ) -> Refusal {
        let wait = estimated_start.since(latest_start);
        let spread = wait.mul_f64((attempt.0 % 256) as f64 / 1024.0);
        let message = "The backend server is at its limit.";
        Refusal::not_run(Code::Busy, message).retry_at(now + wait + spread)
    }
}

pub(super) fn moved_refusal() -> Refusal {
    Refusal::not_run(
        Code::Moved,
        "The backend server takes no new requests here.",
    )
}
