//! Queue of requests suspected of crashing backend servers.

use std::collections::VecDeque;

use units::{cost::Cost, request, time::Instant};

use crate::{Standing, queue::Waiting};

/// FIFO queue of suspect tickets, of which at most one runs at a time.
///
/// When a request crashes its server, all requests in the batch fail and each
/// gets a strike. If suspects were retried concurrently, the request that
/// causes the crash would give harmless ones a second strike, and they would be
/// refused permanently. Run one at a time, a harmless request completes and
/// only the one that causes the crash fails again.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectQueue {
    waiting: VecDeque<Waiting>,
    running: Option<request::Attempt>,
    /// Whether the last admitted ticket was a suspect, so that a queued regular
    /// ticket goes next.
    yields_next: bool,
}

impl SuspectQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn contains(&self, attempt: request::Attempt) -> bool {
        self.waiting
            .iter()
            .any(|waiting| waiting.ticket.attempt == attempt)
    }

    pub fn cost(&self) -> Cost {
        self.waiting.iter().map(|waiting| waiting.ticket.cost).sum()
    }

    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// The ticket that may run now. After each suspect ticket, one ticket of
    /// the regular queue goes first, so that a server with a limit of one
    /// serves both queues.
    pub fn next_runnable(&self, regular_waiting: bool) -> Option<&Waiting> {
        if self.running.is_some() || (self.yields_next && regular_waiting) {
            return None;
        }
        self.waiting.front()
    }

    /// Whether a new ticket can be admitted without overtaking a suspect ticket
    /// that may run.
    pub fn may_bypass(&self, standing: Standing) -> bool {
        match standing {
            Standing::Suspect => self.running.is_none() && self.waiting.is_empty(),
            Standing::Clear => self.running.is_some() || self.waiting.is_empty(),
        }
    }

    /// Removes the first ticket and marks it as running.
    pub fn start_next(&mut self) -> Option<Waiting> {
        let waiting = self.waiting.pop_front()?;
        self.running = Some(waiting.ticket.attempt);
        self.yields_next = true;
        Some(waiting)
    }

    /// Marks a suspect ticket as running that was admitted without queueing.
    pub fn start(&mut self, attempt: request::Attempt) {
        self.running = Some(attempt);
        self.yields_next = true;
    }

    /// Removes the first ticket without running it.
    pub fn pop_unstarted(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Records that a ticket of the regular queue was admitted.
    pub fn regular_admitted(&mut self) {
        self.yields_next = false;
    }

    pub fn finished(&mut self, attempt: request::Attempt) {
        if self.running == Some(attempt) {
            self.running = None;
        }
    }

    pub fn remove(&mut self, attempt: request::Attempt) -> Option<Waiting> {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.ticket.attempt == attempt)?;
        self.waiting.remove(position)
    }

    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let position = self
            .waiting
            .iter()
            .position(|waiting| waiting.latest_start <= now)?;
        self.waiting.remove(position)
    }

    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiting
            .iter()
            .map(|waiting| waiting.latest_start)
            .min()
    }
}
