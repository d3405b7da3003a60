//! How much a server may write without an end in sight.

use std::fmt;

use framing::{Delimiter, Format, Tracker};
use hyper::StatusCode;

/// The most bytes of a failure's body without a declared length, as a multiple of what is held back
/// of an event.
const FAILURE_FACTOR: u64 = 4;
/// The most bytes of one event, as a multiple of the same.
const EVENT_FACTOR: u64 = 32;

/// What a server writes without an end in sight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// The body of a failure, whose length is not declared.
    Failure,
    /// Comments, `retry` fields and blank lines, without an event between them.
    Comments,
    /// One event.
    Event,
    /// Bytes between the parts of a body, as in the size of a chunk.
    Framing,
}

impl Excess {
    /// The name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Failure => "failure",
            Self::Comments => "comments",
            Self::Event => "event",
            Self::Framing => "framing",
        }
    }
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The limit of one response.
///
/// A success of another format than events has none: its length is the server's to choose, and the
/// deadline of the request ends it.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// What is held back of an event, in bytes.
    held_bytes: u64,
    is_success: bool,
}

impl Limit {
    /// The limit of a response with `status`, if `held_bytes` are held back of an event at most.
    pub fn new(status: StatusCode, held_bytes: usize) -> Self {
        Self {
            held_bytes: held_bytes as u64,
            is_success: status.is_success(),
        }
    }

    /// What has passed the limit in the response that `tracker` follows.
    pub fn excess(&self, tracker: &Tracker) -> Option<Excess> {
        let has_length = matches!(tracker.delimiter(), Delimiter::Length(_));
        if !self.is_success && !has_length {
            let is_passed = tracker.received() > self.held_bytes * FAILURE_FACTOR;
            return is_passed.then_some(Excess::Failure);
        }
        if tracker.format() != Format::EventStream {
            return None;
        }
        let ignored = tracker.ignored();
        if ignored > self.held_bytes {
            Some(Excess::Comments)
        } else if tracker.unfinished() - ignored > self.held_bytes * EVENT_FACTOR {
            Some(Excess::Event)
        } else {
            None
        }
    }
}
