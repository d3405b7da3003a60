//! Server-sent events, as far as their boundaries are concerned.

/// The byte order mark with which a stream may begin.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];
/// The field that sets the reconnection time at once, without belonging to an event.
const RETRY: &[u8] = b"retry";

/// The part of the current line that has been read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    /// The first bytes of the stream match this many bytes of the byte order mark.
    Mark(usize),
    /// Nothing.
    #[default]
    Start,
    /// The beginning of a comment.
    Comment,
    /// This many bytes of the name `retry`.
    Name(usize),
    /// The field `retry`, up to its colon at least.
    Retry,
    /// The beginning of any other field.
    Field,
}

/// Finds the ends of events in a stream.
///
/// Lines end with LF, CR or CR LF, and an event ends with a blank line. The stream may be cut
/// anywhere between two reads. Comments and `retry` fields take effect by themselves, so the
/// stream may end after their line. Each byte is looked at once.
#[derive(Clone, Debug)]
pub struct Scanner {
    line: Line,
    /// Whether fields of an event have been read, and not the blank line after them.
    has_fields: bool,
    /// Whether the last byte was a CR, so that an LF belongs to the same end of line.
    is_after_cr: bool,
    /// The number of events that have ended.
    events: u64,
    /// The bytes after the last event that has ended.
    unfinished: u64,
    /// How many of them end outside of an event.
    ignored: u64,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            line: Line::Mark(0),
            has_fields: false,
            is_after_cr: false,
            events: 0,
            unfinished: 0,
            ignored: 0,
        }
    }
}

impl Scanner {
    /// Reads bytes of the stream. Returns how many of them end outside of an event: the offset
    /// after the last byte that completes an event, a comment or a `retry` field, or zero.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut boundary = 0;
        for (offset, byte) in bytes.iter().enumerate() {
            self.advance(*byte);
            if !self.is_inside() {
                self.ignored = self.unfinished;
                boundary = offset + 1;
            }
        }
        boundary
    }

    /// Whether the stream would be truncated if it ended here.
    pub fn is_inside(&self) -> bool {
        self.has_fields || !matches!(self.line, Line::Start | Line::Mark(0))
    }

    /// The number of events that have ended. A blank line without fields before it ends none.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// The number of bytes after the last event that has ended: comments, `retry` fields, blank
    /// lines, and the beginning of an event.
    pub fn unfinished(&self) -> u64 {
        self.unfinished
    }

    /// How many of the [`Scanner::unfinished`] bytes belong to no event.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    fn advance(&mut self, byte: u8) {
        let is_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        if byte == b'\n' && is_after_cr {
            return;
        }
        self.unfinished += 1;
        match byte {
            b'\n' | b'\r' => self.end_line(),
            _ => self.line = self.line.extended_by(byte),
        }
    }

    fn end_line(&mut self) {
        match self.line {
            Line::Start | Line::Mark(0) => {
                if std::mem::take(&mut self.has_fields) {
                    self.events += 1;
                    self.unfinished = 0;
                }
            }
            Line::Comment | Line::Retry => {}
            Line::Name(matched) if matched == RETRY.len() => {}
            Line::Mark(_) | Line::Name(_) | Line::Field => self.has_fields = true,
        }
        self.line = Line::Start;
    }
}

impl Line {
    fn extended_by(self, byte: u8) -> Self {
        match self {
            Self::Mark(matched) if byte == BYTE_ORDER_MARK[matched] => {
                if matched + 1 == BYTE_ORDER_MARK.len() {
                    Self::Start
                } else {
                    Self::Mark(matched + 1)
                }
            }
            Self::Mark(0) | Self::Start => match byte {
                b':' => Self::Comment,
                _ if byte == RETRY[0] => Self::Name(1),
                _ => Self::Field,
            },
            Self::Name(matched) if RETRY.get(matched) == Some(&byte) => Self::Name(matched + 1),
            Self::Name(matched) if matched == RETRY.len() && byte == b':' => Self::Retry,
            Self::Mark(_) | Self::Name(_) => Self::Field,
            Self::Comment | Self::Retry | Self::Field => self,
        }
    }
}
