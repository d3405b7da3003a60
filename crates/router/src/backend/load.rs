//! Reports that backend servers make of their load.

use std::{error, fmt, io, net, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Request, Response, body::Incoming, header};
use serde::Deserialize;
use storage::traffic::Traffic;

use super::Connection;

/// How long a report may take.
pub const TIMEOUT: Duration = Duration::from_millis(800);
/// The largest report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// What a backend server reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// An id that changes at a restart.
    pub boot: String,
    /// The number of the report.
    #[serde(default)]
    pub seq: u64,
    /// Requests that run.
    #[serde(default)]
    pub running: u32,
    /// Requests that wait.
    #[serde(default)]
    pub waiting: u32,
    /// Requests that it can run at once when warm. Zero: it does not say.
    #[serde(default)]
    pub capacity: u32,
}

/// Why there is no report.
#[derive(Debug)]
pub enum Error {
    /// The server does not accept connections.
    Connect(io::Error),
    /// It closed the connection.
    Closed,
    /// It answered with another status than success.
    Status(u16),
    /// Its report is malformed or too long.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "connect: {error}"),
            Self::Closed => f.write_str("connection closed"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Malformed => f.write_str("malformed report"),
        }
    }
}

impl error::Error for Error {}

/// Sends a GET on a connection of its own.
///
/// # Errors
///
/// When the server does not accept the connection or closes it.
pub async fn get(address: net::SocketAddr, target: &str) -> Result<Response<Incoming>, Error> {
    let mut connection = Connection::open(address).await.map_err(Error::Connect)?;
    let request = build_request(address, target)?;
    connection.send(request).await.map_err(|_| Error::Closed)
}

/// Reads a server's load report over a connection of its own.
///
/// # Errors
///
/// When there is none, or it is not understood.
pub async fn read(address: net::SocketAddr) -> Result<Report, Error> {
    report(get(address, "/load").await?).await
}

/// Asks one server for its load again and again.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    traffic: Arc<Traffic>,
    connection: Option<Connection>,
}

impl Client {
    /// A client whose bytes are counted in `traffic`.
    pub fn new(address: net::SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            address,
            traffic,
            connection: None,
        }
    }

    /// Asks over the kept connection, or over a fresh one.
    ///
    /// # Errors
    ///
    /// As [`read`].
    pub async fn poll(&mut self) -> Result<Report, Error> {
        let kept = self.connection.take().filter(Connection::is_usable);
        let mut connection = match kept {
            Some(kept) => kept,
            None => Connection::metered(self.address, Arc::clone(&self.traffic))
                .await
                .map_err(Error::Connect)?,
        };
        let response = connection.send(build_request(self.address, "/load")?).await;
        let report = report(response.map_err(|_| Error::Closed)?).await?;
        self.connection = Some(connection);
        Ok(report)
    }

    /// Drops the kept connection, which may have gone silent.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

fn build_request(address: net::SocketAddr, target: &str) -> Result<Request<Full<Bytes>>, Error> {
    Request::get(target)
        .header(header::HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .map_err(|_| Error::Malformed)
}

async fn report(response: Response<Incoming>) -> Result<Report, Error> {
    if !response.status().is_success() {
        return Err(Error::Status(response.status().as_u16()));
    }
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES)
        .collect()
        .await
        .map_err(|_| Error::Malformed)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| Error::Malformed)
}
