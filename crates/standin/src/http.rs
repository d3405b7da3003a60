//! HTTP requests, responses and bodies of the stand-ins.

use std::{
    error, fmt, pin, str,
    task::{self, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{StatusCode, body, header};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::mpsc;

/// A request as received by hyper.
pub type Request = hyper::Request<body::Incoming>;

/// A response of a stand-in.
pub type Response = hyper::Response<Body>;

/// The connection closes before the response is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection closed before the response was complete")
    }
}

impl error::Error for Disconnected {}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// The complete body, until it has been sent.
    Full(Option<Bytes>),
    /// A body sent in chunks; an error closes the connection.
    Stream(mpsc::Receiver<Result<Bytes, Disconnected>>),
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Disconnected;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<body::Frame<Bytes>, Disconnected>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(body::Frame::data(b)))),
            Self::Stream(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|p| p.map(body::Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Full(bytes) => {
                body::SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// A response with `value` as its JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("the stand-ins' own types have string keys");
    let mut response = Response::new(Body::Full(Some(Bytes::from(text))));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}

/// A response with a JSON body and its entity tag, or 304 if `if-none-match` has the same tag.
pub fn json_with_etag(request: &Request, value: &impl Serialize) -> Response {
    let mut response = json(StatusCode::OK, value);
    let Body::Full(Some(body)) = response.body() else {
        return response;
    };
    let tag = format!("\"{:016x}\"", xxhash_rust::xxh3::xxh3_64(body));
    if header(request, "if-none-match") == Some(&tag) {
        *response.body_mut() = Body::Full(None);
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        response.headers_mut().remove(header::CONTENT_TYPE);
    }
    if let Ok(value) = header::HeaderValue::from_str(&tag) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

/// An error response with `message` in its JSON body.
pub fn error(status: StatusCode, message: &str) -> Response {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// A response that streams server-sent events.
pub fn event_stream(chunks: mpsc::Receiver<Result<Bytes, Disconnected>>) -> Response {
    let mut response = Response::new(Body::Stream(chunks));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// Reads the complete body of `request`.
///
/// # Errors
///
/// [`Disconnected`] if the client disconnects before the end of the body.
pub async fn read_body(request: Request) -> Result<Bytes, Disconnected> {
    let body = request.into_body().collect().await;
    body.map(|collected| collected.to_bytes())
        .map_err(|_| Disconnected)
}

/// Reads the body of `request` as JSON; the inner error is the response to a malformed body.
///
/// # Errors
///
/// [`Disconnected`] if the client disconnects before the end of the body.
pub async fn read_json<T: DeserializeOwned>(
    request: Request,
) -> Result<Result<T, Response>, Disconnected> {
    let text = read_body(request).await?;
    let value = serde_json::from_slice(&text);
    Ok(value.map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// The value of the header `name`, if it is present and valid text.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// The percent-decoded value of the query parameter `name`.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    Some(percent_decode(value))
}

/// The query parameter `name` as a number, or `default` if it is absent or invalid.
pub fn numeric_parameter<T: str::FromStr>(request: &Request, name: &str, default: T) -> T {
    query_parameter(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Percent-decodes `text`; invalid escapes are left unchanged.
pub fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let code = tail.get(..2).filter(|_| first == b'%');
        let byte = code
            .and_then(|code| str::from_utf8(code).ok())
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        bytes.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
