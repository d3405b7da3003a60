//! An HTTP client of one server with a small pool of idle connections.
//!
//! The clients of the platform use it, and so do the programs that send short
//! requests to a router or the administration.

use std::{fmt, net, sync};

use bytes::{Bytes, BytesMut};
use framing::{Delimiter, Tracker};
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode,
    body::{self, Body as _},
    client::conn::{TrySendError, http1},
    header,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use crate::{
    error::Error,
    head::{self, Limit},
    progress::Progress,
    traffic::{Metered, Traffic},
};

/// The maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The maximum size of a response body, in bytes.
///
/// A list of 10,000 backend servers of 300 bytes takes 3 MB, and a configuration 1 MB. The smallest
/// host of a router has 160 MB of memory.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Why a response body of more than [`MAX_RESPONSE_BYTES`] is not read.
const TOO_LONG: &str = "the answer is too long";

/// The maximum memory allocated for a response before its body arrives, in bytes.
const MAX_PREALLOCATED_BYTES: usize = 8 * 1024 * 1024;

type Sender = http1::SendRequest<Full<Bytes>>;

/// A connection to the server.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    /// Bounds the bytes before the head of a response and each part of its body, and ends their
    /// reading with the call.
    limit: Limit,
}

/// A response that was read completely.
#[derive(Debug)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: header::HeaderMap,
    /// What delimited the body.
    pub delimiter: Delimiter,
    /// The complete body.
    pub body: Bytes,
    /// When the bytes of the body arrived.
    pub progress: Progress,
}

/// A client of one HTTP server.
///
/// A connection can become permanently unresponsive while new ones to the same
/// server work, because a device on the path lost its connection state. The only
/// symptom is that calls on it miss their deadlines. A call that fails therefore
/// drops its own connection and all idle ones, which are likely affected too, and
/// the next call opens a new one.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Connection>>,
    traffic: sync::Arc<Traffic>,
}

impl Client {
    /// Creates a client of the server at `address`. It connects on the first call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self::metered(address, sync::Arc::default())
    }

    /// Creates a client like [`Client::new`] that counts its bytes in `traffic`.
    pub fn metered(address: net::SocketAddr, traffic: sync::Arc<Traffic>) -> Self {
        Self {
            address,
            idle: sync::Mutex::new(Vec::new()),
            traffic,
        }
    }

    /// Sends a request and reads its response, whatever its status, by `deadline`.
    ///
    /// The URI of the request is its path; the header `host` is added.
    ///
    /// # Errors
    ///
    /// [`Error::NotRun`] when no byte was sent, [`Error::MayHaveRun`] when the
    /// response was lost.
    pub async fn call(
        &self,
        request: Request<Bytes>,
        deadline: time::Instant,
    ) -> Result<Response, Error> {
        self.exchange(request, Deadline::Fixed(deadline)).await
    }

    /// Like [`Client::call`], for a response of any size: the deadline is extended
    /// while its bytes keep arriving ([`Progress::extended_deadline`]).
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn read(
        &self,
        request: Request<Bytes>,
        deadline: time::Instant,
    ) -> Result<Response, Error> {
        self.exchange(request, Deadline::Extensible(deadline)).await
    }

    async fn exchange(
        &self,
        request: Request<Bytes>,
        response_deadline: Deadline,
    ) -> Result<Response, Error> {
        let request = self.with_host_header(request)?;
        let deadline = response_deadline.first_byte_deadline();
        let mut connection = self.connection(deadline).await?;
        // Without this check, a process that was paused here would send the request
        // long after its deadline: a timeout checks its timer only after it has
        // polled the future once.
        if time::Instant::now() >= deadline {
            return Err(unreachable(self.address, "the deadline has passed"));
        }
        let response = connection.send(request, response_deadline).await;
        match &response {
            Ok(_) => self.return_idle(connection),
            Err(_) => self.close_idle(),
        }
        response.map_err(|error| match error {
            Failure::TimedOut(progress) => {
                let address = self.address;
                let reason = format!("no answer from {address} by the deadline, {progress}");
                Error::MayHaveRun(reason)
            }
            Failure::Other(error) => error,
        })
    }

    fn with_host_header(&self, request: Request<Bytes>) -> Result<Request<Full<Bytes>>, Error> {
        let host = header::HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| Error::Rejected(error.to_string()))?;
        let mut request = request.map(Full::new);
        request.headers_mut().insert(header::HOST, host);
        Ok(request)
    }

    async fn connection(&self, deadline: time::Instant) -> Result<Connection, Error> {
        match time::timeout_at(deadline, self.idle_or_new()).await {
            Ok(connected) => connected,
            Err(_) => Err(unreachable(self.address, "no connection by the deadline")),
        }
    }

    async fn idle_or_new(&self) -> Result<Connection, Error> {
        while let Some(mut idle) = self.take_idle() {
            // An idle connection that the server has closed is not ready.
            if idle.sender.ready().await.is_ok() {
                return Ok(idle);
            }
        }
        connect(self.address, &self.traffic).await
    }

    fn take_idle(&self) -> Option<Connection> {
        self.lock().pop()
    }

    fn return_idle(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection);
        }
    }

    fn close_idle(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Connection>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Opens a connection. Its task ends when its sender is dropped.
async fn connect(
    address: net::SocketAddr,
    traffic: &sync::Arc<Traffic>,
) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| unreachable(address, error))?;
    // With Nagle's algorithm, a small request waits for the acknowledgement of the previous one.
    stream
        .set_nodelay(true)
        .map_err(|error| unreachable(address, error))?;
    let stream = Metered::new(stream, sync::Arc::clone(traffic));
    let (stream, limit) = head::limit(stream, head::MAX_BYTES);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(address, error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("event=platform_connection_ended address={address} reason={error:?}");
        }
    });
    Ok(Connection { sender, limit })
}

fn unreachable(address: net::SocketAddr, reason: impl fmt::Display) -> Error {
    Error::NotRun(format!("{address}: {reason}"))
}

/// The deadline of a response.
#[derive(Clone, Copy, Debug)]
enum Deadline {
    /// The whole response has to be received by then.
    Fixed(time::Instant),
    /// The deadline is extended while bytes of the response keep arriving.
    Extensible(time::Instant),
}

impl Deadline {
    /// The deadline for the first byte of the response.
    const fn first_byte_deadline(self) -> time::Instant {
        match self {
            Self::Fixed(deadline) | Self::Extensible(deadline) => deadline,
        }
    }

    /// The deadline for the next bytes of the response.
    fn next_byte_deadline(self, progress: Progress) -> time::Instant {
        match self {
            Self::Fixed(deadline) => deadline,
            Self::Extensible(deadline) => progress.extended_deadline(deadline),
        }
    }
}

/// Why an exchange failed.
enum Failure {
    /// The response, or the next part of it, missed its deadline.
    TimedOut(Progress),
    /// Any other error.
    Other(Error),
}

impl Connection {
    /// Sends `request` and reads the whole response.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        response_deadline: Deadline,
    ) -> Result<Response, Failure> {
        let progress = Progress::new(time::Instant::now());
        let method = request.method().clone();
        let response = self.limit.wait(self.sender.try_send_request(request));
        let response = time::timeout_at(response_deadline.first_byte_deadline(), response).await;
        let response = response
            .map_err(|_| Failure::TimedOut(progress))?
            .map_err(|exceeded| interrupted(&exceeded))?
            .map_err(|failed| Failure::Other(send_error(failed)))?;
        let (head, body) = response.into_parts();
        framing::head::check(head.status, &head.headers).map_err(|fault| interrupted(&fault))?;
        let mut tracker = Tracker::new(&method, head.status, &head.headers);
        let (body, progress) = self.read_body(body, progress, response_deadline).await?;
        tracker.record(&body);
        tracker
            .end()
            .map_err(|truncation| interrupted(&truncation))?;
        Ok(Response {
            status: head.status,
            delimiter: tracker.delimiter(),
            headers: head.headers,
            body,
            progress,
        })
    }

    async fn read_body(
        &self,
        mut body: body::Incoming,
        mut progress: Progress,
        response_deadline: Deadline,
    ) -> Result<(Bytes, Progress), Failure> {
        let length_hint = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if length_hint > MAX_RESPONSE_BYTES {
            return Err(interrupted(&TOO_LONG));
        }
        let mut bytes = BytesMut::with_capacity(length_hint.min(MAX_PREALLOCATED_BYTES));
        loop {
            // The limit applies anew to each frame: the size of a chunk may be written with any
            // number of digits and spaces, which are no part of the body.
            let frame = self.limit.wait(async { body.frame().await.transpose() });
            let frame = time::timeout_at(response_deadline.next_byte_deadline(progress), frame);
            let frame = frame.await.map_err(|_| Failure::TimedOut(progress))?;
            let frame = frame
                .map_err(|_| interrupted(&"too many bytes between the parts of the body"))?
                .map_err(|error| interrupted(&error))?;
            let Some(frame) = frame else {
                return Ok((bytes.freeze(), progress));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if bytes.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(interrupted(&TOO_LONG));
            }
            progress.received(data.len(), time::Instant::now());
            bytes.extend_from_slice(&data);
        }
    }
}

fn send_error(mut error: TrySendError<Request<Full<Bytes>>>) -> Error {
    // The request is returned only when no byte of it has been sent.
    let unsent = error.take_message().is_some();
    let reason = error.into_error().to_string();
    if unsent {
        Error::NotRun(reason)
    } else {
        Error::MayHaveRun(reason)
    }
}

fn interrupted(reason: &impl fmt::Display) -> Failure {
    Failure::Other(Error::MayHaveRun(reason.to_string()))
}

/// Builds a request with a JSON body, which may be empty.
///
/// # Errors
///
/// [`Error::Rejected`] when `path` is not a valid URI path.
pub fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>, Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|error| Error::Rejected(error.to_string()))
}

/// Converts a response with an unexpected status to an error.
pub(crate) fn status_error(response: &Response) -> Error {
    let text = String::from_utf8_lossy(&response.body);
    let reason: String = text.chars().take(MAX_REASON_CHARS).collect();
    let reason = format!("status {}: {reason}", response.status.as_u16());
    match response.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Error::NotRun(reason),
        status if status.is_client_error() => Error::Rejected(reason),
        _ => Error::MayHaveRun(reason),
    }
}

/// The maximum length of the body in the error of an unexpected response, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Parses the JSON body of a response.
///
/// # Errors
///
/// [`Error::MayHaveRun`] when the body does not have the expected form.
pub fn parse<T: serde::de::DeserializeOwned>(response: &Response) -> Result<T, Error> {
    serde_json::from_slice(&response.body)
        .map_err(|error| Error::MayHaveRun(format!("unreadable answer: {error}")))
}

/// Percent-encodes `text` for a path or query: all bytes but letters, digits and `-._~/`.
pub fn percent_encode(text: &str) -> String {
    use std::fmt::Write;

    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
