//! Running attempts, and the evaluation of their first tokens.

use std::time::Duration;

use units::{cost::Cost, request, time::Instant, workspace};

use super::Server;
use crate::{Actions, Ticket, limit::FirstToken};

/// State of an attempt's first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstTokenState {
    /// It has not arrived and is not late enough for a judgement.
    Pending,
    /// The first token, or its absence, has been judged.
    Judged,
    /// The response is not streamed, so the first token arrives with the last.
    NonStreaming,
}

/// An attempt that was admitted.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub workspace: workspace::Id,
    pub cost: Cost,
    pub admitted_at: Instant,
    /// When its first token is due.
    pub due: Instant,
    /// When a missing first token becomes slow, so that the server may be cold.
    pub slow_at: Instant,
    /// When a missing first token shows that the server is cold.
    pub inflated_at: Instant,
    pub first_token_state: FirstTokenState,
}

impl Running {
    pub fn first_token(&self, arrived_at: Instant) -> FirstToken {
        FirstToken {
            admitted_at: self.admitted_at,
            due: self.due,
            arrived_at,
        }
    }
}

impl Server {
    /// Records that the first token of an admitted attempt, or the head of its
    /// response, arrived.
    ///
    /// If the owner calls this, a cold server is detected from missing first tokens
    /// of requests in flight, long before any of them ends.
    pub fn first_token(&mut self, attempt: request::Attempt, now: Instant) -> Actions {
        self.observes_first_tokens = true;
        self.judge_first_token(attempt, now, now);
        self.tick(now)
    }

    /// Marks the response to an admitted attempt as not streamed.
    ///
    /// The first byte of such a response arrives with the last token, so its delay
    /// would make a healthy server look cold. Such an attempt is judged by its run
    /// time instead, compared with the expected run time for its cost.
    pub fn mark_non_streaming(&mut self, attempt: request::Attempt) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        running.first_token_state = FirstTokenState::NonStreaming;
        self.inflated_timers.remove(&(running.inflated_at, attempt));
        self.slow_timers.remove(&(running.slow_at, attempt));
        self.slow_attempts.remove(&attempt);
    }

    pub(super) fn admit(&mut self, ticket: &Ticket, now: Instant) {
        let per_cost = self.settings.first_token_target_per_cost.as_micros() as u64;
        let micros = per_cost.saturating_mul(ticket.cost.0);
        let target = self.settings.first_token_target + Duration::from_micros(micros);
        let weight = self.queue.weight_of(&ticket.workspace);
        self.shares
            .admitted(&ticket.workspace, weight, &self.settings, now);
        let running = Running {
            workspace: ticket.workspace.clone(),
            cost: ticket.cost,
            admitted_at: now,
            due: now + target,
            slow_at: now + self.limit.slow_after(target, &self.settings),
            inflated_at: now + target.saturating_mul(self.settings.inflation_factor),
            first_token_state: FirstTokenState::Pending,
        };
        self.inflated_timers
            .insert((running.inflated_at, ticket.attempt));
        self.slow_timers.insert((running.slow_at, ticket.attempt));
        self.running.insert(ticket.attempt, running);
        self.running_cost += ticket.cost;
        self.load.add(now);
    }

    /// Marks attempts whose first token is slow, and judges those whose first token
    /// is so late that the server must be cold.
    pub(super) fn check_first_tokens(&mut self, now: Instant) {
        while self.observes_first_tokens
            && let Some(&(slow_at, attempt)) = self.slow_timers.first()
            && slow_at <= now
        {
            self.slow_timers.pop_first();
            self.slow_attempts.insert(attempt);
        }
        while self.observes_first_tokens
            && let Some(&(inflated_at, attempt)) = self.inflated_timers.first()
            && inflated_at <= now
        {
            self.judge_first_token(attempt, now, now);
        }
    }

    /// Judges a completed attempt without streaming by its run time.
    pub(super) fn finish_non_streaming(
        &mut self,
        running: &Running,
        run_time: Duration,
        is_in_use: bool,
        now: Instant,
    ) {
        let expected = self.run_times.run_time(running.cost);
        let slow_run_time = expected.saturating_mul(self.settings.inflation_factor);
        if self.run_times.has_samples() && run_time > slow_run_time {
            self.limit.failed(now);
            return;
        }
        // In time: counts as a request with a fast first token.
        let token = running.first_token(running.admitted_at);
        self.limit.completed(token, is_in_use, &self.settings, now);
    }

    /// Judges the first token of an attempt, at most once.
    ///
    /// The attempt is ignored if a later one has had its first token on time: then
    /// the delay may come from a stalled connection rather than from the server.
    pub(super) fn judge_first_token(
        &mut self,
        attempt: request::Attempt,
        arrived_at: Instant,
        now: Instant,
    ) {
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        self.inflated_timers.remove(&(running.inflated_at, attempt));
        self.slow_timers.remove(&(running.slow_at, attempt));
        self.slow_attempts.remove(&attempt);
        if running.first_token_state != FirstTokenState::Pending
            || running.admitted_at < self.last_on_time_admission
        {
            return;
        }
        running.first_token_state = FirstTokenState::Judged;
        if arrived_at <= running.due {
            self.last_on_time_admission = running.admitted_at;
        }
        let token = running.first_token(arrived_at);
        self.limit.first_token(token, &self.settings, now);
    }
}
