//! Reads a file line by line, with a limit on the length of a line.

use std::io::{self, BufRead};

/// Maximum length of a line; longer lines are skipped.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// Result of reading the next line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A complete line.
    Line,
    /// Text after the last line break: the line was truncated or is still being written.
    Truncated,
    /// A line longer than the limit, which was skipped.
    TooLong,
    /// End of the input.
    End,
}

/// Reads the next line into `line`, without its line break.
///
/// # Errors
///
/// Returns an error if reading the input fails.
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
