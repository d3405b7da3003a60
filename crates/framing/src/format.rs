//! The format of a response body.

use std::fmt;

use http::{HeaderMap, header};

/// The media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// The format of a response body, as far as it says where the body may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Server-sent events, each of which ends with a blank line.
    EventStream,
    /// Any other format.
    Other,
}

impl Format {
    /// The format that the content type declares.
    pub fn of(headers: &HeaderMap) -> Self {
        let value = headers.get(header::CONTENT_TYPE);
        let essence = value
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.split(';').next());
        match essence {
            Some(essence) if essence.trim().eq_ignore_ascii_case(EVENT_STREAM) => Self::EventStream,
            _ => Self::Other,
        }
    }

    /// The name of the format in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EventStream => "events",
            Self::Other => "other",
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
