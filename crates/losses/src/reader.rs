//! Lines of a file, one at a time and none longer than a limit.

use std::io::{self, BufRead};

/// The longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// What the input holds next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A line.
    Line,
    /// Text after the last line break: its line was cut off, or is still being written.
    Truncated,
    /// A line that is too long; it is passed over.
    TooLong,
    /// Nothing more.
    End,
}

/// Reads the next line into `line`, without its line break.
///
/// # Errors
///
/// When the input cannot be read.
pub fn next(input: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<Next> {
    line.clear();
    let mut is_too_long = false;
    loop {
        let bytes = input.fill_buf()?;
        if bytes.is_empty() {
            return Ok(end_of_input(line, is_too_long));
        }
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let chunk = &bytes[..end.unwrap_or(bytes.len())];
        is_too_long |= line.len() + chunk.len() > MAX_LINE_BYTES;
        if !is_too_long {
            line.extend_from_slice(chunk);
        }
        let consumed = end.map_or(bytes.len(), |end| end + 1);
        input.consume(consumed);
        if end.is_some() {
            return Ok(if is_too_long {
                Next::TooLong
            } else {
                Next::Line
            });
        }
    }
}

fn end_of_input(line: &[u8], is_too_long: bool) -> Next {
    if is_too_long {
        Next::TooLong
    } else if line.is_empty() {
        Next::End
    } else {
        Next::Truncated
    }
}
