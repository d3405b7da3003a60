//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};

/// The terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Yields only complete events and remembers the id of the last one.
///
/// A server may stop in the middle of an event. If its first half had been forwarded, the
/// stream could not be continued at another server: the caller would receive two halves
/// of different events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// `event_id` extracts the event id from a line, if the line contains one.
    pub fn push(&mut self, bytes: &[u8], event_id: impl Fn(&str) -> Option<String>) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.end() else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        let text = String::from_utf8_lossy(&complete);
        if let Some(last_id) = text.lines().rev().find_map(event_id) {
            self.last_id = Some(last_id);
        }
        complete
    }

    fn end(&self) -> Option<usize> {
        let mut ends = self.partial.windows(EVENT_END.len());
        let start = ends.rposition(|window| window == EVENT_END)?;
        Some(start + EVENT_END.len())
    }

    /// Whether a part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the buffered part and returns the id of the last complete event.
    pub fn reset(&mut self) -> Option<String> {
        self.partial.clear();
        self.last_id.clone()
    }
}
