//! Whole events of a stream.

use bytes::{Bytes, BytesMut};

/// What ends an event.
const END: &[u8] = b"\n\n";

/// Passes on whole events only and remembers the last one.
///
/// A server may stop in the middle of an event. Had the first half been passed
/// on, the stream could not go on at another server: the caller would see two
/// halves that do not belong together.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last: Option<String>,
}

impl Splitter {
    /// Takes in bytes and returns the events that are whole with them.
    ///
    /// `number` reads the number of an event from one of its lines.
    pub fn push(&mut self, bytes: &[u8], number: impl Fn(&str) -> Option<String>) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.end() else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end).freeze();
        let text = String::from_utf8_lossy(&whole);
        if let Some(last) = text.lines().rev().find_map(number) {
            self.last = Some(last);
        }
        whole
    }

    fn end(&self) -> Option<usize> {
        let mut ends = self.partial.windows(END.len());
        let last = ends.rposition(|window| window == END)?;
        Some(last + END.len())
    }

    /// Whether a part of an event is held back.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops what is held back, and returns the number of the last whole event.
    pub fn restart(&mut self) -> Option<String> {
        self.partial.clear();
        self.last.clone()
    }
}
