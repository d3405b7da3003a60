//! Responses to callers: heads, streamed bodies and the JSON of a refusal.

use std::{
    mem, pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use framing::{Delimiter, Format, Tracker};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Response, StatusCode,
    body::{Frame, SizeHint},
    header,
};
use once::Outcome;
use tokio::sync::mpsc;
use units::{request, time};
use verdict::{Code, Refusal};

use crate::{clock::Clock, completion::Reporter};

/// Number of body chunks that are buffered between the upstream and the caller.
///
/// A small buffer gives end-to-end backpressure: a slow caller slows down the
/// backend server instead of filling the router's memory.
const CHUNK_BUFFER: usize = 4;

/// The header that marks the replayed outcome of an earlier run of a request.
const REPLAYED_HEADER: header::HeaderName = header::HeaderName::from_static("x-weir-replayed");

/// A part of a response body.
///
/// A channel that closes without [`Chunk::End`] is the end of its sender, not of the body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes.
    Data(Bytes),
    /// The end of a complete body.
    End,
    /// The body ended early.
    Broken(Refusal),
}

/// The response of a backend server, with a streamed body.
#[derive(Debug)]
pub struct Upstream {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The chunks of the body.
    pub body: mpsc::Receiver<Chunk>,
}

/// Creates a channel for the chunks of a body.
pub fn channel() -> (mpsc::Sender<Chunk>, mpsc::Receiver<Chunk>) {
    mpsc::channel(CHUNK_BUFFER)
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A body that is completely in memory.
    Full(Full<Bytes>),
    /// A body that is streamed from a backend server.
    Stream(Box<Stream>),
}

/// A streamed body.
#[derive(Debug)]
pub struct Stream {
    chunks: mpsc::Receiver<Chunk>,
    state: State,
    tracker: Tracker,
    id: request::Id,
    reporter: Reporter,
}

/// Progress of a stream, and of reporting its error to the caller.
#[derive(Debug)]
enum State {
    /// The stream has not failed.
    Open,
    /// The error event was returned to the HTTP server, which has not written it yet.
    ErrorQueued(Refusal),
    /// The error event was written to the connection.
    ErrorFlushed(Refusal),
    /// The stream ended with an error, which resets the connection.
    Reset,
}

impl Body {
    /// Creates a body from bytes in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Creates a body that streams the response of a backend server.
    pub fn stream(
        upstream: Upstream,
        method: &Method,
        id: request::Id,
        reporter: Reporter,
    ) -> Self {
        // The owner sees what delimits the server's body and has judged its end by that.
        let tracker = Tracker::new(method, upstream.status, &upstream.headers).or_empty();
        Self::Stream(Box::new(Stream {
            tracker,
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
                // When a body fails, the HTTP server drops the data that it has
                // not written yet, so the caller would get a reset without the
                // error event. The server flushes its buffer when a body is
                // pending, so return `Pending` once before the error.
                self.state = State::ErrorFlushed(refusal);
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            State::ErrorFlushed(refusal) => return Poll::Ready(Some(Err(refusal))),
            State::Reset => return Poll::Ready(None),
        }
        match self.chunks.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Chunk::End)) => match self.tracker.end() {
                Ok(()) => {
                    self.reporter.completed();
                    Poll::Ready(None)
                }
                Err(truncation) => self.fail(truncated(&truncation.to_string())),
            },
            Poll::Ready(Some(Chunk::Data(bytes))) => {
                self.record(&bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(Chunk::Broken(refusal))) => self.fail(refusal),
            Poll::Ready(None) => self.fail(truncated("the router stopped forwarding it")),
        }
    }

    /// Records a chunk that is sent to the caller.
    ///
    /// The HTTP server stops polling a body once its content length is reached,
    /// so the completion of such a body is detected here.
    fn record(&mut self, bytes: &Bytes) {
        self.reporter.record_chunk(bytes);
        self.tracker.record(bytes);
        if self.tracker.is_exhausted() && self.tracker.end().is_ok() {
            self.reporter.completed();
        }
    }

    /// Whether an event with an error can follow what has been sent. Inside an event it would become
    /// a part of it, and within a declared length it would take the place of missing bytes.
    fn can_report_error(&self) -> bool {
        let has_length = matches!(self.tracker.delimiter(), Delimiter::Length(_));
        let is_event_stream = self.tracker.format() == Format::EventStream;
        is_event_stream && !has_length && !self.tracker.is_inside_event()
    }

    /// Ends a stream that failed.
    ///
    /// After a regular end, the caller would treat a truncated response as
    /// complete. Therefore the connection is reset, after a final event with the
    /// error if the body consists of server-sent events.
    fn fail(&mut self, refusal: Refusal) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        self.reporter.failed(&refusal);
        if !self.can_report_error() {
            return Poll::Ready(Some(Err(refusal)));
        }
        let event = format!("data: {}\n\n", json(&refusal, None, self.id));
        self.state = State::ErrorQueued(refusal);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }
}

fn truncated(reason: &str) -> Refusal {
    Refusal::may_have_run(
        Code::BackendFailed,
        format!("The answer broke off: {reason}."),
    )
}

/// Creates a response from the recorded outcome of an earlier run of the request.
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

/// Creates the error response for a refusal.
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

/// Returns the instant `millis` milliseconds from now, for the retry time of a
/// refusal.
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

/// Returns the HTTP status for the code of a refusal.
pub fn status(code: Code) -> StatusCode {
    match code {
        Code::Malformed | Code::MissingChat => StatusCode::BAD_REQUEST,
        Code::BadKey => StatusCode::UNAUTHORIZED,
        Code::UnknownWorkspace => StatusCode::FORBIDDEN,
        Code::UnknownRoute => StatusCode::NOT_FOUND,
        Code::SlowCaller => StatusCode::REQUEST_TIMEOUT,
        Code::ClaimTaken => StatusCode::CONFLICT,
        Code::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Code::Suspect | Code::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Code::Busy | Code::Cold | Code::WorkspaceLimit => StatusCode::TOO_MANY_REQUESTS,
        Code::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Code::NoServer
        | Code::VersionGone
        | Code::VersionUnknown
        | Code::NotReady
        | Code::ClaimUnavailable
        | Code::RetryBudget
        | Code::Moved => StatusCode::SERVICE_UNAVAILABLE,
        Code::BackendFailed | Code::BackendDied | Code::BadAnswer => StatusCode::BAD_GATEWAY,
        Code::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
