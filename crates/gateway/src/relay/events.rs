//! Holds the events of a stream back until they are complete.

use bytes::{Buf, Bytes, BytesMut};
use hyper::header::HeaderValue;

/// The byte order mark with which a stream may begin.
const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Forwards only complete events and remembers the id of the last one.
///
/// A server may stop in the middle of an event. If its first half had been forwarded, the
/// stream could not be continued at another server: the caller would receive two halves
/// of different events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
    last_id: Option<String>,
    position: Position,
}

/// What the next complete bytes are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// The first ones that the caller receives.
    #[default]
    Start,
    /// The first ones of a server that continues the stream of another.
    Continuation,
    /// Any others.
    Inside,
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
        let mut complete = if self.partial.is_empty() {
            bytes.slice(..boundary)
        } else {
            self.partial.extend_from_slice(head);
            self.partial.split().freeze()
        };
        self.partial.extend_from_slice(tail);
        let position = std::mem::replace(&mut self.position, Position::Inside);
        // Inside a stream, the mark would count as a part of the first field's name.
        if position == Position::Continuation && complete.starts_with(BYTE_ORDER_MARK.as_bytes()) {
            complete.advance(BYTE_ORDER_MARK.len());
        }
        let text = String::from_utf8_lossy(&complete);
        let text = match position {
            Position::Start => text.trim_start_matches(BYTE_ORDER_MARK),
            _ => &text,
        };
        let mut lines = text.rsplit(['\r', '\n']);
        if let Some(last_id) = lines.find_map(event_id) {
            // After an id that no header carries, another server would begin anew.
            let is_sendable = HeaderValue::from_str(&last_id).is_ok();
            self.last_id = is_sendable.then_some(last_id);
        }
        complete
    }

    /// Whether a part of an event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.partial.len()
    }

    /// The buffered part of an event, which will not be continued at another server.
    pub fn into_partial(self) -> Bytes {
        self.partial.freeze()
    }

    /// Whether another server can continue the stream. Without an id to continue after, one that a
    /// header carries, events that have been forwarded would be sent again.
    pub fn can_continue(&self, forwarded_events: u64) -> bool {
        self.last_id.is_some() || forwarded_events == 0
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards the buffered part and returns the id of the last complete event.
    pub fn reset(&mut self) -> Option<String> {
        self.partial.clear();
        if self.position == Position::Inside {
            self.position = Position::Continuation;
        }
        self.last_id.clone()
    }
}
