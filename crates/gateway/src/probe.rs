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
/// after a second. A server may also fall silent for about as long; with the time after which a
/// request has stalled, this allows for 1.7 s.
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
    /// Other servers of the service, to tell whether a failure is due to the server.
    pub controls: dial::Controls,
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
    /// The same, after it did not for some time.
    Resumed,
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
            Self::Resumed => "resumed",
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

/// Connects to a server. The connection is closed at once: a request would wait for a slot.
///
/// If that fails or takes long, the egress router is asked, and asked again before a silent
/// server counts as ended: a server may fall silent for a second and go on.
async fn connect<P: Protocol>(connector: &Connector<P>, probe: &Probe) -> Liveness {
    let direct = dial::connect(&connector.protocol, probe.address, &probe.controls, TIMEOUT);
    let mut direct = pin::pin!(direct);
    let early = time::timeout(CONFIRM_AFTER, &mut direct).await;
    if matches!(early, Ok(Ok(_))) {
        return Liveness::Accepts;
    }
    match connect_through(connector, probe).await {
        Answer::Accepts => return Liveness::AcceptsOthers,
        Answer::Refuses => return Liveness::Ended,
        Answer::Silent | Answer::Unknown => {}
    }
    let result = match early {
        Ok(result) => result,
        Err(_) => direct.await,
    };
    if result.is_ok() {
        return Liveness::Resumed;
    }
    match connect_through(connector, probe).await {
        Answer::Accepts => Liveness::AcceptsOthers,
        Answer::Refuses | Answer::Silent => Liveness::Ended,
        Answer::Unknown if result.is_err_and(|failure| failure == dial::Failure::Unsure) => {
            // Without other routers, none can tell more than this one.
            if probe.is_alone {
                Liveness::Ended
            } else {
                Liveness::Unknown
            }
        }
        Answer::Unknown => Liveness::Ended,
    }
}

/// What the egress router says about a server.
enum Answer {
    Accepts,
    Refuses,
    Silent,
    /// There is none, or it cannot tell.
    Unknown,
}

async fn connect_through<P: Protocol>(connector: &Connector<P>, probe: &Probe) -> Answer {
    let Some(egress) = &probe.egress else {
        return Answer::Unknown;
    };
    let open = Open {
        server: probe.server.clone(),
        incarnation: probe.incarnation,
        remaining: Millis(0),
        is_gated: false,
    };
    match connector.tunnels.open(egress.address, &open).await {
        Ok(_) => Answer::Accepts,
        Err(tunnel::Error::Refused(rejection)) => match rejection.refusal {
            tunnel::Refusal::ServerRefused => Answer::Refuses,
            tunnel::Refusal::ServerSilent => Answer::Silent,
            _ => Answer::Unknown,
        },
        Err(_) => Answer::Unknown,
    }
}
