//! Whole events of a stream.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Passes on whole events only and remembers the last one.
///
/// A server may stop in the middle of an event. Had the first half been passed
/// on, the stream could not go on at another server: the caller would see two
/// halves that do not belong together.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl Splitter {
    /// Takes in bytes and returns the events that are whole with them.
    ///
    /// `number` reads the number of an event from one of its lines.
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

    /// Whether a part of an event is held back.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops what is held back, and returns the number of the last whole event.
    pub fn reset(&mut self) -> Option<String> {
        self.partial.clear();
        self.last_id.clone()
    }
}
