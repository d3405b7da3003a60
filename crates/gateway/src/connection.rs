//! HTTP/1.1 connections to backend servers.

use std::{io, net, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use storage::traffic::{Metered, Traffic};
use tokio::{net::TcpStream, time};

/// How long a connection attempt may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long sent bytes may stay without acknowledgement.
///
/// A path that lost track of a connection swallows bytes in silence; the
/// kernel gives the connection up after this long.
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

    /// The same, with a count of the bytes that it carries.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn metered(address: net::SocketAddr, traffic: Arc<Traffic>) -> io::Result<Self> {
        Self::with_timeout(address, traffic, CONNECT_TIMEOUT).await
    }

    /// The same, with a time limit of its own.
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
        // It ends when the sender, or the body of an answer that is not read to
        // its end, is dropped: servers notice by the close that a caller has left.
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                logging::event!(debug, "backend_connection_ended", reason = error);
            }
        });
        Ok(Self { sender })
    }

    /// Whether it can take another request.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] when no byte of the request has left.
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

/// Why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// The connection was closed before any byte of the request left.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request may have left.
    Broken(hyper::Error),
}
