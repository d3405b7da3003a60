//! The memory for what is held for callers and servers that read slowly.

use std::sync::atomic::{AtomicBool, Ordering};

use buffers::{Budget, Charge, Limits, Share, Usage};

use crate::read_ahead;

/// The memory for held bytes, and whether it is in use.
#[derive(Debug)]
pub struct Memory {
    budget: Budget,
    is_on: AtomicBool,
}

impl Memory {
    /// Creates the memory for `requests` bytes of request bodies and `responses` bytes of responses.
    pub fn new(requests: usize, responses: usize, is_on: bool) -> Self {
        let limits = Limits {
            bytes: requests.saturating_add(responses),
            requests,
            floor: read_ahead::MAX_READ,
        };
        Self {
            budget: Budget::new(limits),
            is_on: AtomicBool::new(is_on),
        }
    }

    /// Sets whether responses that begin from now on are read ahead of their callers.
    pub fn set_on(&self, is_on: bool) {
        self.is_on.store(is_on, Ordering::Relaxed);
    }

    /// Whether responses are read ahead of their callers.
    pub fn is_on(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
    }

    /// The share of a response that begins, if it is read ahead of its caller.
    pub fn open(&self) -> Option<Share> {
        self.is_on().then(|| self.budget.open())
    }

    /// Records the body of a request, for which there is memory.
    pub fn hold_request(&self, bytes: usize) -> Option<Charge> {
        let is_counted = bytes > 0 && self.is_on();
        is_counted.then(|| self.budget.hold_request(bytes))
    }

    /// The bytes that are held.
    pub fn usage(&self) -> Usage {
        self.budget.usage()
    }
}
