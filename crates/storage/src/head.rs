//! A bound on what a server sends before the head of its response.
//!
//! An HTTP client skips any number of interim responses, and reads them as fast as they come. A
//! [`Limited`] byte stream provides no more than a limit until the head has arrived, and nothing
//! once the response was given up.

use std::{
    error, fmt, future, io,
    pin::{self, Pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

/// The most bytes before the end of a response's head, its own and those of all interim
/// responses.
pub const MAX_BYTES: u64 = 64 * 1024;

/// The server sent too many bytes before the end of a response's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded;

impl fmt::Display for Exceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("too many bytes before the head of a response")
    }
}

impl error::Error for Exceeded {}

/// Makes `stream` provide at most `limit` bytes while a response's head is awaited.
pub fn limit<S: AsyncRead>(stream: S, limit: u64) -> (Limited<S>, Limit) {
    let state = State {
        limit,
        max_read: u64::MAX,
        received: 0,
        phase: Phase::Open,
        reader: None,
        waiter: None,
    };
    let state = Arc::new(Mutex::new(state));
    let stream = Limited {
        stream: stream.take(u64::MAX),
        state: Arc::clone(&state),
    };
    (stream, Limit { state })
}

/// Tells a [`Limited`] stream when a response's head is awaited.
#[derive(Clone, Debug)]
pub struct Limit {
    state: Arc<Mutex<State>>,
}

impl Limit {
    /// Waits for the head of a response, which `response` resolves to.
    ///
    /// If there is none, or the returned future is dropped before it is complete, the stream fails
    /// from then on, so that its reader closes it even while bytes keep coming.
    ///
    /// # Errors
    ///
    /// When the limit is reached before.
    pub async fn wait<T, E>(
        &self,
        response: impl Future<Output = Result<T, E>>,
    ) -> Result<Result<T, E>, Exceeded> {
        lock(&self.state).begin();
        let end = End { state: &self.state };
        let mut response = pin::pin!(response);
        let result = future::poll_fn(|cx| {
            if let Poll::Ready(result) = response.as_mut().poll(cx) {
                return Poll::Ready(Ok(result));
            }
            ready!(lock(&self.state).poll_exceeded(cx));
            // The head may have arrived since the response was polled, and what exceeds the limit be
            // its body.
            Poll::Ready(match response.as_mut().poll(cx) {
                Poll::Ready(result) => Ok(result),
                Poll::Pending => Err(Exceeded),
            })
        });
        let result = result.await;
        if matches!(result, Ok(Ok(_))) {
            end.open();
        }
        result
    }

    /// Makes the stream provide at most `bytes` at once from now on, so that a reader whose buffer
    /// grows with what it gets keeps a small one.
    pub fn set_max_read(&self, bytes: u64) {
        lock(&self.state).max_read = bytes.max(1);
    }

    /// The bytes received since the request of the last [`Limit::wait`], up to its head.
    pub fn received(&self) -> u64 {
        lock(&self.state).received
    }
}

/// Ends the stream when it is dropped.
struct End<'a> {
    state: &'a Mutex<State>,
}

impl End<'_> {
    /// Lets the stream go on.
    fn open(self) {
        lock(self.state).enter(Phase::Open);
    }
}

impl Drop for End<'_> {
    fn drop(&mut self) {
        let mut state = lock(self.state);
        if state.phase != Phase::Open {
            state.enter(Phase::Ended);
        }
    }
}

/// What may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Everything: no response is awaited, or its body is read.
    Open,
    /// The bytes up to the limit, before the head of a response.
    Head,
    /// Nothing until the waiter has looked for the head once more: the limit is reached.
    Exceeded,
    /// Nothing.
    Ended,
}

#[derive(Debug)]
struct State {
    limit: u64,
    /// The most bytes that are provided at once.
    max_read: u64,
    /// The bytes received while the last head was awaited.
    received: u64,
    phase: Phase,
    reader: Option<Waker>,
    waiter: Option<Waker>,
}

impl State {
    fn begin(&mut self) {
        if self.phase == Phase::Open {
            self.received = 0;
            self.enter(Phase::Head);
        }
    }

    fn enter(&mut self, phase: Phase) {
        // A reader that waits for bytes of the server has nothing to do when more may be read.
        let is_affected = self.phase == Phase::Exceeded || phase == Phase::Ended;
        self.phase = phase;
        if let Some(reader) = self.reader.take_if(|_| is_affected) {
            reader.wake();
        }
    }

    /// Waits until the reader has used all bytes up to the limit and asks for more.
    fn poll_exceeded(&mut self, cx: &Context<'_>) -> Poll<()> {
        if self.phase == Phase::Exceeded {
            return Poll::Ready(());
        }
        self.waiter = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The bytes that may be read now.
    fn poll_allowed(&mut self, cx: &Context<'_>) -> Poll<io::Result<u64>> {
        self.reader = Some(cx.waker().clone());
        match self.phase {
            Phase::Open => Poll::Ready(Ok(self.max_read)),
            Phase::Head if self.received < self.limit => {
                Poll::Ready(Ok(self.max_read.min(self.limit - self.received)))
            }
            Phase::Head | Phase::Exceeded => {
                self.phase = Phase::Exceeded;
                if let Some(waiter) = self.waiter.take() {
                    waiter.wake();
                }
                Poll::Pending
            }
            Phase::Ended => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
        }
    }

    fn receive(&mut self, count: u64) {
        if self.phase == Phase::Head {
            self.received += count;
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A byte stream whose reading is bounded by a [`Limit`].
#[derive(Debug)]
pub struct Limited<S> {
    stream: Take<S>,
    state: Arc<Mutex<State>>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Limited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = ready!(lock(&self.state).poll_allowed(cx))?;
        self.stream.set_limit(allowed);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = buffer.filled().len() - before;
        lock(&self.state).receive(count as u64);
        result
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Limited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(cx, bytes)
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
