//! HTTP/1.1 connections to backend servers.

use std::{io, net, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use storage::traffic::{Metered, Traffic};
use tokio::{net::TcpStream, time};

/// The default timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may remain unacknowledged.
///
/// A network path that has lost the state of a connection drops packets silently. The
/// kernel closes the connection after this time.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A connection to a backend server that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
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
        Self::with_timeout(address, traffic, CONNECT_TIMEOUT).await
    }

    /// Like [`Connection::metered`], with another timeout than [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn with_timeout(
        address: net::SocketAddr,
        traffic: Arc<Traffic>,
        timeout: Duration,
    ) -> io::Result<Self> {
        let stream = time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(ACKNOWLEDGEMENT_TIMEOUT))?;
        let stream = Metered::new(stream, traffic);
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
        Ok(Self { sender })
    }

    /// Whether the connection can send another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] when no byte of the request was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        if self.sender.ready().await.is_err() {
            return Err(Failure::Unsent(Box::new(request)));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(request) => Err(Failure::Unsent(Box::new(request))),
                None => Err(Failure::Broken(error.into_error())),
            },
        }
    }
}

/// Why there is no response.
#[derive(Debug)]
pub enum Failure {
    /// The connection was closed before any byte of the request was sent.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
}
