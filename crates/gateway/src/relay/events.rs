//! Holds the events of a stream back until they are complete.

use bytes::{Bytes, BytesMut};

/// Forwards only complete events and remembers the id of the last one.
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
    /// Appends bytes, of which the first `boundary` end outside of an event, and returns what
    /// is complete.
    ///
    /// `event_id` extracts the event id from a line, if the line contains one.
    pub fn push(
        &mut self,
        bytes: &Bytes,
        boundary: usize,
        event_id: impl Fn(&str) -> Option<String>,
    ) -> Bytes {
        let (head, tail) = bytes.split_at(boundary);
        if head.is_empty() {
            self.partial.extend_from_slice(tail);
            return Bytes::new();
        }
        let complete = if self.partial.is_empty() {
            bytes.slice(..boundary)
        } else {
            self.partial.extend_from_slice(head);
            self.partial.split().freeze()
        };
        self.partial.extend_from_slice(tail);
        let text = String::from_utf8_lossy(&complete);
        if let Some(last_id) = text.lines().rev().find_map(event_id) {
            self.last_id = Some(last_id);
        }
        complete
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
