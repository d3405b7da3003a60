//! HTTP/1.1 connections to backend servers.

use std::{
    fmt, io, net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    client::conn::http1,
    ext,
};
use hyper_util::rt::TokioIo;
use storage::{
    head::{self, Limit},
    traffic::{Metered, Traffic},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time,
};

/// The default timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The least time for which sent bytes may remain unacknowledged.
///
/// What a closed connection has not delivered is sent again for this time at least. Zero would stand
/// for the kernel's own limit, a quarter of an hour.
const MIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The most time for it: the kernel's option is a number of milliseconds.
const MAX_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3600);

/// What a server has sent before the head of its response.
#[derive(Clone, Debug)]
pub struct Received {
    limit: Limit,
    interim_responses: Arc<AtomicU64>,
}

impl Received {
    /// All bytes.
    pub fn bytes(&self) -> u64 {
        self.limit.received()
    }

    /// The interim responses, which precede the response itself.
    pub fn interim_responses(&self) -> u64 {
        self.interim_responses.load(Ordering::Relaxed)
    }

    /// The body of the response on the same connection.
    pub fn body(&self, incoming: Incoming) -> Body {
        Body {
            incoming,
            limit: self.limit.clone(),
        }
    }
}

/// A connection to a backend server that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<ingress::Body>,
    received: Received,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the server does not accept it in time. Nothing was sent.
    pub async fn open(address: net::SocketAddr) -> io::Result<Self> {
        Self::metered(address, Arc::default()).await
    }

    /// Opens a connection whose transferred bytes are counted in `traffic`.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn metered(address: net::SocketAddr, traffic: Arc<Traffic>) -> io::Result<Self> {
        let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        configure(&stream, MIN_ACKNOWLEDGEMENT_TIMEOUT)?;
        Self::over(Metered::new(stream, traffic)).await
    }

    /// Speaks HTTP over an open TCP connection, which will be needed for `remaining`.
    ///
    /// # Errors
    ///
    /// When the connection has broken already. Nothing was sent.
    pub async fn over_tcp(stream: TcpStream, remaining: Duration) -> io::Result<Self> {
        configure(&stream, remaining)?;
        Self::over(stream).await
    }

    /// Speaks HTTP over an open byte stream.
    ///
    /// # Errors
    ///
    /// As [`Connection::over_tcp`].
    pub async fn over<S>(stream: S) -> io::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let (stream, limit) = head::limit(stream, head::MAX_BYTES);
        let received = Received {
            limit,
            interim_responses: Arc::default(),
        };
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        // The driver ends when the sender is dropped, or the body of a response before its
        // end. The connection is closed then, which tells the server that the caller has
        // disconnected.
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                logging::event!(debug, "backend_connection_ended", reason = error);
            }
        });
        Ok(Self { sender, received })
    }

    /// What the server has sent so far.
    pub fn received(&self) -> &Received {
        &self.received
    }

    /// Whether the connection can send another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the response head. If the returned future is dropped before,
    /// the connection is closed, even while bytes keep coming.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] when no byte of the request was sent, [`Failure::Exceeded`] when the head
    /// and the interim responses before it exceed [`head::MAX_BYTES`], [`Failure::Malformed`] when the
    /// head does not tell where the body ends.
    pub async fn send(
        &mut self,
        mut request: Request<ingress::Body>,
    ) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::Unsent(Box::new(request)));
        }
        let interim_responses = Arc::clone(&self.received.interim_responses);
        ext::on_informational(&mut request, move |_| {
            interim_responses.fetch_add(1, Ordering::Relaxed);
        });
        let response = self.sender.try_send_request(request);
        match self.received.limit.wait(response).await {
            Ok(Ok(response)) => {
                let checked = framing::head::check(response.status(), response.headers());
                checked.map_err(Failure::Malformed)?;
                Ok(response)
            }
            Err(exceeded) => Err(Failure::Exceeded(exceeded)),
            Ok(Err(mut error)) => match error.take_message() {
                Some(request) => Err(Failure::Unsent(Box::new(request))),
                None => Err(Failure::Broken(error.into_error())),
            },
        }
    }
}

impl Connection {
    /// Waits for the next part of the body of the response on this connection. If the returned future
    /// is dropped before, the connection is closed.
    ///
    /// # Errors
    ///
    /// [`Failure::Broken`] when the body breaks off, [`Failure::Exceeded`] when more than
    /// [`head::MAX_BYTES`] come that are no part of it, as in the size of a chunk.
    pub async fn frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Failure> {
        next_frame(&self.received.limit, body).await
    }
}

/// The body of a response.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    limit: Limit,
}

impl Body {
    /// Reads at most `bytes` at once from now on, so that no part is longer and little is buffered
    /// of a body that is not waited for.
    pub fn set_max_read(&self, bytes: usize) {
        self.limit.set_max_read(bytes as u64);
    }

    /// Waits for the next part. If the returned future is dropped before, the connection is closed.
    ///
    /// # Errors
    ///
    /// As [`Connection::frame`].
    pub async fn frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        next_frame(&self.limit, &mut self.incoming).await
    }
}

async fn next_frame(limit: &Limit, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, Failure> {
    let frame = async { body.frame().await.transpose() };
    match limit.wait(frame).await {
        Ok(frame) => frame.map_err(Failure::Broken),
        Err(exceeded) => Err(Failure::Exceeded(exceeded)),
    }
}

/// Sets the options of a connection to a backend server, which will be needed for `remaining`.
///
/// # Errors
///
/// When the connection has broken already.
pub fn configure(stream: &TcpStream, remaining: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    set_timeout(stream, remaining)
}

/// Lets the kernel close a connection whose bytes remain unacknowledged for `remaining`, and not
/// before: a host may fall silent for seconds and go on, and a request that was sent once may not
/// be sent again.
///
/// # Errors
///
/// When the connection has broken already.
pub fn set_timeout(stream: &TcpStream, remaining: Duration) -> io::Result<()> {
    let timeout = remaining.clamp(MIN_ACKNOWLEDGEMENT_TIMEOUT, MAX_ACKNOWLEDGEMENT_TIMEOUT);
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Why there is no response.
#[derive(Debug)]
pub enum Failure {
    /// The connection was closed before any byte of the request was sent.
    Unsent(Box<Request<ingress::Body>>),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
    /// The server sent too many bytes, and no response head or part of the body.
    Exceeded(head::Exceeded),
    /// The head of the response is not valid.
    Malformed(framing::head::Fault),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(_) => f.write_str("the connection was closed before the request was sent"),
            Self::Broken(error) => error.fmt(f),
            Self::Exceeded(exceeded) => exceeded.fmt(f),
            Self::Malformed(fault) => fault.fmt(f),
        }
    }
}
