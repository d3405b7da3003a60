//! The answer of a backend server on its way to the caller.

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{HeaderMap, Response, body::Incoming, header};
use tokio::{sync::mpsc, time};
use units::request;
use verdict::{Code, Refusal};
use wire::hop;

use super::{
    ATTEMPT_HEADER, Connection,
    relay::{self, Mode, Silence, Watch},
};
use crate::{
    answer::{self, Answer, Events, Piece},
    owner,
};

/// The event that ends a whole stream.
const LAST_EVENT: &[u8] = b"data: [DONE]";
/// Headers that belong to one connection only.
const HOP_BY_HOP: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Checks the head of an answer and starts the task that passes its body on.
///
/// # Errors
///
/// When the answer belongs to another attempt.
pub fn start(
    permit: owner::Permit,
    connection: Connection,
    response: Response<Incoming>,
    open: &hop::Open,
    watch: Watch,
) -> Result<Answer, Refusal> {
    let (head, body) = response.into_parts();
    // An answer that was crossed with another one would show one workspace's
    // data to another. The echoed attempt gives it away; the connection is
    // dropped with it, since all its later answers would be off by one.
    if !echoes(&head.headers, permit.attempt()) {
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
    let (pieces, receiver) = answer::channel();
    let events = open.events && Events::of(&head.headers) == Events::Sent;
    let pump = Pump {
        permit,
        connection,
        body,
        pieces,
        watch: Watch {
            mode: if events { watch.mode } else { Mode::Wait },
            ..watch
        },
        tail: Tail::new(events),
        found_well: 0,
    };
    tokio::spawn(pump.run());
    Ok(Answer {
        status: head.status,
        headers: end_to_end(head.headers),
        body: receiver,
    })
}

fn echoes(headers: &HeaderMap, attempt: request::Attempt) -> bool {
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

/// The end of an answer, kept to tell a whole stream from a cut one and to
/// read what the engine says of its use of tokens.
#[derive(Debug)]
struct Tail {
    events: bool,
    seen: u64,
    bytes: Vec<u8>,
}

impl Tail {
    /// Bytes that are kept: the last events of a stream, or the end of an object.
    const LENGTH: usize = 512;

    fn new(events: bool) -> Self {
        Self {
            events,
            seen: 0,
            bytes: Vec::with_capacity(2 * Self::LENGTH),
        }
    }

    fn push(&mut self, piece: &Bytes) {
        if self.events {
            self.seen += count_events(&self.bytes, piece);
        }
        let start = piece.len().saturating_sub(Self::LENGTH);
        self.bytes.extend_from_slice(&piece[start..]);
        let excess = self.bytes.len().saturating_sub(Self::LENGTH);
        self.bytes.drain(..excess);
    }

    /// Whether all of the answer has been seen.
    fn is_whole(&self) -> bool {
        !self.events
            || self
                .bytes
                .windows(LAST_EVENT.len())
                .any(|window| window == LAST_EVENT)
    }

    /// What the engine says of its use of tokens.
    fn usage(&self) -> Option<owner::Usage> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, usage) = text.rsplit_once("\"usage\"")?;
        Some(owner::Usage {
            prompt: number(usage, "prompt_tokens")?,
            cached: number(usage, "cached_tokens")?,
            output: number(usage, "completion_tokens")?,
        })
    }

    /// Whether the stream may be resumed without a gap or a repeat.
    fn ends_with_event(&self) -> bool {
        self.bytes.is_empty() || self.bytes.ends_with(b"\n\n")
    }
}

/// The number that follows the key `name` in the text of an object.
fn number(object: &str, name: &str) -> Option<u32> {
    let (_, rest) = object.split_once(name)?;
    let rest = rest.trim_start_matches(['"', ':', ' ']);
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    rest[..end].parse().ok()
}

/// Counts the ends of events in `piece`, given the bytes before it.
fn count_events(before: &[u8], piece: &Bytes) -> u64 {
    let across = before.last() == Some(&b'\n') && !before.ends_with(b"\n\n");
    let first = across && piece.first() == Some(&b'\n');
    let within = piece.windows(2).filter(|pair| *pair == b"\n\n").count() as u64;
    within + u64::from(first)
}

/// Passes the body of one answer on.
struct Pump {
    permit: owner::Permit,
    connection: Connection,
    body: Incoming,
    pieces: mpsc::Sender<Piece>,
    watch: Watch,
    tail: Tail,
    /// How often the server was found well since the last progress.
    found_well: u32,
}

/// How the body of an answer ended.
enum End {
    /// It is whole.
    Whole,
    /// The caller has gone.
    Cancelled,
    /// It broke off.
    Broken(Refusal, owner::Outcome),
}

impl Pump {
    async fn run(mut self) {
        let end = self.pass().await;
        match end {
            End::Whole => {
                let connection = self.connection.is_usable().then_some(self.connection);
                self.permit.set_usage(self.tail.usage());
                self.permit.finish(owner::Outcome::Completed, connection);
            }
            End::Cancelled => self.permit.finish(owner::Outcome::Cancelled, None),
            End::Broken(refusal, outcome) => {
                logging::event!(
                    warn,
                    "answer_broken",
                    server = self.permit.server(),
                    attempt = self.permit.attempt(),
                    code = refusal.code
                );
                self.permit.finish(outcome, None);
                // The receiver may have gone meanwhile; then nobody waits.
                let _ = self.pieces.send(Err(refusal)).await;
            }
        }
    }

    async fn pass(&mut self) -> End {
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = self.pieces.closed() => return End::Cancelled,
                () = time::sleep_until(self.watch.examine_at()) => {
                    match self.examine().await {
                        Some(end) => return end,
                        None => continue,
                    }
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(piece) = frame.into_data() else {
                        continue;
                    };
                    self.permit.record_first_byte();
                    self.found_well = 0;
                    self.tail.push(&piece);
                    if self.pieces.send(Ok(piece)).await.is_err() {
                        return End::Cancelled;
                    }
                }
                Some(Err(_)) => return self.broken_off().await,
                None if self.tail.is_whole() => return End::Whole,
                None => return self.broken_off().await,
            }
        }
    }

    /// Examines a stream without progress; `None` lets it go on.
    async fn examine(&mut self) -> Option<End> {
        if self.watch.is_over() {
            let refusal =
                Refusal::may_have_run(Code::Deadline, "The answer did not end by the deadline.");
            return Some(End::Broken(refusal, owner::Outcome::DeadlineExceeded));
        }
        if !self.tail.ends_with_event() {
            return None;
        }
        match relay::examine_silence(&self.permit, &self.watch, self.tail.seen).await {
            Silence::Resumed(response) => {
                self.body = response.into_body();
                None
            }
            Silence::Well => {
                self.found_well += 1;
                self.watch.is_silent(self.found_well).then(|| {
                    let message = "The connection to the backend server went silent.";
                    let refusal = Refusal::may_have_run(Code::BackendFailed, message);
                    End::Broken(refusal, owner::Outcome::Cancelled)
                })
            }
            Silence::Dead => {
                let refusal = Refusal::may_have_run(
                    Code::BackendFailed,
                    "The backend server stopped answering.",
                );
                Some(End::Broken(refusal, owner::Outcome::Unreachable))
            }
        }
    }

    /// Resumes a stream that was cut, or explains why it cannot.
    async fn broken_off(&mut self) -> End {
        if self.watch.mode == Mode::Resume && self.tail.ends_with_event() {
            let silence = relay::examine_silence(&self.permit, &self.watch, self.tail.seen).await;
            if let Silence::Resumed(response) = silence {
                self.body = response.into_body();
                // One resumption for each cut: a server that cuts again at the
                // same place makes no progress and is left.
                self.watch.mode = Mode::Wait;
                return Box::pin(self.pass()).await;
            }
        }
        let code = relay::examine_closed(self.permit.address(), self.permit.boot()).await;
        let refusal = Refusal::may_have_run(code, "The answer was cut short.");
        End::Broken(refusal, owner::Outcome::Failed)
    }
}
