//! Sending a request once and checking its response.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode, body, header};
use serde::Deserialize;

use crate::{
    client::{Connection, Failure, Pool},
    outcome::{Outcome, Refusal, Usage},
    traffic,
};

/// A request that can be sent several times, and its expected response.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Headers, except for the request ID and the host, which differ between attempts.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Expected response.
    pub expected: Expected,
}

/// Expected response to a request.
#[derive(Clone, Debug)]
pub enum Expected {
    /// A chat completion as a stream of server-sent events, with its text.
    Stream(String),
    /// A chat completion in one piece, with its text.
    Completion(String),
    /// A confirmation by a plain service, with its text.
    Confirmation(String),
}

/// One attempt to send a call and its result.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// When the first token was received; for a response in one piece, when all of it was.
    pub first_token: Option<Instant>,
    /// Whether any part of the request was sent.
    pub was_sent: bool,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

#[derive(Deserialize)]
struct Content {
    content: String,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Content>,
    message: Option<Content>,
}

/// A chat completion, one chunk of a streamed chat completion, or a refusal within a stream.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    error: Option<Refusal>,
}

#[derive(Deserialize)]
struct ConfirmationBody {
    confirmation: String,
}

impl Call {
    /// Sends the call once to `address` and reads the complete response.
    ///
    /// The routers log the request under `id`, which has 16 hexadecimal digits.
    pub async fn send(&self, id: &str, pool: &Pool, address: std::net::SocketAddr) -> Attempt {
        let exchange = match pool.send(address, self.request(id, address)).await {
            Ok(exchange) => exchange,
            Err(Failure::Unreached(reason)) => return Attempt::failed(reason, false),
            Err(Failure::Broken(reason)) => return Attempt::failed(reason, true),
        };
        let (response, connection) = exchange.split();
        let (head, body) = response.into_parts();
        let is_stream = matches!(self.expected, Expected::Stream(_));
        if head.status == StatusCode::OK && is_stream {
            return self.read_stream(body, pool, connection).await;
        }
        match body.collect().await {
            Ok(collected) => {
                pool.release(connection);
                self.read_body(head.status, &collected.to_bytes())
            }
            Err(error) => Attempt::failed(error.to_string(), true),
        }
    }

    fn request(&self, id: &str, address: std::net::SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.path.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        traffic::add_header(request.headers_mut(), "x-request-id", id);
        if let Ok(host) = header::HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }

    fn read_body(&self, status: StatusCode, body: &[u8]) -> Attempt {
        let outcome = if status == StatusCode::OK {
            self.check_body(body)
        } else {
            refusal(status, body)
        };
        Attempt {
            outcome,
            first_token: Some(Instant::now()),
            was_sent: true,
        }
    }

    fn check_body(&self, body: &[u8]) -> Outcome {
        match &self.expected {
            Expected::Confirmation(expected) => {
                let received = serde_json::from_slice::<ConfirmationBody>(body);
                check_text(
                    expected,
                    received.map(|body| body.confirmation).ok(),
                    Usage::default(),
                )
            }
            Expected::Completion(expected) | Expected::Stream(expected) => {
                let Ok(mut chunk) = serde_json::from_slice::<Chunk>(body) else {
                    return Outcome::Wrong(excerpt(body));
                };
                let message = chunk.choices.pop().and_then(|choice| choice.message);
                let usage = chunk.usage.unwrap_or_default();
                check_text(expected, message.map(|m| m.content), usage)
            }
        }
    }

    async fn read_stream(
        &self,
        body: body::Incoming,
        pool: &Pool,
        connection: Connection,
    ) -> Attempt {
        let mut stream = Stream::default();
        let read = stream.read(body).await;
        let outcome = match (stream.refusal, read) {
            (Some(refusal), _) => Outcome::Refused(refusal),
            (None, Err(error)) => Outcome::Lost(format!("stream broke: {error}")),
            (None, Ok(())) if !stream.is_done => {
                Outcome::Lost(String::from("stream ended without [DONE]"))
            }
            (None, Ok(())) => {
                pool.release(connection);
                let Expected::Stream(expected) = &self.expected else {
                    return Attempt::failed(
                        String::from("received a stream although none was requested"),
                        true,
                    );
                };
                check_text(expected, Some(stream.text), stream.usage)
            }
        };
        Attempt {
            outcome,
            first_token: stream.first_token,
            was_sent: true,
        }
    }
}

impl Attempt {
    /// An attempt without a complete response.
    pub fn failed(reason: String, was_sent: bool) -> Self {
        Self {
            outcome: Outcome::Lost(reason),
            first_token: None,
            was_sent,
        }
    }
}

/// State of a partially read stream of server-sent events.
#[derive(Default)]
struct Stream {
    buffer: BytesMut,
    text: String,
    usage: Usage,
    refusal: Option<Refusal>,
    is_done: bool,
    first_token: Option<Instant>,
}

impl Stream {
    async fn read(&mut self, mut body: body::Incoming) -> Result<(), String> {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| e.to_string())?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
                self.apply_events()?;
            }
        }
        Ok(())
    }

    fn apply_events(&mut self) -> Result<(), String> {
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buffer.split_to(end + 2);
            let data = event.strip_prefix(b"data: ").unwrap_or(&event);
            self.apply_event(data.trim_ascii())?;
        }
        Ok(())
    }

    fn apply_event(&mut self, data: &[u8]) -> Result<(), String> {
        if data == b"[DONE]" {
            self.is_done = true;
            return Ok(());
        }
        let chunk = serde_json::from_slice::<Chunk>(data).map_err(|e| e.to_string())?;
        for delta in chunk.choices.into_iter().filter_map(|choice| choice.delta) {
            self.first_token.get_or_insert_with(Instant::now);
            self.text.push_str(&delta.content);
        }
        self.usage = chunk.usage.unwrap_or(self.usage);
        self.refusal = chunk.error.or(self.refusal.take());
        Ok(())
    }
}

/// Compares the received text with the expected text.
fn check_text(expected: &str, received: Option<String>, usage: Usage) -> Outcome {
    match received {
        Some(received) if received == expected => Outcome::Served(usage),
        received => Outcome::Wrong(format!(
            "expected {:?}, got {:?}",
            excerpt(expected.as_bytes()),
            excerpt(received.unwrap_or_default().as_bytes())
        )),
    }
}

/// Parses the refusal in a response body. Without one, the request counts as lost, because the
/// caller cannot know whether it ran.
fn refusal(status: StatusCode, body: &[u8]) -> Outcome {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => Outcome::Refused(body.error),
        Err(_) => Outcome::Lost(format!(
            "status {status} without a verdict: {}",
            excerpt(body)
        )),
    }
}

/// First characters of `text`, for a report.
fn excerpt(text: &[u8]) -> String {
    const MAX_CHARS: usize = 80;
    let text = String::from_utf8_lossy(text);
    text.chars().take(MAX_CHARS).collect()
}
