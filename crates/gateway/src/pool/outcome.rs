//! Outcomes of requests at servers.

use std::fmt;

/// The outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Completed,
    /// The server responded with a failure.
    Failed,
    /// The connection broke while the server was processing the request.
    Broken,
    /// The connection broke, and it is not known yet whether because of the server or of the path
    /// to it.
    Interrupted,
    /// The host refused the connection: nothing was sent, and no server runs there.
    Refused,
    /// No connection was established, so nothing was sent.
    Unreachable,
    /// This router had lost its own paths, or the egress router did not provide one. Nothing was
    /// sent, and the server is not the reason.
    NoPath,
    /// The address belongs to another server now.
    Moved,
    /// The server rejected the request because it is full; it did not run it.
    Full,
    /// The request was not sent, because of what the server announced meanwhile or because
    /// the request is refused by now.
    Withdrawn,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Broken => "broken",
            Self::Interrupted => "interrupted",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::NoPath => "no_path",
            Self::Moved => "moved",
            Self::Full => "full",
            Self::Withdrawn => "withdrawn",
            Self::Cancelled => "cancelled",
        })
    }
}
