//! Finds out whether a server that broke a connection has crashed.

use std::{fmt, io, net::SocketAddr, time::Duration};

use tokio::{sync::mpsc, time};
use units::{backend, pool};

use crate::{dispatch::Message, protocol::Protocol};

/// The timeout for connecting to a server: the first packet may be lost, and is sent again
/// after a second.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// Why a server is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request at it has broken off or stalled; it may have crashed.
    Crash,
    /// This router has lost its paths to the servers of the service.
    Path(pool::Id),
}

/// A server to probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Why it is probed.
    pub purpose: Purpose,
    /// The server.
    pub server: backend::Server,
    /// The incarnation in question.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Some server accepts connections at the address.
    Accepts,
    /// No server listens there, or the host does not answer.
    Ended,
    /// The probe failed for a reason on this host.
    Unknown,
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Accepts => "accepts",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        })
    }
}

/// Runs probes until the sender of `probes` is dropped, and sends their results.
pub async fn run<P: Protocol>(
    protocol: P,
    mut probes: mpsc::UnboundedReceiver<Probe>,
    results: mpsc::UnboundedSender<Message>,
) {
    while let Some(probe) = probes.recv().await {
        let protocol = protocol.clone();
        let results = results.clone();
        tokio::spawn(async move {
            let liveness = connect(&protocol, probe.address).await;
            // The receiver lives as long as the process.
            drop(results.send(Message::Probed(probe, liveness)));
        });
    }
}

/// Connects to a server. The connection is closed at once: a request would wait for a slot.
async fn connect<P: Protocol>(protocol: &P, address: SocketAddr) -> Liveness {
    match time::timeout(TIMEOUT, protocol.connect(address)).await {
        Ok(Ok(_)) => Liveness::Accepts,
        Ok(Err(error)) => match error.kind() {
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut => Liveness::Ended,
            _ => Liveness::Unknown,
        },
        Err(_) => Liveness::Ended,
    }
}
