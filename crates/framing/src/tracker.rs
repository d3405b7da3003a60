//! How much of one response has been read.

use std::{error, fmt};

use http::{HeaderMap, Method, StatusCode, header};

use crate::{Delimiter, Format, chunks, events::Scanner};

/// Why a response whose body ended regularly is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// Bytes that the head declares are missing.
    Short,
    /// The stream ended inside an event.
    InsideEvent,
    /// The stream ended with its connection, before its first event.
    Empty,
    /// The body is in chunks that the head does not declare.
    Undeclared,
}

impl fmt::Display for Truncation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "ended before its length",
            Self::InsideEvent => "ended inside an event",
            Self::Empty => "ended before its first event",
            Self::Undeclared => "is in chunks that its head does not declare",
        })
    }
}

impl error::Error for Truncation {}

/// Follows the body of one response and decides whether it is complete.
#[derive(Clone, Debug)]
pub struct Tracker {
    delimiter: Delimiter,
    format: Format,
    scanner: Scanner,
    /// Looks for chunks where only the connection delimits the body.
    chunks: chunks::Scanner,
    received: u64,
    may_be_empty: bool,
    /// Whether the head declares a content type.
    is_typed: bool,
    /// Whether a body without a content type consists of events.
    expects_events: bool,
    /// The events of the responses that this one continues.
    earlier_events: u64,
}

impl Tracker {
    /// Creates the tracker of the response to a request with `method`.
    pub fn new(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            delimiter: Delimiter::of(method, status, headers),
            format: Format::of(headers),
            scanner: Scanner::default(),
            chunks: chunks::Scanner::default(),
            received: 0,
            may_be_empty: false,
            is_typed: headers.contains_key(header::CONTENT_TYPE),
            expects_events: false,
            earlier_events: 0,
        }
    }

    /// The same for a body that may be empty, because its end has been judged before or because
    /// the caller asked for the rest of a stream.
    pub fn or_empty(self) -> Self {
        Self {
            may_be_empty: true,
            ..self
        }
    }

    /// The same for a route whose responses are event streams. Where a server declares no content
    /// type, and only the connection delimits the body, its events tell whether it is complete.
    pub fn expecting_events(self) -> Self {
        let is_undeclared = !self.is_typed && self.delimiter == Delimiter::Close;
        Self {
            format: if is_undeclared {
                Format::EventStream
            } else {
                self.format
            },
            expects_events: true,
            ..self
        }
    }

    /// What delimits the body.
    pub fn delimiter(&self) -> Delimiter {
        self.delimiter
    }

    /// The format of the body.
    pub fn format(&self) -> Format {
        self.format
    }

    /// Whether the last byte that was read is inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.format == Format::EventStream && self.scanner.is_inside()
    }

    /// Whether the body is an event stream in chunks that the head does not declare. No event begins
    /// with the size of a chunk.
    pub fn is_coded_stream(&self) -> bool {
        self.format == Format::EventStream && self.chunks.has_size()
    }

    /// The bytes of the body that have been read.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The bytes of an event stream after the last event that has ended.
    pub fn unfinished(&self) -> u64 {
        self.scanner.unfinished()
    }

    /// How many of the [`Tracker::unfinished`] bytes belong to no event: those of comments, `retry`
    /// fields and blank lines.
    pub fn ignored(&self) -> u64 {
        self.scanner.ignored()
    }

    /// The number of events that have ended.
    pub fn events(&self) -> u64 {
        self.earlier_events + self.scanner.events()
    }

    /// The tracker of the response that continues this one after its last whole event.
    pub fn resumed(&self, method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let next = Self {
            earlier_events: self.events(),
            may_be_empty: self.may_be_empty,
            ..Self::new(method, status, headers)
        };
        if self.expects_events {
            next.expecting_events()
        } else {
            next
        }
    }

    /// Reads bytes of the body. Returns how many of them end outside of an event.
    pub fn record(&mut self, bytes: &[u8]) -> usize {
        self.received += bytes.len() as u64;
        if self.delimiter == Delimiter::Close {
            self.chunks.push(bytes);
        }
        match self.format {
            Format::EventStream => self.scanner.push(bytes),
            Format::Other => bytes.len(),
        }
    }

    /// Of bytes that have just been recorded, how many may be forwarded; `boundary` of them end
    /// outside of an event.
    ///
    /// With all of its declared length, a response looks complete to its caller, even if it ends
    /// inside an event.
    pub fn forwardable(&self, bytes: usize, boundary: usize) -> usize {
        if self.is_exhausted() && self.end().is_err() {
            boundary
        } else {
            bytes
        }
    }

    /// Whether the declared length, if any, has been read: there will be no more bytes, and the
    /// end of the body need not be waited for.
    pub fn is_exhausted(&self) -> bool {
        match self.delimiter {
            Delimiter::Head => true,
            Delimiter::Length(length) => self.received >= length,
            Delimiter::Chunked | Delimiter::Close => false,
        }
    }

    /// Whether the response is complete, given that its body ended regularly: after its length,
    /// with its last chunk, or with a connection that the server closed.
    ///
    /// # Errors
    ///
    /// Why it is truncated all the same.
    pub fn end(&self) -> Result<(), Truncation> {
        match self.delimiter {
            Delimiter::Head => Ok(()),
            Delimiter::Length(length) if self.received < length => Err(Truncation::Short),
            _ if self.is_inside_event() => Err(Truncation::InsideEvent),
            Delimiter::Close if self.is_empty_stream() => Err(Truncation::Empty),
            Delimiter::Close if self.chunks.is_complete() => Err(Truncation::Undeclared),
            _ => Ok(()),
        }
    }

    fn is_empty_stream(&self) -> bool {
        let is_empty = self.received == 0 && self.events() == 0;
        self.format == Format::EventStream && is_empty && !self.may_be_empty
    }
}
