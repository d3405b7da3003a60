//! Requests, answers and bodies of the stand-ins.

use std::{
    error, fmt, pin, str,
    task::{self, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{StatusCode, body, header};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::mpsc;

/// A request as hyper hands it over.
pub type Request = hyper::Request<body::Incoming>;

/// An answer of a stand-in.
pub type Response = hyper::Response<Body>;

/// The connection ends without an answer, or in the middle of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

impl fmt::Display for Disconnected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was cut on purpose")
    }
}

impl error::Error for Disconnected {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it at once.
    Full(Option<Bytes>),
    /// Piece by piece; an error cuts the connection.
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

/// An answer whose body is `value` as JSON.
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

/// An answer with a JSON body and its entity tag, or 304 when the caller has it.
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

/// An error answer.
pub fn error(status: StatusCode, message: &str) -> Response {
    json(
        status,
        &serde_json::json!({ "error": { "message": message } }),
    )
}

/// An answer of server-sent events.
pub fn event_stream(chunks: mpsc::Receiver<Result<Bytes, Disconnected>>) -> Response {
    let mut response = Response::new(Body::Stream(chunks));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// Reads the whole body of `request`.
///
/// # Errors
///
/// [`Disconnected`] when the caller vanished.
pub async fn read_body(request: Request) -> Result<Bytes, Disconnected> {
    let body = request.into_body().collect().await;
    body.map(|collected| collected.to_bytes())
        .map_err(|_| Disconnected)
}

/// Reads the body of `request` as JSON; the inner error is the answer to a malformed one.
///
/// # Errors
///
/// [`Disconnected`] when the caller vanished.
pub async fn read_json<T: DeserializeOwned>(
    request: Request,
) -> Result<Result<T, Response>, Disconnected> {
    let text = read_body(request).await?;
    let value = serde_json::from_slice(&text);
    Ok(value.map_err(|e| error(StatusCode::BAD_REQUEST, &e.to_string())))
}

/// The value of the header `name`, if it is readable text.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// The value of the parameter `name` in the query, with `%XX` decoded.
pub fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let pairs = request.uri().query()?.split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1;
    Some(percent_decode(value))
}

/// The parameter `name` as a number, or `default`.
pub fn numeric_parameter<T: str::FromStr>(request: &Request, name: &str, default: T) -> T {
    query_parameter(request, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// `text` with `%XX` decoded; what is not valid stays as it is.
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
