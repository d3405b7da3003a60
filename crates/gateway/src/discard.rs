//! Reads and discards what callers still send after their refusal.
//!
//! When a connection is closed while bytes on it are unread, the kernel resets it. A caller that
//! still sends, or whose path holds bytes back, may then lose the refusal.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    body::{Body as _, Incoming},
    header,
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use units::time::Instant;

use crate::{activity, clock::Clock, metrics::Metrics, protocol::Protocol, serve::Context};

/// The fewest bytes up to which the rest of a refused request is read. A body that the limit of
/// the configuration allows is always read to its end.
pub const MIN_BYTES: u64 = 16 * 1024 * 1024;
/// How long the rest of a refused request is read.
pub const TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may bring no part of its body meanwhile.
pub const SILENCE: Duration = Duration::from_secs(2);
/// One connection in this many may be read on at once after a refusal, so that refused callers
/// leave connections to others.
pub const CONNECTIONS_PER_READER: usize = 2;
/// The size of the buffer for bytes that are not parsed, in bytes.
const BUFFER: usize = 4 * 1024;

/// How reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The request was read to its end, and the connection is kept.
    Whole,
    /// The caller closed the connection.
    Closed,
    /// The connection broke, or the rest of the body was malformed.
    Broken,
    /// The caller brought no part of its body for [`SILENCE`].
    Silent,
    /// [`TIMEOUT`] had passed.
    Late,
    /// The rest was longer than what is read.
    TooLong,
    /// Too many connections were read already, so nothing was.
    Crowded,
}

impl End {
    /// The name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Closed => "closed",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Late => "late",
            Self::TooLong => "too_long",
            Self::Crowded => "crowded",
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// How many connections may be read on at once.
#[derive(Clone, Debug)]
pub struct Room(Arc<Semaphore>);

impl Room {
    /// The room of a router with `connections` connections of callers.
    pub fn new(connections: usize) -> Self {
        let readers = (connections / CONNECTIONS_PER_READER).max(1);
        Self(Arc::new(Semaphore::new(readers)))
    }
}

/// The unread rest of a refused request.
#[derive(Debug)]
pub struct Unread {
    /// The id of the request.
    request: String,
    body: Incoming,
    /// Whether the connection is closed after the refusal.
    closes: bool,
    most: u64,
}

impl Unread {
    /// The rest of a request with the id `request`, if any is left.
    ///
    /// `limit` is the most bytes of a body that the configuration allows.
    pub fn new(request: &str, body: Incoming, headers: &HeaderMap, limit: u64) -> Option<Self> {
        let is_ended = body.is_end_stream();
        (!is_ended).then(|| Self {
            request: String::from(request),
            body,
            // Such a caller may or may not send its body after a refusal.
            closes: headers.contains_key(header::EXPECT),
            most: limit.max(MIN_BYTES),
        })
    }

    /// Has the connection closed after the refusal.
    pub fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Reads and discards the rest after the refusal. Returns whether the connection is kept.
    pub fn discard<P: Protocol>(self, context: &Arc<Context<P>>, guard: activity::Guard) -> bool {
        let is_longer = self.body.size_hint().lower() > self.most;
        let discard = Discard::new(context, self.request, self.most);
        if self.closes || is_longer {
            guard.discard_at_end(discard);
            return false;
        }
        if discard.permit.is_none() {
            discard.log(End::Crowded);
            return false;
        }
        // The framing of a body in chunks of usual lengths is shorter than the body.
        guard.allowance().set(self.most.saturating_mul(2));
        let body = Body {
            body: self.body,
            guard,
        };
        tokio::spawn(discard.run(body));
        true
    }
}

/// The discarding of one request's rest.
#[derive(Debug)]
pub struct Discard {
    request: String,
    bytes: u64,
    most: u64,
    began: Instant,
    clock: Clock,
    metrics: Arc<Metrics>,
    /// `None` if too many connections are read on already.
    permit: Option<OwnedSemaphorePermit>,
}

impl Discard {
    /// Prepares to discard up to `most` bytes of `request`.
    pub fn new<P>(context: &Context<P>, request: String, most: u64) -> Self {
        Self {
            request,
            bytes: 0,
            most,
            began: context.clock.now(),
            clock: context.clock,
            metrics: Arc::clone(&context.metrics),
            permit: Arc::clone(&context.discards.0).try_acquire_owned().ok(),
        }
    }

    /// Reads and discards from `source` within the bounds, then logs how it ended.
    pub async fn run(mut self, source: impl Source) {
        let end = match self.permit {
            Some(_) => self.read(source).await,
            None => End::Crowded,
        };
        self.log(end);
    }

    async fn read(&mut self, mut source: impl Source) -> End {
        let deadline = self.began + TIMEOUT;
        loop {
            let now = self.clock.now();
            if now >= deadline {
                return End::Late;
            }
            let until = deadline.min(now + SILENCE);
            match time::timeout_at(self.clock.at(until), source.next()).await {
                Ok(Ok(Some(count))) => self.bytes += count as u64,
                Ok(Ok(None)) => return source.end(),
                Ok(Err(end)) => return end,
                Err(_) if until == deadline => return End::Late,
                Err(_) => return End::Silent,
            }
            if self.bytes > self.most {
                return End::TooLong;
            }
        }
    }

    fn log(&self, end: End) {
        let held = self.clock.now().since(self.began);
        logging::event!(
            info,
            "rest_discarded",
            request = self.request,
            bytes = self.bytes,
            end = end,
            held_ms = held.as_millis()
        );
        self.metrics.rest_discarded(end, self.bytes);
    }
}

/// What a caller still sends.
pub trait Source: Send {
    /// The length of the next bytes; `None` at the end.
    fn next(&mut self) -> impl Future<Output = Result<Option<usize>, End>> + Send;

    /// What the end of the bytes stands for.
    fn end(&self) -> End;
}

/// The rest of a body on a connection that is kept.
struct Body {
    body: Incoming,
    guard: activity::Guard,
}

impl Source for Body {
    async fn next(&mut self) -> Result<Option<usize>, End> {
        let frame = tokio::select! {
            frame = self.body.frame() => frame,
            () = self.guard.allowance().used_up() => return Err(End::TooLong),
        };
        match frame {
            Some(Ok(frame)) => Ok(Some(frame.data_ref().map_or(0, Bytes::len))),
            // The error only tells how the connection broke.
            Some(Err(_)) => Err(End::Broken),
            None => Ok(None),
        }
    }

    fn end(&self) -> End {
        End::Whole
    }
}

impl Source for &mut TcpStream {
    async fn next(&mut self) -> Result<Option<usize>, End> {
        let count = self.read(&mut [0; BUFFER]).await;
        // The error only tells how the connection broke.
        let count = count.map_err(|_| End::Broken)?;
        Ok((count > 0).then_some(count))
    }

    fn end(&self) -> End {
        End::Closed
    }
}
