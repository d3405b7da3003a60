//! Tracks the activity on one caller's connection: requests in flight, partial request
//! heads and idle time.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, ReadBuf, Take},
    sync::Notify,
};
use units::time::Instant;

use crate::{allowance::Allowance, clock::Clock, discard::Discard, read_ahead::Delivery};

/// The most bytes that are read at once. The buffer of the HTTP library, of 8 KB at first, grows with
/// reads that fill it, and each part of a body keeps the whole buffer.
const MAX_READ: u64 = 8 * 1024 - 1;
/// Represents the absence of an instant.
const NONE: u64 = u64::MAX;

/// The activity on one caller's connection.
#[derive(Debug)]
pub struct Activity {
    clock: Clock,
    in_flight: AtomicU32,
    idle_since_us: AtomicU64,
    head_since_us: AtomicU64,
    begun: Notify,
    blocked_since_us: AtomicU64,
    deadline_us: AtomicU64,
    /// How long the caller of a response that was received whole may read nothing.
    patience_us: AtomicU64,
    ends_with_connection: AtomicBool,
    discard: Mutex<Option<Discard>>,
    allowance: Allowance,
}

impl Activity {
    /// Creates the state of a connection that was just opened.
    pub fn new(clock: Clock) -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            idle_since_us: AtomicU64::new(clock.now().as_micros()),
            head_since_us: AtomicU64::new(NONE),
            begun: Notify::new(),
            blocked_since_us: AtomicU64::new(NONE),
            deadline_us: AtomicU64::new(NONE),
            patience_us: AtomicU64::new(0),
            ends_with_connection: AtomicBool::new(false),
            discard: Mutex::new(None),
            allowance: Allowance::default(),
            clock,
        }
    }

    /// Since when no request has been in flight and no response waited for its caller; `None`
    /// while one is or does.
    pub fn idle_since(&self) -> Option<Instant> {
        if self.is_in_flight() || self.is_blocked() {
            return None;
        }
        let idle_since = self.idle_since_us.load(Ordering::Relaxed);
        Some(Instant::from_micros(idle_since))
    }

    /// Since when the caller has read nothing of a response.
    pub fn blocked_since(&self) -> Option<Instant> {
        let since = self.blocked_since_us.load(Ordering::Relaxed);
        (since != NONE).then_some(Instant::from_micros(since))
    }

    /// The deadline of the response in flight, if its caller has to read it until then.
    pub fn deadline(&self) -> Option<Instant> {
        let deadline = self.deadline_us.load(Ordering::Relaxed);
        (self.is_in_flight() && deadline != NONE).then_some(Instant::from_micros(deadline))
    }

    /// Whether the caller reads nothing at present of a response that is being written.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since_us.load(Ordering::Relaxed) != NONE
    }

    /// When a caller that reads nothing of a response has had enough time: `patience` after the
    /// response has been handed to the HTTP library, or its deadline if that is still to come. Of a
    /// response that is held whole, the caller may read at any time, with pauses.
    pub fn unread_at(&self, patience: Duration) -> Option<Instant> {
        let since = self.blocked_since()?;
        let held_patience = Duration::from_micros(self.patience_us.load(Ordering::Relaxed));
        if self.is_in_flight() && held_patience.is_zero() {
            return self.deadline().map(|deadline| deadline.max(since));
        }
        let patience = patience.max(held_patience);
        let idle_since = self.idle_since_us.load(Ordering::Relaxed);
        Some(since.max(Instant::from_micros(idle_since)) + patience)
    }

    fn is_in_flight(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// When the first bytes of an incomplete request head were received.
    pub fn head_since(&self) -> Option<Instant> {
        let since = self.head_since_us.load(Ordering::Relaxed);
        (since != NONE && self.idle_since().is_some()).then_some(Instant::from_micros(since))
    }

    /// Waits until a request head or a response begins, from when on other timeouts apply.
    pub async fn begun(&self) {
        self.begun.notified().await;
    }

    /// Whether the caller takes the end of the connection for the end of the present response.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection.load(Ordering::Relaxed)
    }

    /// The discarding that is left to do at the end of the connection.
    pub fn take_discard(&self) -> Option<Discard> {
        let mut discard = self.discard.lock().unwrap_or_else(PoisonError::into_inner);
        discard.take()
    }

    fn wrote(&self, result: &Poll<io::Result<usize>>) {
        let is_blocked = self.is_blocked();
        if is_blocked != result.is_pending() {
            let now = self.clock.now().as_micros();
            let since = if is_blocked { NONE } else { now };
            self.blocked_since_us.store(since, Ordering::Relaxed);
            self.idle_since_us.store(now, Ordering::Relaxed);
        }
    }

    fn received(&self) {
        if self.idle_since().is_none() || self.head_since_us.load(Ordering::Relaxed) != NONE {
            return;
        }
        let now = self.clock.now().as_micros();
        self.head_since_us.store(now, Ordering::Relaxed);
        self.begun.notify_one();
    }
}

/// Marks a connection as busy while its request is served.
#[derive(Debug)]
pub struct Guard(Arc<Activity>);

impl Guard {
    /// Records a request whose head has been received.
    pub fn new(activity: &Arc<Activity>) -> Self {
        activity.in_flight.fetch_add(1, Ordering::Relaxed);
        activity.head_since_us.store(NONE, Ordering::Relaxed);
        activity.deadline_us.store(NONE, Ordering::Relaxed);
        activity.patience_us.store(0, Ordering::Relaxed);
        activity.allowance.lift();
        Self(Arc::clone(activity))
    }
}

impl Guard {
    /// Records that a response has begun, of which all has to be sent by `deadline`.
    pub fn send_by(&self, deadline: Instant) {
        let deadline = deadline.as_micros();
        self.0.deadline_us.store(deadline, Ordering::Relaxed);
        self.0.begun.notify_one();
    }

    /// Marks the connection as busy with the same request for as long as the returned guard exists.
    pub fn share(&self) -> Self {
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(&self.0))
    }

    /// Records that the response ends with the connection.
    pub fn end_with_connection(&self) {
        self.0.ends_with_connection.store(true, Ordering::Relaxed);
    }

    /// The bytes that may be received on the connection.
    pub fn allowance(&self) -> &Allowance {
        &self.0.allowance
    }

    /// Has what the caller still sends discarded when the connection has ended.
    pub fn discard_at_end(&self, discard: Discard) {
        let kept = &self.0.discard;
        let mut kept = kept.lock().unwrap_or_else(PoisonError::into_inner);
        *kept = Some(discard);
    }
}

impl Delivery for Guard {
    fn received_whole(&self, patience: Duration) {
        let patience = u64::try_from(patience.as_micros()).unwrap_or(u64::MAX);
        self.0.patience_us.store(patience, Ordering::Relaxed);
        self.0.deadline_us.store(NONE, Ordering::Relaxed);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.0.clock.now().as_micros();
        self.0.idle_since_us.store(now, Ordering::Relaxed);
        // The next request may have begun, with bounds of its own.
        if self.0.in_flight.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.allowance.lift();
        }
    }
}

/// A stream that records received bytes in an [`Activity`].
#[derive(Debug)]
pub struct Tracked<S> {
    stream: Take<S>,
    activity: Arc<Activity>,
}

impl<S: AsyncRead> Tracked<S> {
    /// Wraps `stream` so that bytes received on it are recorded in `activity`.
    pub fn new(stream: S, activity: Arc<Activity>) -> Self {
        let stream = stream.take(MAX_READ);
        Self { stream, activity }
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> S {
        self.stream.into_inner()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Tracked<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.activity.allowance.is_left(cx) {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        self.stream.set_limit(MAX_READ);
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.activity.allowance.take(count);
            self.activity.received();
        }
        result
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Tracked<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write(cx, bytes);
        self.activity.wrote(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(self.stream.get_mut()).poll_write_vectored(cx, slices);
        self.activity.wrote(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(cx)
    }
}
