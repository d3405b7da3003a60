//! Finds out whether a server that broke a connection has crashed.

use std::{fmt, net::SocketAddr, pin, time::Duration};

use tokio::{sync::mpsc, time};
use units::{backend, pool, time::Millis};

use crate::{
    connector::Connector,
    dial,
    dispatch::Message,
    egress::Egress,
    protocol::Protocol,
    tunnel::{self, Open},
};

/// The timeout for connecting to a server: the first packet may be lost, and is sent again
/// after a second.
const TIMEOUT: Duration = Duration::from_millis(1200);

/// The time without a connection after which another router is asked.
const CONFIRM_AFTER: Duration = Duration::from_millis(100);

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
    /// The address of another server of the service, to tell whether a failure is due to the
    /// server.
    pub control: Option<SocketAddr>,
    /// Whether there is no other router, so that none can tell more than this one.
    pub is_alone: bool,
    /// The router that is asked if this one cannot connect.
    pub egress: Option<Egress>,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Some server accepts connections at the address.
    Accepts,
    /// The server accepts connections of another router, and none of this one.
    AcceptsOthers,
    /// No server listens there, or the host does not answer.
    Ended,
    /// This router cannot tell, since it may have lost its paths, and no other one can.
    Unknown,
}

impl fmt::Display for Liveness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Accepts => "accepts",
            Self::AcceptsOthers => "accepts_others",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        })
    }
}

/// Runs probes until the sender of `probes` is dropped, and sends their results.
pub async fn run<P: Protocol>(
    connector: Connector<P>,
    mut probes: mpsc::UnboundedReceiver<Probe>,
    results: mpsc::UnboundedSender<Message>,
) {
    while let Some(probe) = probes.recv().await {
        let connector = connector.clone();
        let results = results.clone();
        tokio::spawn(async move {
            let liveness = connect(&connector, &probe).await;
            // The receiver lives as long as the process.
            drop(results.send(Message::Probed(probe, liveness)));
        });
    }
}

/// Connects to a server, and asks the egress router to do so if that fails or takes long. The
/// connections are closed at once: a request would wait for a slot.
async fn connect<P: Protocol>(connector: &Connector<P>, probe: &Probe) -> Liveness {
    let direct = dial::connect(&connector.protocol, probe.address, probe.control, TIMEOUT);
    let mut direct = pin::pin!(direct);
    let early = time::timeout(CONFIRM_AFTER, &mut direct).await;
    if matches!(early, Ok(Ok(_))) {
        return Liveness::Accepts;
    }
    let confirmed = match &probe.egress {
        Some(egress) => connect_through(connector, egress, probe).await,
        None => Liveness::Unknown,
    };
    match confirmed {
        Liveness::Accepts => return Liveness::AcceptsOthers,
        Liveness::Ended => return Liveness::Ended,
        _ => {}
    }
    let result = match early {
        Ok(result) => result,
        Err(_) => direct.await,
    };
    match result {
        Ok(_) => Liveness::Accepts,
        Err(dial::Failure::Unsure) if !probe.is_alone => Liveness::Unknown,
        Err(_) => Liveness::Ended,
    }
}

async fn connect_through<P: Protocol>(
    connector: &Connector<P>,
    egress: &Egress,
    probe: &Probe,
) -> Liveness {
    let open = Open {
        server: probe.server.clone(),
        incarnation: probe.incarnation,
        remaining: Millis(0),
        is_gated: false,
    };
    match connector.tunnels.open(egress.address, &open).await {
        Ok(_) => Liveness::Accepts,
        Err(tunnel::Error::Refused(refusal)) if refusal.is_by_server() => Liveness::Ended,
        Err(_) => Liveness::Unknown,
    }
}
