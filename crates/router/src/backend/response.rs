//! Streaming of a backend server's response to the caller.

use bytes::Bytes;
use framing::{Format, Tracker};
use gateway::cutoff::Cutoff;
use hyper::{
    HeaderMap, Method, Response,
    body::{Frame, Incoming},
    header,
};
use tokio::{sync::mpsc, time};
use units::request;
use verdict::{Code, Refusal};
use wire::hop;

use super::{
    ATTEMPT_HEADER, Connection, Failure,
    relay::{self, Check, Mode, Resumed, Watchdog},
    silence::{Loss, Silence},
};
use crate::{
    owner,
    response::{self, Chunk, Upstream},
};

/// The final event of a complete stream.
const LAST_EVENT: &[u8] = b"data: [DONE]";
/// Headers that apply to a single connection.
const HOP_BY_HOP: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Checks the response head and starts the task that forwards the body.
///
/// # Errors
///
/// If the response belongs to another attempt.
pub fn start(
    permit: owner::Permit,
    connection: Connection,
    response: Response<Incoming>,
    open: &hop::Open,
    watchdog: Watchdog,
) -> Result<Upstream, Refusal> {
    let (head, body) = response.into_parts();
    // Forwarding the response to another request could disclose the data of one
    // workspace to another. The echoed attempt id reveals the mismatch. The
    // connection is dropped, since all later responses on it would be shifted
    // by one request as well.
    if !matches_attempt(&head.headers, permit.attempt()) {
        logging::event!(
            error,
            "answer_crossed",
            server = permit.server(),
            attempt = permit.attempt()
        );
        permit.finish(owner::Outcome::Failed, None);
        return Err(Refusal::may_have_run(
            Code::BadAnswer,
            "The backend server answered another request.",
        ));
    }
    let (chunks, receiver) = response::channel();
    let events = open.events && Format::of(&head.headers) == Format::EventStream;
    let forwarder = Forwarder {
        permit,
        connection,
        body,
        chunks,
        tracker: Tracker::new(&method(open), head.status, &head.headers),
        watchdog: Watchdog {
            mode: if events { watchdog.mode } else { Mode::Wait },
            // The caller may already have a part of the response.
            can_move: false,
            ..watchdog
        },
        cutoff: Cutoff::new(watchdog.deadline),
        tail: Tail::new(events),
        is_failure: head.status.is_server_error(),
        silence: Silence::default(),
    };
    tokio::spawn(forwarder.run());
    Ok(Upstream {
        status: head.status,
        headers: end_to_end(head.headers),
        body: receiver,
    })
}

fn method(open: &hop::Open) -> Method {
    // The request was sent with it, so it is valid.
    open.method.parse().unwrap_or_default()
}

fn matches_attempt(headers: &HeaderMap, attempt: request::Attempt) -> bool {
    let Some(value) = headers.get(ATTEMPT_HEADER) else {
        return true;
    };
    let echoed = value.to_str().ok().and_then(|text| text.parse().ok());
    echoed == Some(attempt)
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers
}

/// The last bytes of a response body. They show whether an engine has ended its
/// stream, and contain the token usage that it reports.
#[derive(Debug)]
struct Tail {
    events: bool,
    bytes: Vec<u8>,
}

impl Tail {
    /// Number of buffered bytes. It suffices for the last events of a stream, or
    /// the end of a JSON object.
    const LENGTH: usize = 512;

    fn new(events: bool) -> Self {
        Self {
            events,
            bytes: Vec::with_capacity(2 * Self::LENGTH),
        }
    }

    fn push(&mut self, chunk: &Bytes) {
        let start = chunk.len().saturating_sub(Self::LENGTH);
        self.bytes.extend_from_slice(&chunk[start..]);
        let excess = self.bytes.len().saturating_sub(Self::LENGTH);
        self.bytes.drain(..excess);
    }

    /// Returns whether the final event of a stream has been received, if there must be one.
    fn has_final_event(&self) -> bool {
        !self.events
            || self
                .bytes
                .windows(LAST_EVENT.len())
                .any(|window| window == LAST_EVENT)
    }

    /// Returns the token usage that the engine reported.
    fn usage(&self) -> Option<owner::Usage> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, usage) = text.rsplit_once("\"usage\"")?;
        Some(owner::Usage {
            prompt: number(usage, "prompt_tokens")?,
            cached: number(usage, "cached_tokens")?,
            output: number(usage, "completion_tokens")?,
        })
    }
}

/// Returns the number after the key `name` in the text of a JSON object.
fn number(object: &str, name: &str) -> Option<u32> {
    let (_, rest) = object.split_once(name)?;
    let rest = rest.trim_start_matches(['"', ':', ' ']);
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    rest[..end].parse().ok()
}

/// Forwards the body of one response.
struct Forwarder {
    permit: owner::Permit,
    connection: Connection,
    body: Incoming,
    chunks: mpsc::Sender<Chunk>,
    watchdog: Watchdog,
    cutoff: Cutoff,
    /// Decides whether the body is complete.
    tracker: Tracker,
    tail: Tail,
    /// Whether the server responds that it does not process the request.
    is_failure: bool,
    /// The checks of the server since the last progress.
    silence: Silence,
}

/// How a response body ended.
enum End {
    /// The body is complete.
    Complete,
    /// The caller disconnected.
    Cancelled,
    /// The body ended early.
    Failed(Refusal, owner::Outcome),
}

impl Forwarder {
    async fn run(mut self) {
        let end = self.forward().await;
        match end {
            End::Complete => {
                let connection = self.connection.is_usable().then_some(self.connection);
                self.permit.set_usage(self.tail.usage());
                // A server that rejects requests responds completely and at once. If that
                // counted as completed work, it would keep its chats and its limit would grow.
                let outcome = if self.is_failure {
                    owner::Outcome::Failed
                } else {
                    owner::Outcome::Completed
                };
                self.permit.finish(outcome, connection);
                // The receiver is dropped if the caller disconnected.
                let _ = self.chunks.send(Chunk::End).await;
            }
            End::Cancelled => self.permit.finish(owner::Outcome::Cancelled, None),
            End::Failed(refusal, outcome) => {
                logging::event!(
                    warn,
                    "answer_broken",
                    server = self.permit.server(),
                    attempt = self.permit.attempt(),
                    code = refusal.code
                );
                self.permit.finish(outcome, None);
                // The server need not wait for a caller that does not read.
                drop(self.body);
                drop(self.connection);
                // As above.
                let _ = self.chunks.send(Chunk::Broken(refusal)).await;
            }
        }
    }

    async fn forward(&mut self) -> End {
        loop {
            if self.cutoff.is_reached(self.watchdog.clock.now()) {
                return deadline_exceeded();
            }
            let frame = match self.receive().await {
                Ok(frame) => frame,
                Err(end) => return end,
            };
            match frame {
                Ok(Some(frame)) => {
                    let Ok(chunk) = frame.into_data() else {
                        continue;
                    };
                    self.permit.record_first_byte();
                    self.silence = Silence::default();
                    self.tail.push(&chunk);
                    let boundary = self.tracker.record(&chunk);
                    let count = self.tracker.forwardable(chunk.len(), boundary);
                    let data = Chunk::Data(chunk.slice(..count));
                    let sent = self.chunks.send(data);
                    match time::timeout_at(self.watchdog.at_deadline(), sent).await {
                        Ok(Ok(())) => {}
                        Ok(Err(_)) => return End::Cancelled,
                        Err(_) => return not_read(),
                    }
                }
                Ok(None) if self.is_complete() => return End::Complete,
                Ok(None) | Err(_) => return self.resume_or_fail().await,
            }
        }
    }

    /// Waits for the next part of the body, and checks the server while there is none.
    async fn receive(&mut self) -> Result<Result<Option<Frame<Bytes>>, Failure>, End> {
        loop {
            let resumed = {
                let frame = self.connection.frame(&mut self.body);
                tokio::pin!(frame);
                loop {
                    let checked = tokio::select! {
                        biased;
                        frame = &mut frame => return Ok(frame),
                        () = self.chunks.closed() => return Err(End::Cancelled),
                        checked = next_check(
                            &self.permit, &self.watchdog, &self.silence, &self.tracker
                        ) => checked,
                    };
                    let Some(check) = checked else {
                        return Err(deadline_exceeded());
                    };
                    if let Some(loss) = self.silence.record(&check, &self.watchdog) {
                        return Err(lost(loss));
                    }
                    if let Check::Resumed(resumed) = check {
                        break resumed;
                    }
                }
            };
            self.resume(*resumed);
        }
    }

    fn is_complete(&self) -> bool {
        self.tracker.end().is_ok() && self.tail.has_final_event()
    }

    /// Continues with the response to a resumption of the stream.
    fn resume(&mut self, resumed: Resumed) {
        let (head, body) = resumed.response.into_parts();
        self.tracker = self
            .tracker
            .resumed(&Method::GET, head.status, &head.headers);
        self.body = body;
        self.connection = resumed.connection;
    }

    /// Resumes an interrupted stream, or returns why it failed.
    async fn resume_or_fail(&mut self) -> End {
        if self.watchdog.mode == Mode::Resume && !self.tracker.is_inside_event() {
            let from = self.tracker.events();
            let checked = tokio::select! {
                checked = relay::resume(&self.permit, &self.watchdog, from) => checked,
                () = self.chunks.closed() => return End::Cancelled,
            };
            let Some(check) = checked else {
                return deadline_exceeded();
            };
            if let Check::Resumed(resumed) = check {
                self.resume(*resumed);
                // Resume at most once after an interruption: a server that
                // interrupts the stream at the same place again makes no progress.
                self.watchdog.mode = Mode::Wait;
                return Box::pin(self.forward()).await;
            }
        }
        let code = relay::classify_close(self.permit.address(), self.permit.boot()).await;
        let refusal = Refusal::may_have_run(code, "The answer was cut short.");
        End::Failed(refusal, owner::Outcome::Failed)
    }
}

/// Waits until the next check of a response is due, and checks its server.
/// Returns `None` if the deadline passed.
async fn next_check(
    permit: &owner::Permit,
    watchdog: &Watchdog,
    silence: &Silence,
    tracker: &Tracker,
) -> Option<Check> {
    // A stream cannot be resumed inside an event.
    if tracker.is_inside_event() {
        time::sleep_until(watchdog.at_deadline()).await;
        return None;
    }
    relay::next_check(permit, watchdog, silence, tracker.events()).await
}

fn deadline_exceeded() -> End {
    let refusal = Refusal::may_have_run(Code::Deadline, "The answer did not end by the deadline.");
    End::Failed(refusal, owner::Outcome::DeadlineExceeded)
}

fn not_read() -> End {
    let message = "The caller did not read the answer by the deadline.";
    let refusal = Refusal::may_have_run(Code::Deadline, message);
    End::Failed(refusal, owner::Outcome::Cancelled)
}

fn lost(loss: Loss) -> End {
    let (message, outcome) = match loss {
        Loss::Stalled => (
            "The connection to the backend server went silent.",
            owner::Outcome::Cancelled,
        ),
        Loss::Refused | Loss::Hung => (
            "The backend server stopped answering.",
            owner::Outcome::Unreachable,
        ),
    };
    End::Failed(Refusal::may_have_run(Code::BackendFailed, message), outcome)
}
