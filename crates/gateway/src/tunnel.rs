//! Connections to backend servers through another router.
//!
//! A router that has lost its paths to the servers of a service asks an egress router, which
//! has not, to connect to the server that it has chosen. The egress router passes bytes on and
//! decides nothing: placement, limits, retries and the interpretation of the response stay with
//! the router that the caller is connected to. An egress router never uses another tunnel.

mod client;
mod server;
mod stream;

use std::{error, fmt};

use serde::{Deserialize, Serialize};
use units::{backend, host, time::Millis};

pub use client::{Client, TIMEOUT};
pub use server::{Server, serve};
pub use stream::Stream;

use crate::link;

/// The request to connect to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The server.
    pub server: backend::Server,
    /// Its incarnation.
    pub incarnation: u64,
    /// How long the connection will be needed at most.
    pub remaining: Millis,
    /// Whether the connection has to wait for a slot of the server, which must not be overloaded.
    pub is_gated: bool,
}

/// The response to [`Open`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The connection is established.
    Opened,
    /// There is no connection.
    Refused(Rejection),
}

/// A refusal, and where to ask instead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The reason.
    pub refusal: Refusal,
    /// A router that provides connections for the one that refuses.
    ///
    /// If most routers of a large fleet have lost their paths, each would have to try many until
    /// it found one that has not.
    pub provider: Option<host::Id>,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            provider: None,
        }
    }
}

/// Why an egress router does not provide a connection. Nothing was sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The egress router does not list this incarnation of the server.
    Unknown,
    /// It has lost its own paths to the servers of the service.
    Isolated,
    /// It carries as many connections for other routers as it can.
    Busy,
    /// It is shutting down.
    Leaving,
    /// All slots of the server are in use.
    Full,
    /// It could not connect, and cannot tell whether that is due to the server.
    Unsure,
    /// The server refuses connections.
    ServerRefused,
    /// The server does not answer, although others do.
    ServerSilent,
}

impl Refusal {
    /// Whether the server is the reason, rather than the egress router.
    pub const fn is_by_server(self) -> bool {
        matches!(self, Self::ServerRefused | Self::ServerSilent)
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown_server",
            Self::Isolated => "isolated",
            Self::Busy => "busy",
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::Unsure => "unsure",
            Self::ServerRefused => "server_refused",
            Self::ServerSilent => "server_silent",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Why a tunnel could not be opened. Nothing was sent to the server.
#[derive(Debug)]
pub enum Error {
    /// This router does not hold the key of the fleet yet.
    NoKey,
    /// The connection to the egress router failed.
    Link(link::Error),
    /// The egress router refused.
    Refused(Rejection),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey => f.write_str("no_key"),
            Self::Link(error) => error.fmt(f),
            Self::Refused(rejection) => rejection.refusal.fmt(f),
        }
    }
}

impl error::Error for Error {}

impl From<link::Error> for Error {
    fn from(error: link::Error) -> Self {
        Self::Link(error)
    }
}
