//! The memory for what is held for callers and servers that read slowly.

use std::sync::atomic::{AtomicBool, Ordering};

use buffers::{Budget, Charge, Limits, Share, Usage};

use crate::{read_ahead, settings::Settings};

/// The memory for held bytes, and whether it is in use.
#[derive(Debug)]
pub struct Memory {
    budget: Budget,
    is_on: AtomicBool,
}

impl Memory {
    /// Creates the memory that `settings` allow.
    ///
    /// Half of what responses may hold is divided among all connections of callers, so that some
    /// large responses never take the room of a chat.
    pub fn new(settings: &Settings) -> Self {
        let limits = Limits {
            bytes: settings.body_memory.saturating_add(settings.held_memory),
            requests: settings.body_memory,
            floor: (settings.held_memory / 2 / settings.connections.max(1))
                .max(read_ahead::MAX_READ),
            responses: settings.connections,
        };
        Self {
            budget: Budget::new(limits),
            is_on: AtomicBool::new(settings.bounds.is_contended),
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
