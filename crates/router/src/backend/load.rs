//! Load reports of backend servers.

use std::{error, fmt, io, net, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming, header};
use serde::Deserialize;
use storage::traffic::Traffic;

use super::{Connection, Failure};

/// Timeout for reading a load report.
pub const TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum size of a load report.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// A load report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Report {
    /// The boot id, which changes with every restart of the server.
    pub boot: String,
    /// The sequence number of the report.
    #[serde(default)]
    pub seq: u64,
    /// Number of running requests.
    #[serde(default)]
    pub running: u32,
    /// Number of queued requests.
    #[serde(default)]
    pub waiting: u32,
    /// Number of requests that the server can run concurrently when warm, or
    /// zero if unknown.
    #[serde(default)]
    pub capacity: u32,
}

/// Why a load report could not be read.
#[derive(Debug)]
pub enum Error {
    /// The server does not accept connections.
    Connect(io::Error),
    /// The server closed the connection.
    Closed,
    /// The response has a status other than success.
    Status(u16),
    /// The report is malformed or too large.
    Malformed,
}

impl Error {
    /// Whether the server refused or reset the connection, as it does after a
    /// crash. A server that pauses does neither: its connections time out.
    pub fn is_refused(&self) -> bool {
        let Self::Connect(error) = self else {
            return false;
        };
        matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        )
    }
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

/// Sends a GET request over a new connection, which is returned with the response.
///
/// # Errors
///
/// If the server does not accept the connection or closes it.
pub async fn get(
    address: net::SocketAddr,
    target: &str,
) -> Result<(Connection, Response<Incoming>), Error> {
    let mut connection = Connection::open(address).await.map_err(Error::Connect)?;
    let request = build_request(address, target)?;
    let response = connection.send(request).await.map_err(|_| Error::Closed)?;
    Ok((connection, response))
}

/// Reads the load report of a server over a new connection.
///
/// # Errors
///
/// If the server cannot be reached or its report is invalid.
pub async fn read(address: net::SocketAddr) -> Result<Report, Error> {
    let (connection, response) = get(address, "/load").await?;
    report(&connection, response).await
}

/// A client that polls the load reports of one server.
#[derive(Debug)]
pub struct Client {
    address: net::SocketAddr,
    traffic: Arc<Traffic>,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client that counts its sent and received bytes in `traffic`.
    pub fn new(address: net::SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            address,
            traffic,
            connection: None,
        }
    }

    /// Reads a load report over the idle connection, or over a new one.
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
        let response = response.map_err(|_| Error::Closed)?;
        let report = report(&connection, response).await?;
        self.connection = Some(connection);
        Ok(report)
    }

    /// Drops the idle connection, which may no longer deliver data.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

fn build_request(address: net::SocketAddr, target: &str) -> Result<Request<ingress::Body>, Error> {
    Request::get(target)
        .header(header::HOST, address.to_string())
        .body(ingress::Body::default())
        .map_err(|_| Error::Malformed)
}

async fn report(connection: &Connection, response: Response<Incoming>) -> Result<Report, Error> {
    if !response.status().is_success() {
        return Err(Error::Status(response.status().as_u16()));
    }
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = connection.frame(&mut body).await.map_err(malformed)? {
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > MAX_REPORT_BYTES {
            return Err(Error::Malformed);
        }
        bytes.extend_from_slice(&data);
    }
    serde_json::from_slice(&bytes).map_err(|_| Error::Malformed)
}

fn malformed(_: Failure) -> Error {
    Error::Malformed
}
