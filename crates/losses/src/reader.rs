//! Lines of a file, one at a time and none longer than a limit.

use std::io::{self, BufRead};

/// The longest line that is read, in bytes.
const MOST_BYTES: usize = 16 * 1024;

/// What the input holds next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A line.
    Line,
    /// Text after the last line break: its line was cut off, or is still being written.
    Cut,
    /// A line that is too long; it is passed over.
    Long,
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
    let mut is_long = false;
    loop {
        let bytes = input.fill_buf()?;
        if bytes.is_empty() {
            return Ok(at_end(line, is_long));
        }
        let end = bytes.iter().position(|&byte| byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        is_long |= line.len() + part.len() > MOST_BYTES;
        if !is_long {
            line.extend_from_slice(part);
        }
        let used = end.map_or(bytes.len(), |end| end + 1);
        input.consume(used);
        if end.is_some() {
            return Ok(if is_long { Next::Long } else { Next::Line });
        }
    }
}

fn at_end(line: &[u8], is_long: bool) -> Next {
    if is_long {
        Next::Long
    } else if line.is_empty() {
        Next::End
    } else {
        Next::Cut
    }
}
