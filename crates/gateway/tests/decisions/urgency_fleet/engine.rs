//! An engine with slots and a queue that serves the more urgent rank first.

use std::collections::{BTreeMap, VecDeque};

/// The requests that an engine queues in addition to those that it runs.
const MAX_WAITING: usize = 36;

/// What an engine does with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It runs from now on.
    Started,
    /// It waits for a slot.
    Waiting,
    /// The queue is full; the request does not run.
    Rejected,
}

/// The requests of one engine.
#[derive(Debug, Default)]
pub struct Engine {
    slots: usize,
    running: usize,
    waiting: BTreeMap<u8, VecDeque<usize>>,
}

impl Engine {
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    pub fn arrive(&mut self, request: usize, rank: u8) -> Arrival {
        if self.running < self.slots {
            self.running += 1;
            return Arrival::Started;
        }
        if self.waiting_count() >= MAX_WAITING {
            return Arrival::Rejected;
        }
        self.waiting.entry(rank).or_default().push_back(request);
        Arrival::Waiting
    }

    /// Ends a running request and takes the next one from the queue, which then runs if it is
    /// wanted.
    pub fn end(&mut self) {
        self.running -= 1;
    }

    /// The next request of the queue, if a slot is free.
    pub fn next(&mut self) -> Option<usize> {
        if self.running >= self.slots {
            return None;
        }
        let mut ranks = self.waiting.values_mut();
        ranks.find_map(VecDeque::pop_front)
    }

    /// Runs a request that came from the queue.
    pub fn start(&mut self) {
        self.running += 1;
    }

    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }
}
