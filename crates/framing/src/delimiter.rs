//! What delimits the body of a response.

use std::fmt;

use http::{HeaderMap, Method, StatusCode, header};

/// What delimits the body of a response, as in RFC 9112, section 6.3.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delimiter {
    /// There is no body: the response ends with its head.
    Head,
    /// The number of bytes that the head declares.
    Length(u64),
    /// The last chunk.
    Chunked,
    /// The end of the connection.
    Close,
}

impl Delimiter {
    /// The delimiter of the response to a request with `method`.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if has_no_body || method == Method::HEAD {
            return Self::Head;
        }
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return if is_chunked(headers) {
                Self::Chunked
            } else {
                Self::Close
            };
        }
        length(headers).map_or(Self::Close, Self::Length)
    }

    /// The name of the delimiter in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Delimiter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether `chunked` is the last of the transfer codings.
fn is_chunked(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::TRANSFER_ENCODING);
    let last = values.iter().next_back();
    let coding = last
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

fn length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}
