//! Connections to backend servers, direct ones and those through other routers.

use std::{fmt, io, net::SocketAddr, time::Duration};

use tokio::time;
use units::{host, time::Millis};

use crate::{
    connection::Connection,
    egress::Egress,
    pool::{Outcome, Placement},
    protocol::Protocol,
    tunnel::{self, Open},
};

/// The way to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Path {
    /// This router connects itself.
    Direct,
    /// Another router connects.
    Tunnel(Egress),
}

impl Path {
    /// The router that connects, unless this one does.
    pub fn egress(&self) -> Option<&Egress> {
        match self {
            Self::Direct => None,
            Self::Tunnel(egress) => Some(egress),
        }
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Direct => f.write_str("direct"),
            Self::Tunnel(egress) => egress.host.fmt(f),
        }
    }
}

/// Why there is no connection to a server. Nothing was sent to it.
#[derive(Debug)]
pub enum Error {
    /// It could not be established directly.
    Direct(io::Error),
    /// The egress router does not provide it, for a reason of its own.
    Egress(tunnel::Error),
    /// The egress router could not connect to the server.
    Server(tunnel::Refusal),
    /// All slots of the server are in use.
    Full,
}

impl Error {
    /// A router that provides connections, if the egress router named one.
    pub fn into_provider(self) -> Option<host::Id> {
        match self {
            Self::Egress(tunnel::Error::Refused(rejection)) => rejection.provider,
            _ => None,
        }
    }

    /// The outcome that the attempt counts as.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Direct(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Outcome::Refused
            }
            Self::Direct(_) | Self::Server(_) => Outcome::Unreachable,
            Self::Egress(_) => Outcome::NoPath,
            Self::Full => Outcome::Withdrawn,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Direct(error) => error.fmt(f),
            Self::Egress(error) => error.fmt(f),
            Self::Server(refusal) => refusal.fmt(f),
            Self::Full => f.write_str("all slots are in use"),
        }
    }
}

/// Opens connections to backend servers.
#[derive(Clone, Debug)]
pub struct Connector<P> {
    /// The protocol that servers speak.
    pub protocol: P,
    /// Opens tunnels through other routers.
    pub tunnels: tunnel::Client,
}

impl<P: Protocol> Connector<P> {
    /// Connects to the server of `placement` within `timeout`; the connection will be needed for
    /// `remaining`.
    ///
    /// # Errors
    ///
    /// When the connection is not established. Nothing was sent.
    pub async fn connect(
        &self,
        placement: &Placement,
        remaining: Millis,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        match &placement.path {
            Path::Direct => {
                let connected = self.connect_directly(placement.address, remaining, timeout);
                connected.await.map_err(Error::Direct)
            }
            Path::Tunnel(egress) => {
                let open = Open {
                    server: placement.server.clone(),
                    incarnation: placement.incarnation,
                    remaining,
                    is_gated: placement.is_gated,
                };
                self.connect_through(egress, &open, timeout).await
            }
        }
    }

    async fn connect_directly(
        &self,
        address: SocketAddr,
        remaining: Millis,
        timeout: Duration,
    ) -> io::Result<Connection> {
        let stream = time::timeout(timeout, self.protocol.connect(address)).await??;
        Connection::over_tcp(stream, remaining.duration()).await
    }

    async fn connect_through(
        &self,
        egress: &Egress,
        open: &Open,
        timeout: Duration,
    ) -> Result<Connection, Error> {
        let opened = time::timeout(timeout, self.tunnels.open(egress.address, open)).await;
        let opened = opened.unwrap_or(Err(tunnel::Error::Link(crate::link::Error::Timeout)));
        let stream = match opened {
            Ok(stream) => stream,
            Err(error) => return Err(refused(error)),
        };
        let connection = Connection::over(stream).await;
        connection.map_err(|error| Error::Egress(crate::link::Error::from(error).into()))
    }
}

/// Tells reasons of the server from those of the egress router.
fn refused(error: tunnel::Error) -> Error {
    let tunnel::Error::Refused(rejection) = &error else {
        return Error::Egress(error);
    };
    match rejection.refusal {
        tunnel::Refusal::Full => Error::Full,
        refusal if refusal.is_by_server() => Error::Server(refusal),
        _ => Error::Egress(error),
    }
}
