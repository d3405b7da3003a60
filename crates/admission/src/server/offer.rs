//! What becomes of an offered ticket.

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

    /// Admits or queues a ticket that passed the check.
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
        // An idle server takes even what seems hopeless: an estimate that is
        // too high would otherwise refuse everything and never be corrected.
        if waiting.latest_start <= now && !self.running.is_empty() {
            let message = "The request would not be finished by its deadline.";
            return Decision::Refused(Refusal::not_run(Code::Deadline, message));
        }
        let suspect = waiting.ticket.standing == Standing::Suspect;
        // What waits has no room, or it would have been admitted before. A
        // ticket may pass those that their own share holds back, but no others.
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

    /// Queues a ticket, if it is likely to start in time and there is space.
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

    /// Makes space in the queue at the expense of the workspace that has most of it.
    ///
    /// A surge would otherwise fill the queue and shut out the others.
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

    /// The refusal of a ticket that waited and will not start in time.
    pub(super) fn missed_start_refusal(&self, waiting: &Waiting, now: Instant) -> Refusal {
        let drained_at = self.estimated_start(self.queue.cost(), now);
        self.busy_refusal(waiting.ticket.attempt, drained_at, now, now)
    }

    /// A refusal that says to come back when a ticket like this one would be
    /// taken, spread over a quarter more time so that callers do not return in one wave.
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
