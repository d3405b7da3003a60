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

use crate::{clock::Clock, trace::Trace};

/// How many pieces of a body are held between its reader and its writer.
///
/// A small number keeps the backpressure end to end: a slow caller slows down
/// the backend server instead of filling the router's memory.
const PIECES: usize = 4;

/// The header that marks the repeated outcome of a request that ran before.
const REPLAYED: header::HeaderName = header::HeaderName::from_static("x-weir-replayed");

/// A piece of an answer's body, or why it broke off.
pub type Piece = Result<Bytes, Refusal>;

/// The answer of a backend server, streamed.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, hop-by-hop ones removed.
    pub headers: HeaderMap,
    /// The body.
    pub body: mpsc::Receiver<Piece>,
}

/// A channel for the pieces of a body.
pub fn channel() -> (mpsc::Sender<Piece>, mpsc::Receiver<Piece>) {
    mpsc::channel(PIECES)
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// It is held whole.
    Whole(Full<Bytes>),
    /// It arrives in pieces.
    Stream(Box<Stream>),
}

/// A streamed body.
#[derive(Debug)]
pub struct Stream {
    pieces: mpsc::Receiver<Piece>,
    events: Events,
    end: End,
    /// Bytes that are still to come, where the length was announced.
    left: Option<u64>,
    id: request::Id,
    trace: Trace,
}

/// How far a stream that broke off has come.
#[derive(Debug)]
enum End {
    /// It has not broken off.
    Open,
    /// Its last event was handed on and has to leave the process yet.
    Told(Refusal),
    /// Its last event has left.
    Flushed(Refusal),
    /// It was reset.
    Reset,
}

/// Whether a stream consists of server-sent events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Events {
    /// It does: an error can be told in a last event.
    Sent,
    /// It does not.
    None,
}

impl Events {
    /// What an answer with these headers consists of.
    pub fn of(headers: &HeaderMap) -> Self {
        let content_type = headers.get(header::CONTENT_TYPE);
        let text = content_type.and_then(|value| value.to_str().ok());
        match text {
            Some(text) if text.starts_with("text/event-stream") => Self::Sent,
            _ => Self::None,
        }
    }
}

impl Body {
    /// A body that is held whole.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }

    /// The body of an answer that arrives in pieces.
    pub fn stream(answer: Answer, id: request::Id, trace: Trace) -> Self {
        let length = answer.headers.get(header::CONTENT_LENGTH);
        Self::Stream(Box::new(Stream {
            events: Events::of(&answer.headers),
            left: length.and_then(|value| value.to_str().ok()?.parse().ok()),
            pieces: answer.body,
            end: End::Open,
            id,
            trace,
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
            Self::Whole(full) => pin::Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

impl Stream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        match mem::replace(&mut self.end, End::Reset) {
            End::Open => self.end = End::Open,
            End::Told(refusal) => {
                // The server drops what it has not written yet when a body
                // fails, and the caller would see a bare reset. It writes
                // everything out whenever a body is not ready.
                self.end = End::Flushed(refusal);
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            End::Flushed(refusal) => return Poll::Ready(Some(Err(refusal))),
            End::Reset => return Poll::Ready(None),
        }
        match self.pieces.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => {
                self.trace.completed();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Ok(bytes))) => {
                self.pass(&bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(Err(refusal))) => self.fail(refusal),
        }
    }

    /// Notes a piece that goes to the caller.
    ///
    /// The server does not ask for more once the announced length has passed,
    /// so the end of such a body is noticed here.
    fn pass(&mut self, bytes: &Bytes) {
        self.trace.piece(bytes);
        self.left = self
            .left
            .map(|left| left.saturating_sub(bytes.len() as u64));
        if self.left == Some(0) {
            self.trace.completed();
        }
    }

    /// Ends a stream that broke off.
    ///
    /// A caller that sees a clean end takes half an answer for the whole one.
    /// So the error goes out as a last event where there are events, and the
    /// connection is reset after it in any case.
    fn fail(&mut self, refusal: Refusal) -> Poll<Option<Result<Frame<Bytes>, Refusal>>> {
        self.trace.broken(&refusal);
        if self.events == Events::None {
            return Poll::Ready(Some(Err(refusal)));
        }
        let event = format!("data: {}\n\n", json(&refusal, None, self.id));
        self.end = End::Told(refusal);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
    }
}

/// The response that repeats the recorded outcome of a request that ran before.
pub fn replay(outcome: Outcome) -> Response<Body> {
    let mut response = Response::new(Body::whole(outcome.body.unwrap_or_default()));
    if let Ok(status) = StatusCode::from_u16(outcome.status) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    let content_type = outcome.content_type.unwrap_or_default();
    if let Ok(value) = header::HeaderValue::from_str(&content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED, header::HeaderValue::from_static("true"));
    response
}

/// The response that tells a caller of a refusal.
pub fn refuse(refusal: &Refusal, id: request::Id, clock: &Clock) -> Response<Body> {
    let retry_after = refusal
        .retry_at
        .map(|instant| whole_seconds(instant.since(clock.now())));
    let mut response = Response::new(Body::whole(json(refusal, retry_after, id)));
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
pub fn come_back(clock: &Clock, millis: u64) -> time::Instant {
    clock.now() + Duration::from_millis(millis)
}

fn whole_seconds(wait: Duration) -> u64 {
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
