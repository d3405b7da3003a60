//! Connections whose failure is told apart from a lost path.

use std::{fmt, io, net::SocketAddr, time::Duration};

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

/// Connects to the server at `address`, and to the one at `control` if that fails: only a router
/// that reaches another server can tell that the first one is the reason.
///
/// # Errors
///
/// The reason for the failure; [`Failure::Unsure`] without a control.
pub async fn connect<P: Protocol>(
    protocol: &P,
    address: SocketAddr,
    control: Option<SocketAddr>,
    timeout: Duration,
) -> Result<TcpStream, Failure> {
    let failure = match connect_once(protocol, address, timeout).await {
        Ok(stream) => return Ok(stream),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Failure::Refused,
        Err(_) => Failure::Silent,
    };
    let Some(control) = control else {
        return Err(Failure::Unsure);
    };
    match connect_once(protocol, control, timeout).await {
        Ok(_) => Err(failure),
        Err(_) => Err(Failure::Unsure),
    }
}

async fn connect_once<P: Protocol>(
    protocol: &P,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<TcpStream> {
    time::timeout(timeout, protocol.connect(address)).await?
}
