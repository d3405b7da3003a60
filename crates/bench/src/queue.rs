//! A queue of events ordered by virtual time.

use std::{cmp, collections::BinaryHeap};

use units::time::Instant;

#[derive(Debug)]
struct Entry<E> {
    at: Instant,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // Reversed, because `BinaryHeap` pops the greatest entry and the earliest is
        // needed.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A queue of events. Events at the same instant are popped in insertion order.
#[derive(Debug)]
pub struct Queue<E> {
    heap: BinaryHeap<Entry<E>>,
    entered: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            entered: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Inserts an event.
    pub fn push(&mut self, at: Instant, event: E) {
        self.entered += 1;
        self.heap.push(Entry {
            at,
            order: self.entered,
            event,
        });
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
