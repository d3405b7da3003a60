//! Chunks in a body whose head does not declare them.

/// The most digits of a chunk's size.
const MAX_DIGITS: u32 = 16;

/// The next byte of the coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    /// A digit of a chunk's size, of which this many have been read, or the end of its line.
    Size { digits: u32, size: u64 },
    /// The line feed after the size.
    SizeEnd { size: u64 },
    /// One of the remaining bytes of a chunk.
    Data { remaining: u64 },
    /// The end of the line after a chunk, of which this many bytes have been read.
    DataEnd { read: usize },
    /// The end of the line after the last chunk, of which this many bytes have been read.
    LastEnd { read: usize },
    /// Nothing.
    End,
    /// Any byte: the body has no such coding.
    Any,
}

const END_OF_LINE: [u8; 2] = *b"\r\n";
const START: Next = Next::Size { digits: 0, size: 0 };

/// Recognizes a body in chunks without extensions and trailers.
///
/// If the name of the field that declares them is spoilt, the head declares nothing, and their sizes
/// would be taken for a part of the body.
#[derive(Clone, Debug)]
pub struct Scanner {
    next: Next,
    has_size: bool,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            next: START,
            has_size: false,
        }
    }
}

impl Scanner {
    /// Reads bytes of the body.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while let (Some((first, rest)), true) = (bytes.split_first(), self.next != Next::Any) {
            if let Next::Data { remaining } = self.next {
                let count = bytes
                    .len()
                    .min(usize::try_from(remaining).unwrap_or(usize::MAX));
                self.next = match remaining - count as u64 {
                    0 => Next::DataEnd { read: 0 },
                    remaining => Next::Data { remaining },
                };
                bytes = &bytes[count..];
                continue;
            }
            self.next = self.next.after(*first);
            self.has_size |= matches!(self.next, Next::Data { .. } | Next::LastEnd { .. });
            bytes = rest;
        }
    }

    /// Whether the body begins with the size of a chunk.
    pub fn has_size(&self) -> bool {
        self.has_size
    }

    /// Whether the last byte of the body is that of the coding.
    pub fn is_complete(&self) -> bool {
        self.next == Next::End
    }
}

impl Next {
    /// What follows `byte`, which is no data.
    fn after(self, byte: u8) -> Self {
        match self {
            Self::Size { digits, size } => match char::from(byte).to_digit(16) {
                Some(digit) if digits < MAX_DIGITS => Self::Size {
                    digits: digits + 1,
                    size: size << 4 | u64::from(digit),
                },
                None if byte == b'\r' && digits > 0 => Self::SizeEnd { size },
                _ => Self::Any,
            },
            Self::SizeEnd { size } if byte == b'\n' => match size {
                0 => Self::LastEnd { read: 0 },
                remaining => Self::Data { remaining },
            },
            Self::DataEnd { read } if byte == END_OF_LINE[read] => match read {
                0 => Self::DataEnd { read: 1 },
                _ => START,
            },
            Self::LastEnd { read } if byte == END_OF_LINE[read] => match read {
                0 => Self::LastEnd { read: 1 },
                _ => Self::End,
            },
            _ => Self::Any,
        }
    }
}
