//! Whether the head of a response leaves no doubt about its body.

use std::{error, fmt};

use http::{HeaderMap, HeaderValue, StatusCode, header};

/// The lowest number above all status codes.
const STATUS_END: u16 = 600;

/// What is wrong with the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The status is not that of a final response.
    Status,
    /// The transfer coding is another than `chunked`, is applied repeatedly or stands beside a length.
    Coding,
    /// The length is not one number.
    Length,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Status => "the response has no valid status",
            Self::Coding => "the response has an unexpected transfer coding",
            Self::Length => "the response has no valid length",
        })
    }
}

impl error::Error for Fault {}

/// Checks the head of a final response.
///
/// An HTTP library reads a body whose transfer coding it does not know up to the end of the
/// connection (RFC 9112, section 6.3), and passes its bytes on as they are. A request without `TE`
/// allows no coding but `chunked`.
///
/// # Errors
///
/// When the body may end at another byte than its server meant, or is in another coding.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), Fault> {
    if status.is_informational() || status.as_u16() >= STATUS_END {
        return Err(Fault::Status);
    }
    let coding = header::TRANSFER_ENCODING;
    let length = header::CONTENT_LENGTH;
    if headers.contains_key(&coding) {
        let is_only = only(headers, &coding).is_some_and(is_chunked);
        let is_clear = is_only && !headers.contains_key(&length);
        return is_clear.then_some(()).ok_or(Fault::Coding);
    }
    if headers.contains_key(&length) {
        let is_clear = only(headers, &length).is_some_and(is_number);
        return is_clear.then_some(()).ok_or(Fault::Length);
    }
    Ok(())
}

/// The value of a field that occurs once.
fn only<'a>(headers: &'a HeaderMap, name: &header::HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let first = values.next()?;
    values.next().is_none().then_some(first)
}

fn is_chunked(value: &HeaderValue) -> bool {
    let coding = value.as_bytes().trim_ascii();
    coding.eq_ignore_ascii_case(b"chunked")
}

fn is_number(value: &HeaderValue) -> bool {
    let digits = value.as_bytes().trim_ascii();
    !digits.is_empty() && digits.iter().all(u8::is_ascii_digit)
}
