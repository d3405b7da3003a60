//! Why the body of a response is truncated.

use std::{error, fmt};

/// The response body is truncated.
///
/// The caller's connection is closed in the middle of the response, so that a partial
/// body does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The server broke the connection or stalled.
    Server,
    /// The deadline of the request passed.
    Deadline,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Server => "the server closed or stalled the response",
            Self::Deadline => "the deadline of the request passed",
        })
    }
}

impl error::Error for Error {}
