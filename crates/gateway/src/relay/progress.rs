//! What counts as progress of a response.

use framing::{Format, Tracker};
use units::time::Instant;

/// The progress of one response.
///
/// Of an event stream, only whole events are progress: comments, and pieces of an event, may go on
/// without end. Of any other body, each byte is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    events: u64,
    /// Since when the server has made no progress, without the time in which nobody waited for it.
    silent_since: Instant,
    /// When the last bytes were received, until the next ones are waited for.
    received_at: Option<Instant>,
}

impl Progress {
    /// The progress of a response that `tracker` follows, whose head was received at `now`.
    pub fn new(tracker: &Tracker, now: Instant) -> Self {
        Self {
            events: tracker.events(),
            silent_since: now,
            received_at: None,
        }
    }

    /// Records that the next bytes are waited for from `now` on. Until then, the caller did not take
    /// any.
    pub fn wait(&mut self, now: Instant) {
        if let Some(received_at) = self.received_at.take() {
            self.silent_since = self.silent_since + now.since(received_at);
        }
    }

    /// Records that bytes were received at `now`, which `tracker` has recorded. Returns whether they
    /// are progress.
    pub fn receive(&mut self, tracker: &Tracker, now: Instant) -> bool {
        self.received_at = Some(now);
        let has_event = tracker.events() > self.events;
        let is_progress = has_event || tracker.format() == Format::Other;
        if is_progress {
            self.events = tracker.events();
            self.silent_since = now;
        }
        is_progress
    }

    /// Since when the server has made no progress.
    pub fn silent_since(&self) -> Instant {
        self.silent_since
    }
}
