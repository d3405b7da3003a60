//! Final answers of the router's own.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Response, header};
use units::time::Instant;
use verdict::Refusal;

use crate::protocol::Protocol;

/// Writes a refusal as an answer.
///
/// The time to come back is given in seconds with a fraction, so that a short
/// wait is not rounded up to a whole second.
pub fn response<P: Protocol>(protocol: &P, refusal: &Refusal, now: Instant) -> Response<Bytes> {
    let body = format!("{}\n", refusal.message);
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = protocol.status(refusal);
    let headers = response.headers_mut();
    let text = header::HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    if let Some(at) = refusal.retry_at {
        retry_after(headers, at.since(now));
    }
    response
}

fn retry_after(headers: &mut HeaderMap, wait: Duration) {
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        headers.insert(header::RETRY_AFTER, value);
    }
}
