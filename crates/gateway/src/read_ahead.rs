//! Reads responses from their servers ahead of callers that read slowly.
//!
//! A server cuts off a response that stays unread. So while a caller takes nothing, the task of its
//! connection goes on reading the response, for as long as the budget of held bytes has room.
//! Reading stops only between two pieces of a response: a piece that is waited for is received.

use std::{
    collections::VecDeque,
    convert::Infallible,
    future, mem, pin,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use buffers::{Charge, Denied, Share};
use bytes::Bytes;
use futures_util::Stream;
use hyper::body::{self, Frame};
use tokio::time;

/// The most bytes that are read from a server at once. Each response may hold as much in any case:
/// with less, it could not go on at all.
pub const MAX_READ: usize = 16 * 1024;
/// The size of the buffers in which small pieces are collected, in bytes. An event takes some
/// hundred bytes.
const SEGMENT: usize = 4 * 1024;
/// The interval between two looks at a budget that is spent. A server waits for seconds.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// How long the caller of a response that is held whole may read nothing. A window may open by a
/// segment of 64 KB at a time, which takes 64 s at 1 KB per second.
const PATIENCE: Duration = Duration::from_secs(80);

/// The connection on which a response is delivered.
pub trait Delivery {
    /// Records that the response has been received whole. From now on it is delivered as long as
    /// its caller does not read nothing for `patience`.
    fn received_whole(&self, patience: Duration);
}

/// A part of a response, in memory of its own: what the HTTP library provides may be a few bytes
/// that keep a large buffer.
#[derive(Debug)]
struct Segment {
    bytes: Vec<u8>,
    /// Gives the memory back when the segment has been written.
    _charge: Charge,
}

impl Segment {
    fn spare(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// What came of reading on.
enum Read {
    /// Some bytes were received.
    Received,
    /// The response has ended.
    Ended,
    /// There is no room for more.
    Denied,
}

#[derive(Debug)]
struct State<S, E, D> {
    /// The id of the request, for logs.
    request: String,
    /// The response, until its end.
    source: Option<Pin<Box<S>>>,
    delivery: D,
    share: Share,
    /// The room for the piece that is waited for.
    room: Option<Charge>,
    /// What has been received and waits for room, of a piece that is longer than [`MAX_READ`].
    rest: Bytes,
    held: VecDeque<Segment>,
    error: Option<E>,
    /// Whether the HTTP library waits for bytes that the budget denies, or for the error.
    is_starved: bool,
}

impl<S, E, D> State<S, E, D>
where
    S: Stream<Item = Result<Frame<Bytes>, E>>,
    D: Delivery,
{
    /// Reads the next piece, for which room is taken before. `is_ahead` if no one asks for it yet.
    fn poll_read(&mut self, is_ahead: bool, cx: &mut Context<'_>) -> Poll<Read> {
        if self.rest.is_empty() && self.source.is_none() {
            return Poll::Ready(Read::Ended);
        }
        if self.room.is_none() {
            match self.share.take(MAX_READ) {
                Ok(room) => self.room = Some(room),
                Err(denied) => {
                    self.log_denied(denied);
                    return Poll::Ready(Read::Denied);
                }
            }
        }
        if self.rest.is_empty()
            && let Some(source) = &mut self.source
        {
            match ready!(source.as_mut().poll_next(cx)) {
                Some(Ok(frame)) => self.rest = frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    self.error = Some(error);
                    self.end();
                    return Poll::Ready(Read::Ended);
                }
                None => {
                    self.delivery.received_whole(PATIENCE);
                    self.end();
                    return Poll::Ready(Read::Ended);
                }
            }
        }
        self.keep(is_ahead);
        Poll::Ready(Read::Received)
    }

    /// Keeps as much of what was received as there is room for.
    fn keep(&mut self, is_ahead: bool) {
        if let Some(last) = self.held.back_mut() {
            let part = self.rest.split_to(last.spare().min(self.rest.len()));
            last.bytes.extend_from_slice(&part);
        }
        if self.rest.is_empty() {
            return;
        }
        let Some(mut charge) = self.room.take() else {
            return;
        };
        let part = self.rest.split_to(charge.bytes().min(self.rest.len()));
        let capacity = if is_ahead {
            part.len().max(SEGMENT)
        } else {
            part.len()
        };
        charge.settle(capacity);
        let mut bytes = Vec::with_capacity(capacity);
        bytes.extend_from_slice(&part);
        self.held.push_back(Segment {
            bytes,
            _charge: charge,
        });
    }

    /// Lets go of the response, and with it of the request and the connection to the server.
    fn end(&mut self) {
        self.source = None;
        self.room = None;
    }

    fn log_denied(&self, denied: Denied) {
        if denied.is_first {
            logging::event!(
                info,
                "response_yielded",
                request = self.request,
                held = denied.held,
                free = denied.free
            );
        }
    }

    /// Provides the next bytes for the caller.
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        self.is_starved = false;
        loop {
            if let Some(segment) = self.held.pop_front() {
                return Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(segment)))));
            }
            match ready!(self.poll_read(false, cx)) {
                Read::Received => {}
                Read::Ended if self.error.is_none() => return Poll::Ready(None),
                // With the error, the HTTP library drops what it has not written.
                Read::Ended if self.share.taken() == 0 => {
                    return Poll::Ready(self.error.take().map(Err));
                }
                Read::Ended | Read::Denied => {
                    self.is_starved = true;
                    return Poll::Pending;
                }
            }
        }
    }

    /// Reads ahead until there is nothing to read or no room.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<Read> {
        loop {
            match ready!(self.poll_read(true, cx)) {
                Read::Received => {}
                end => return Poll::Ready(end),
            }
        }
    }
}

type Shared<S, E, D> = Arc<Mutex<Option<State<S, E, D>>>>;

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The body of a response that is read ahead of its caller. All of it is freed when this is dropped.
#[derive(Debug)]
pub struct Body<S, E, D: Delivery>(Shared<S, E, D>);

impl<S, E, D: Delivery> Body<S, E, D> {
    /// Creates the body of the response to the request with the id `request`, of which `share` may
    /// be held.
    pub fn new(request: String, source: S, share: Share, delivery: D) -> Self {
        Self(Arc::new(Mutex::new(Some(State {
            request,
            source: Some(Box::pin(source)),
            delivery,
            share,
            room: None,
            rest: Bytes::new(),
            held: VecDeque::new(),
            error: None,
            is_starved: false,
        }))))
    }
}

impl<S, E, D> body::Body for Body<S, E, D>
where
    S: Stream<Item = Result<Frame<Bytes>, E>>,
    D: Delivery,
{
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        match &mut *lock(&self.0) {
            Some(state) => state.poll_frame(cx),
            None => Poll::Ready(None),
        }
    }
}

impl<S, E, D: Delivery> Drop for Body<S, E, D> {
    fn drop(&mut self) {
        let state = lock(&self.0).take();
        // The HTTP library has taken all of it, possibly without looking for the end, or closes the
        // connection.
        if let Some(state) = state {
            state.delivery.received_whole(PATIENCE);
        }
    }
}

/// The response that is being written on a connection, if it is read ahead of its caller.
#[derive(Debug)]
pub struct Slot<S, E, D>(Mutex<Option<Shared<S, E, D>>>);

impl<S, E, D> Default for Slot<S, E, D> {
    fn default() -> Self {
        Self(Mutex::new(None))
    }
}

impl<S, E, D: Delivery> Slot<S, E, D> {
    /// Sets the response that is written next.
    pub fn set(&self, body: &Body<S, E, D>) {
        *lock(&self.0) = Some(Arc::clone(&body.0));
    }
}

impl<S, E, D> Slot<S, E, D>
where
    S: Stream<Item = Result<Frame<Bytes>, E>>,
    D: Delivery,
{
    /// Reads the response of the connection while its caller takes nothing. Has to be polled after
    /// the connection, by the same task.
    pub async fn read_ahead(&self, is_blocked: impl Fn() -> bool) -> Infallible {
        let mut retry = pin::pin!(time::sleep(RETRY_INTERVAL));
        future::poll_fn(|cx| {
            loop {
                let shared = lock(&self.0).clone();
                let Some(shared) = shared else {
                    return Poll::Pending;
                };
                let mut state = lock(&shared);
                let Some(state) = &mut *state else {
                    return Poll::Pending;
                };
                if !is_blocked() {
                    // What the HTTP library had taken has been written.
                    if mem::take(&mut state.is_starved) {
                        cx.waker().wake_by_ref();
                    }
                    return Poll::Pending;
                }
                match ready!(state.poll_ahead(cx)) {
                    Read::Denied => {}
                    Read::Received | Read::Ended => return Poll::Pending,
                }
                ready!(retry.as_mut().poll(cx));
                retry.as_mut().reset(time::Instant::now() + RETRY_INTERVAL);
            }
        })
        .await
    }
}
