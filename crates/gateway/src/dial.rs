//! Connections whose failure is told apart from a lost path.

use std::{fmt, io, net::SocketAddr, time::Duration};

use futures_util::future;
use smallvec::SmallVec;
use tokio::{net::TcpStream, time};

use crate::protocol::Protocol;

/// Why a connection to a server was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server refuses connections.
    Refused,
    /// The server does not accept the connection in time.
    Silent,
    /// This router may have lost its paths to all servers.
    Unsure,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Unsure => "unsure",
        })
    }
}

/// The most other servers that a connection is compared with: any of them may be down as well.
pub const MAX_CONTROLS: usize = 3;

/// The addresses of other servers of a service.
pub type Controls = SmallVec<[SocketAddr; MAX_CONTROLS]>;

/// Connects to the server at `address`, and to those at `controls` if that fails: only a router
/// that reaches another server can tell that the first one is the reason.
///
/// # Errors
///
/// The reason for the failure; [`Failure::Unsure`] if no control accepts a connection.
pub async fn connect<P: Protocol>(
    protocol: &P,
    address: SocketAddr,
    controls: &[SocketAddr],
    timeout: Duration,
) -> Result<TcpStream, Failure> {
    let failure = match connect_once(protocol, address, timeout).await {
        Ok(stream) => return Ok(stream),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Failure::Refused,
        Err(_) => Failure::Silent,
    };
    if accepts_any(protocol, controls, timeout).await {
        Err(failure)
    } else {
        Err(Failure::Unsure)
    }
}

/// Whether any server accepts a connection.
async fn accepts_any<P: Protocol>(
    protocol: &P,
    addresses: &[SocketAddr],
    timeout: Duration,
) -> bool {
    let attempts = addresses
        .iter()
        .map(|&address| Box::pin(connect_once(protocol, address, timeout)));
    let attempts: Vec<_> = attempts.collect();
    if attempts.is_empty() {
        return false;
    }
    future::select_ok(attempts).await.is_ok()
}

async fn connect_once<P: Protocol>(
    protocol: &P,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    time::timeout(timeout, protocol.connect(address)).await?
}
