//! Responses for refused requests.

use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Response, header};
use units::time::Instant;
use verdict::Refusal;

use crate::protocol::Protocol;

/// Creates the response for a refusal.
///
/// The `Retry-After` value is a decimal fraction of seconds, so that a short delay is not
/// rounded up to a whole second.
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

/// Encodes a response after which the connection is closed.
///
/// It is used for incomplete requests, for which the HTTP library would only close the
/// connection.
pub fn closing_response(response: Response<Bytes>) -> Vec<u8> {
    let (head, body) = response.into_parts();
    let mut bytes = format!("HTTP/1.1 {}\r\n", head.status).into_bytes();
    for (name, value) in &head.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let rest = format!(
        "content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    bytes.extend_from_slice(rest.as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

fn retry_after(headers: &mut HeaderMap, wait: Duration) {
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        headers.insert(header::RETRY_AFTER, value);
    }
}
