//! Attempts that run, and what their first tokens show.

use std::time::Duration;

use units::{cost::Cost, request, time::Instant, workspace};

use super::Server;
use crate::{Actions, Ticket, limit::FirstToken};

/// What is known of an attempt's first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstTokenState {
    /// It has not arrived and is not late enough to tell.
    Pending,
    /// It, or the lack of it, has been judged.
    Judged,
    /// It comes with the last one, since the answer is in one piece.
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
    /// When its silence makes the server doubtful.
    pub slow_at: Instant,
    /// When its silence shows a cold server.
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
    /// The first token of an admitted attempt, or the head of its answer, arrived.
    ///
    /// Owners that call this learn of a cold server from the silence of requests
    /// in flight, long before any of them ends.
    pub fn first_token(&mut self, attempt: request::Attempt, now: Instant) -> Actions {
        self.observes_first_tokens = true;
        self.judge_first_token(attempt, now, now);
        self.tick(now)
    }

    /// The answer to an admitted attempt comes in one piece.
    ///
    /// Its first byte arrives with the last token, so that a healthy server
    /// would be taken for a cold one. Such an attempt is judged by the time
    /// that it runs, against what others of its cost took.
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

    /// Looks for requests whose first token is so late that the server is cold.
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

    /// Judges an answer that came in one piece by the time that it took.
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
        // In time: it counts like a request whose first token came easily.
        let token = running.first_token(running.admitted_at);
        self.limit.completed(token, is_in_use, &self.settings, now);
    }

    /// Judges the first token of an attempt once.
    ///
    /// One that a later attempt has overtaken in time says nothing about the
    /// server: its connection may have gone silent.
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
