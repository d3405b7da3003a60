//! The lane of requests suspected of crashing backend servers.

use std::collections::VecDeque;

use units::{cost::Cost, request, time::Instant};

use crate::{Standing, queue::Waiting};

/// Suspect tickets in order of arrival; at most one of them runs.
///
/// A request that crashes its server takes the others in the batch with it,
/// and each of them gets a strike. Were two such requests retried side by side,
/// the guilty one would give the innocent one its second strike, and the
/// innocent one would be refused for good. Run one at a time, an innocent
/// request finishes, and only the guilty one dies again.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectQueue {
    waiting: VecDeque<Waiting>,
    running: Option<request::Attempt>,
    /// Whether the last admission came from the lane while others waited.
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

    /// The ticket that may run now. The lane lets one of the queue pass after
    /// each of its own, so that a server with a limit of one serves both.
    pub fn next_runnable(&self, regular_waiting: bool) -> Option<&Waiting> {
        if self.running.is_some() || (self.yields_next && regular_waiting) {
            return None;
        }
        self.waiting.front()
    }

    /// Whether a ticket that does not wait overtakes none that may run.
    pub fn may_bypass(&self, standing: Standing) -> bool {
        match standing {
            Standing::Suspect => self.running.is_none() && self.waiting.is_empty(),
            Standing::Clear => self.running.is_some() || self.waiting.is_empty(),
        }
    }

    /// Takes the ticket that may run now.
    pub fn start_next(&mut self) -> Option<Waiting> {
        let waiting = self.waiting.pop_front()?;
        self.running = Some(waiting.ticket.attempt);
        self.yields_next = true;
        Some(waiting)
    }

    /// A suspect ticket was admitted without waiting.
    pub fn start(&mut self, attempt: request::Attempt) {
        self.running = Some(attempt);
        self.yields_next = true;
    }

    /// Takes the first ticket out without running it.
    pub fn pop_unstarted(&mut self) -> Option<Waiting> {
        self.waiting.pop_front()
    }

    /// Another ticket was admitted.
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
