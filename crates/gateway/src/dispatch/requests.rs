//! Requests from their placement at a server to their end.

use std::time::Duration;

use units::{pool, request, time::Instant};

use super::{AcquireRequest, Dispatch, Permit, Refusal, Reply, ResponseProgress, Ticket};
use crate::{
    parts,
    pool::{Outcome, Part, Placement, Standing},
    prefixes,
    queue::{self, Admission},
    retry_budget,
};

impl Dispatch {
    pub(super) fn acquire(&mut self, mut request: AcquireRequest, reply: Reply, now: Instant) {
        if self.crashes.is_refused(request.fingerprint, now) {
            send_reply(reply, Err(Refusal::Suspect));
            return;
        }
        self.acquisitions += 1;
        if self.is_quarantined(&request, now) {
            send_reply(reply, Err(Refusal::Quarantined));
            return;
        }
        if request.is_retry && !self.withdraw_retry(&request.pool, now) {
            send_reply(reply, Err(Refusal::RetryBudget));
            return;
        }
        if let Some(retry_at) = self.no_path_until(&request, now) {
            self.refuse(&request, reply, Refusal::NoPath(retry_at), now);
            return;
        }
        self.exclude_unreached(&mut request);
        request.demand.preference = self.rollouts.preference(&request, now);
        let Some(queue) = self.queues.get_mut(&request.pool) else {
            self.refuse(&request, reply, Refusal::Unknown, now);
            return;
        };
        self.attempts += 1;
        request.demand.request = footprint::Request(self.attempts);
        // The rest of the time is left for finding a server beside others that wait.
        let wait = request.latest_start.since(now) * 3 / 4;
        request.demand.deferrable_until = now + wait;
        let queue_request = queue::Request {
            attempt: request::Attempt(self.attempts),
            workspace: request.workspace.clone(),
            cost: request.cost,
            rank: request.rank,
            latest_start: request.latest_start,
            demand: request.demand.clone(),
        };
        let attempt = queue_request.attempt;
        match queue.submit(queue_request, &self.fleet, now) {
            Admission::Placed(placement) => {
                let permit = self.permit(request, *placement, now);
                send_reply(reply, Ok(permit));
            }
            Admission::Refused(refusal) => {
                self.refuse(&request, reply, Refusal::Denied(refusal), now);
            }
            Admission::Queued => {
                // A request that waits for its turn to be read must not hold back an urgent one of
                // its workspace.
                let is_urgent = request.demand.route_rank == 0 && self.settings.bounds.is_contended;
                let pool = request.pool.clone();
                self.pending.insert(attempt, (request, reply));
                if is_urgent {
                    self.dequeue(&pool);
                }
            }
        }
    }

    /// Refuses a request that nothing was sent of.
    pub(super) fn refuse(
        &mut self,
        request: &AcquireRequest,
        reply: Reply,
        refusal: Refusal,
        now: Instant,
    ) {
        self.refund_retry(&request.pool, request.is_retry, now);
        self.record_contention(request, refusal, now);
        send_reply(reply, Err(refusal));
    }

    /// Gives the retry back of a request that was not sent.
    fn refund_retry(&mut self, pool: &pool::Id, is_retry: bool, now: Instant) {
        if is_retry {
            self.retry_budget(pool, now).refund();
        }
    }

    /// Takes a retry from this router's share of the retry budget.
    fn withdraw_retry(&mut self, pool: &pool::Id, now: Instant) -> bool {
        let members = self.fleet.members.len();
        // A router that has not registered does not know its share.
        members > 0 && self.retry_budget(pool, now).withdraw(members, now)
    }

    fn retry_budget(&mut self, pool: &pool::Id, now: Instant) -> &mut retry_budget::Budget {
        let members = self.fleet.members.len();
        let allowance = self.settings.bounds.retries;
        let retry_budget = || retry_budget::Budget::new(allowance, members, now);
        self.retry_budgets
            .entry(pool.clone())
            .or_insert_with(retry_budget)
    }

    fn permit(
        &mut self,
        request: AcquireRequest,
        mut placement: Placement,
        now: Instant,
    ) -> Permit {
        self.choose_path(&request.pool, &mut placement, now);
        self.log_placed(&request, &placement, now);
        if !request.is_retry {
            let members = self.fleet.members.len();
            self.retry_budget(&request.pool, now).deposit(members);
        }
        if placement.is_throttled {
            self.metrics.sent_while_throttled();
        }
        let trial = self.rollouts.admitted(&request, &placement, now);
        let is_part_trial = self.part_trial == Some(request.fingerprint);
        if is_part_trial {
            self.part_trial = None;
        }
        let ticket = Ticket {
            trial,
            is_part_trial,
            is_retry: request.is_retry,
            has_failed: false,
            has_succeeded: false,
            server: placement.server.clone(),
            incarnation: placement.incarnation,
            uncached: placement.uncached,
            request: request.demand.request,
            shared_parts: parts::shared(&request.pool, &request.demand.parts),
            parts: request.demand.parts,
            pool: request.pool,
            workspace: request.workspace,
            fingerprint: request.fingerprint,
            sent_at: now,
            connected_at: None,
            connect_deadline: placement.connect_deadline,
            egress: placement.path.egress().map(|egress| egress.host.clone()),
            provider: None,
            has_first_byte: false,
            pieces: 0,
            last_byte_at: None,
        };
        let withdrawals = self.withdrawals(&ticket, now);
        Permit::new(ticket, placement, withdrawals, self.sender.clone())
    }

    pub(super) fn dequeue_all(&mut self) {
        let names: Vec<pool::Id> = self.queues.keys().cloned().collect();
        for name in names {
            self.dequeue(&name);
        }
    }

    /// Places queued requests of one service at servers with free slots.
    pub(super) fn dequeue(&mut self, name: &pool::Id) {
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        // Callers that disconnected while queued get no slot.
        let is_disconnected =
            |request: &AcquireRequest, reply: &Reply| request.pool == *name && reply.is_closed();
        let pending = &mut self.pending;
        let disconnected =
            pending.extract_if(|_, (request, reply)| is_disconnected(request, reply));
        let disconnected: Vec<_> = disconnected.collect();
        for (attempt, _) in &disconnected {
            queue.cancel(*attempt);
        }
        let dequeued = queue.dequeue(&self.fleet, now);
        for (_, (request, _)) in disconnected {
            self.refund_retry(&request.pool, request.is_retry, now);
        }
        for (attempt, result) in dequeued {
            let Some((request, reply)) = self.pending.remove(&attempt) else {
                continue;
            };
            match result {
                Ok(placement) => send_reply(reply, Ok(self.permit(request, placement, now))),
                Err(refusal) => self.refuse(&request, reply, Refusal::Denied(refusal), now),
            }
        }
    }

    pub(super) fn first_byte(&mut self, ticket: &Ticket, now: Instant) {
        self.rollouts.first_byte(ticket, now);
        if let Some(at) = ticket.connected_at {
            self.record_connected(ticket, at);
        }
        let Some(queue) = self.queues.get_mut(&ticket.pool) else {
            return;
        };
        queue.pool_mut().record_response(&ticket.server);
        let has_room = queue
            .pool_mut()
            .record_first_event(&ticket.server, ticket.request);
        let is_direct = ticket.egress.is_none();
        if let Some(at) = ticket.connected_at.filter(|_| is_direct) {
            let time = at.since(ticket.sent_at);
            queue.pool_mut().record_connect_time(&ticket.server, time);
        }
        let Some(server) = queue.pool_mut().server_mut(&ticket.server) else {
            return;
        };
        server.end_prefill(ticket.uncached);
        if server.incarnation() == ticket.incarnation {
            if let Some(part) = prefixes::shared_part(&ticket.parts)
                && !server.has_cached(part, now)
            {
                self.prefixes.record(server.hash(), part, now);
            }
            server.record_cached(&ticket.parts, now);
            self.record_time(ticket, expected(ticket), now);
        }
        if has_room {
            self.dequeue(&ticket.pool);
        }
    }

    /// Records how far the response to a request has got.
    pub(super) fn record_progress(&mut self, progress: &ResponseProgress) {
        if let Some(queue) = self.queues.get_mut(&progress.pool) {
            let pool = queue.pool_mut();
            pool.record_progress(&progress.server, progress.request, progress.pieces);
        }
    }

    pub(super) fn ended(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        self.record_path(ticket, outcome, now);
        if ticket.connected_at.is_none() || outcome == Outcome::Withdrawn {
            self.refund_retry(&ticket.pool, ticket.is_retry, now);
        }
        let outcome = self.attribute(ticket, outcome);
        self.record_crash(ticket, outcome, now);
        let outcome = self.hold_failure(ticket, outcome);
        self.rollouts.ended(ticket, outcome, now);
        let Some(queue) = self.queues.get_mut(&ticket.pool) else {
            return;
        };
        let pieces = (outcome == Outcome::Completed).then_some(ticket.pieces);
        queue
            .pool_mut()
            .release_memory(&ticket.server, ticket.request, pieces);
        if let Some(server) = queue.pool_mut().server_mut(&ticket.server)
            && !ticket.has_first_byte
        {
            server.end_prefill(ticket.uncached);
            // A request that got no byte has waited at least this long.
            if outcome == Outcome::Cancelled {
                let usual = expected(ticket);
                let expected = queue.pool().expected_first_byte(&ticket.server, usual, now);
                if let Some(server) = queue.pool_mut().server_mut(&ticket.server) {
                    server.record_first_byte(now.since(ticket.sent_at), expected, now);
                }
            }
        }
        if outcome == Outcome::Unreachable
            && ticket.egress.is_none()
            && now >= ticket.connect_deadline
        {
            queue
                .pool_mut()
                .record_connect_timeout(&ticket.server, ticket.sent_at, now);
        }
        if outcome == Outcome::Full {
            let routers = self.fleet.members.len();
            let pool = queue.pool_mut();
            pool.record_rejection(&ticket.server, routers, now);
        }
        let standing = queue.ended(&ticket.server, &ticket.workspace, outcome, now);
        self.log_standing(ticket, standing, outcome);
        self.dequeue(&ticket.pool);
    }

    pub(super) fn log_standing(
        &self,
        ticket: &Ticket,
        standing: Option<Standing>,
        outcome: Outcome,
    ) {
        let Some(standing) = standing else {
            return;
        };
        self.metrics.standing_changed(standing);
        logging::event!(
            info,
            "server_standing",
            server = ticket.server,
            pool = ticket.pool,
            standing = standing,
            outcome = outcome
        );
    }
}

fn send_reply(reply: Reply, result: Result<Permit, Refusal>) {
    // If the caller has disconnected, the permit is dropped, which frees the slot.
    drop(reply.send(result));
}

/// The time to first byte that the prompt of a request explains.
pub(super) fn expected(ticket: &Ticket) -> Duration {
    // Half the usual prefill rate, so that a server that is up to twice as slow has no lag.
    const TOKENS_PER_MS: u64 = 30;
    /// An engine needs one or two steps for the first token; a plain service takes some
    /// tens of milliseconds.
    const BASE: Duration = Duration::from_millis(40);
    let prompt_tokens: u64 = ticket.parts.iter().map(Part::length).sum();
    BASE + Duration::from_millis(ticket.uncached.0.max(prompt_tokens / 8) / TOKENS_PER_MS)
}
