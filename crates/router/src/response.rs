//! Answers: their heads, their streamed bodies and the JSON of a refusal.

use std::{
    mem, pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Frame, SizeHint},
    header,
};
use once::Outcome;
use tokio::sync::mpsc;
use units::{request, time};
use verdict::{Code, Refusal};

use crate::{clock::Clock, completion::Reporter};

/// How many pieces of a body are held between its reader and its writer.
///
/// A small number keeps the backpressure end to end: a slow caller slows down
/// the backend server instead of filling the router's memory.
const CHUNK_BUFFER: usize = 4;

/// The header that marks the repeated outcome of a request that ran before.
const REPLAYED_HEADER: header::HeaderName = header::HeaderName::from_static("x-weir-replayed");

/// A piece of an answer's body, or why it broke off.
pub type Chunk = Result<Bytes, Refusal>;

/// The answer of a backend server, streamed.
#[derive(Debug)]
pub struct Upstream {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, hop-by-hop ones removed.
    pub headers: HeaderMap,
    /// The body.
    pub body: mpsc::Receiver<Chunk>,
}

/// A channel for the pieces of a body.
pub fn channel() -> (mpsc::Sender<Chunk>, mpsc::Receiver<Chunk>) {
    mpsc::channel(CHUNK_BUFFER)
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// It is held whole.
    Full(Full<Bytes>),
    /// It arrives in pieces.
    Stream(Box<Stream>),
}

/// A streamed body.
#[derive(Debug)]
pub struct Stream {
    chunks: mpsc::Receiver<Chunk>,
    format: Format,
    state: State,
    /// Bytes that are still to come, where the length was announced.
    remaining: Option<u64>,
    id: request::Id,
    reporter: Reporter,
}

/// How far a stream that broke off has come.
#[derive(Debug)]
enum State {
    /// It has not broken off.
    Open,
    /// Its last event was handed on and has to leave the process yet.
    ErrorQueued(Refusal),
    /// Its last event has left.
    ErrorFlushed(Refusal),
    /// It was reset.
    Reset,
}

/// Whether a stream consists of server-sent events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// It does: an error can be told in a last event.
    EventStream,
    /// It does not.
    Other,
}

impl Format {
    /// What an answer with these headers consists of.
    pub fn of(headers: &HeaderMap) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let text = content_type.and_then(|value| value.to_str().ok());
        match text {
            Some(text) if text.starts_with("text/event-stream") => Self::EventStream,
            _ => Self::Other,
        }
    }
}

impl Body {
    /// A body that is held whole.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// The body of an answer that arrives in pieces.
    pub fn stream(upstream: Upstream, id: request::Id, reporter: Reporter) -> Self {
        let length = upstream.headers.get(header::CONTENT_LENGTH);
        Self::Stream(Box::new(Stream {
            format: Format::of(&upstream.headers),
            remaining: length.and_then(|value| value.to_str().ok()?.parse().ok()),
            chunks: upstream.body,
            state: State::Open,
            id,
            reporter,
        }))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Refusal;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        match self.get_mut() {
            Self::Full(full) => pin::Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

impl Stream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        match mem::replace(&mut self.state, State::Reset) {
            State::Open => self.state = State::Open,
            State::ErrorQueued(refusal) => {
                // The server drops what it has not written yet when a body
                // fails, and the caller would see a bare reset. It writes
                // everything out whenever a body is not ready.
                self.state = State::ErrorFlushed(refusal);
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            State::ErrorFlushed(refusal) => return Poll::Ready(Some(Err(refusal))),
            State::Reset => return Poll::Ready(None),
        }
        match self.chunks.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.reporter.completed();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(bytes))) => {
                self.record(&bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(Err(refusal))) => self.fail(refusal),
        }
    }

    /// Notes a piece that goes to the caller.
    ///
    /// The server does not ask for more once the announced length has passed,
    /// so the end of such a body is noticed here.
    fn record(&mut self, bytes: &Bytes) {
        self.reporter.record_chunk(bytes);
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        if self.remaining == Some(0) {
            self.reporter.completed();
        }
    }

    /// Ends a stream that broke off.
    ///
    /// A caller that sees a clean end takes half an answer for the whole one.
    /// So the error goes out as a last event where there are events, and the
    /// connection is reset after it in any case.
    fn fail(&mut self, refusal: Refusal) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        self.reporter.failed(&refusal);
        if self.format == Format::Other {
            return Poll::Ready(Some(Err(refusal)));
        }
        let event = format!("data: {}\n\n", json(&refusal, None, self.id));
        self.state = State::ErrorQueued(refusal);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }
}

/// The response that repeats the recorded outcome of a request that ran before.
pub fn replay(outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(Body::full(outcome.body.unwrap_or_default()));
    if let Ok(status) = StatusCode::from_u16(outcome.status) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    let content_type = outcome.content_type.unwrap_or_default();
    if let Ok(value) = header::HeaderValue::from_str(&content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED_HEADER, header::HeaderValue::from_static("true"));
    response
}

/// The response that tells a caller of a refusal.
pub fn refuse(refusal: &Refusal, id: request::Id, clock: &Clock) -> Response<Body> {
    let retry_after = refusal
        .retry_at
        .map(|instant| round_up_to_seconds(instant.since(clock.now())));
    let mut response = Response::new(Body::full(json(refusal, retry_after, id)));
    *response.status_mut() = status(refusal.code);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Some(seconds) = retry_after {
        headers.insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    }
    response
}

/// The instant `millis` milliseconds from now, for a refusal.
pub fn retry_instant(clock: &Clock, millis: u64) -> time::Instant {
    clock.now() + Duration::from_millis(millis)
}

fn round_up_to_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn json(refusal: &Refusal, retry_after: Option<u64>, id: request::Id) -> String {
    let mut error = serde_json::json!({
        "code": refusal.code,
        "message": refusal.message,
        "verdict": refusal.verdict,
        "request_id": id.to_string(),
    });
    if let Some(seconds) = retry_after {
        error["retry_after"] = seconds.into();
    }
    serde_json::json!({ "error": error }).to_string()
}

/// The HTTP status for a refusal's code.
pub fn status(code: Code) -> StatusCode {
    match code {
        Code::Malformed | Code::MissingChat => StatusCode::BAD_REQUEST,
        Code::BadKey => StatusCode::UNAUTHORIZED,
        Code::UnknownWorkspace => StatusCode::FORBIDDEN,
        Code::UnknownRoute => StatusCode::NOT_FOUND,
        Code::SlowCaller => StatusCode::REQUEST_TIMEOUT,
        Code::ClaimTaken => StatusCode::CONFLICT,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::Suspect => StatusCode::UNPROCESSABLE_ENTITY,
        Code::Busy | Code::Cold | Code::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        Code::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Code::NoServer
        | Code::NotReady
        | Code::ClaimUnavailable
        | Code::RetryBudget
        | Code::Moved => StatusCode::SERVICE_UNAVAILABLE,
        Code::BackendFailed | Code::BackendDied | Code::BadAnswer => StatusCode::BAD_GATEWAY,
        Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
