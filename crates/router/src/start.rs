//! Start and graceful shutdown of a router.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use error_stack::{Report, ResultExt as _};
use fleet::Region;
use ingress::{Pool, listener};
use storage::{hosts, table};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};
use wire::heartbeat;

use crate::{
    caller,
    claims::Claims,
    clock::Clock,
    entry::Entry,
    follow::{self, Follower},
    gossip::{self, Gossip},
    hop::{client, server},
    limits,
    members::Members,
    metrics::Metrics,
    owner::{self, Owner},
    settings::Settings,
    shutdown::Phase,
    tracker::Tracker,
    view::View,
};

/// Timeout for draining: responses in flight may take this long after the
/// listener was closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);
/// Time allowed for sending the last heartbeat before the process exits.
const LAST_HEARTBEAT_DELAY: Duration = Duration::from_millis(50);
/// The key derivation context for the fingerprint key.
const FINGERPRINT_USAGE: &str = "sesameweir fingerprint 1";

/// Why a router could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The listener for callers could not be opened.
    Listen,
    /// The sockets for other routers could not be opened.
    Peer,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listen => "cannot listen for callers",
            Self::Peer => "cannot listen for other routers",
        })
    }
}

impl std::error::Error for Error {}

/// A running router.
#[derive(Debug)]
pub struct Router {
    address: SocketAddr,
    peer: SocketAddr,
    leave_delay: Duration,
    phase: watch::Sender<Phase>,
    callers: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    entry: Arc<Entry>,
    gossip: mpsc::UnboundedSender<gossip::Message>,
}

impl Router {
    /// Starts all tasks of a router.
    ///
    /// # Errors
    ///
    /// If a listen address cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self, Report<Error>> {
        let clock = Clock::start();
        let memory = settings.memory.bytes();
        let buffer = listener::buffer(memory / limits::SOCKET_MEMORY_DIVISOR, settings.connections);
        let listener = listener::bind(settings.listen, buffer).change_context(Error::Listen)?;
        let address = listener.local_addr().change_context(Error::Listen)?;
        let peers = TcpListener::bind(settings.peer)
            .await
            .change_context(Error::Peer)?;
        let peer_address = peers.local_addr().change_context(Error::Peer)?;
        let heartbeats = UdpSocket::bind(peer_address)
            .await
            .change_context(Error::Peer)?;
        let own = heartbeat::Identity {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: peer_address,
        };
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (hosts_sender, hosts) = watch::channel(Arc::default());
        let (members_sender, members) = watch::channel(Arc::new(Members {
            own: own.host.clone(),
            peers: Vec::new(),
        }));
        let (gossip_sender, gossip_messages) = mpsc::unbounded_channel();
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let metrics = Arc::new(Metrics::new());
        let bodies = Pool::new(ingress::Limits::new(memory / limits::BODY_MEMORY_DIVISOR));
        let sources = follow::Sources {
            table: table::Client::metered(settings.platform, metrics.traffic()),
            hosts: hosts::Client::metered(settings.platform, metrics.traffic()),
            key: settings.key.clone(),
        };
        let outputs = follow::Outputs {
            view: view_sender,
            hosts: hosts_sender,
            members: members.clone(),
            gossip: gossip_sender.clone(),
            metrics: Arc::clone(&metrics),
        };
        let (follow_sender, follow_messages) = mpsc::channel(64);
        let follow = Follower::new(clock, Region::of(&settings.zone), sources, outputs);
        let inputs = owner::Inputs {
            view: view.clone(),
            members: members.clone(),
        };
        let (owner, owner_handle) =
            Owner::new(clock, inputs, settings.key.clone(), Arc::clone(&metrics));
        let (claims, claims_handle) = Claims::new(
            clock,
            settings.host.clone(),
            Arc::new(table::Client::new(settings.platform)),
            members.clone(),
        );
        let (tracker, tracker_handle) = Tracker::new(clock, view.clone(), gossip_sender.clone());
        let outputs = gossip::Outputs {
            members: members_sender,
            follow: follow_sender.clone(),
            tracker: tracker_handle.clone(),
            metrics: Arc::clone(&metrics),
        };
        let gossip = Gossip::new(clock, heartbeats, settings.key.clone(), own, outputs);
        let hops = server::Context {
            clock,
            key: settings.key.clone(),
            owner: owner_handle.clone(),
            tracker: tracker_handle.clone(),
            hosts: hosts.clone(),
            bodies: bodies.clone(),
            follow: follow_sender,
        };
        let entry = Arc::new(Entry {
            clock,
            metrics,
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            view,
            members,
            owner: owner_handle,
            tracker: tracker_handle,
            claims: claims_handle,
            links: client::Links::start(settings.key.clone()),
            fingerprint_key: settings.key.derive(FINGERPRINT_USAGE),
            bodies,
            parsing: Mutex::default(),
            phase: phase_receiver.clone(),
        });
        let tasks = vec![
            tokio::spawn(follow.run(follow_messages)),
            tokio::spawn(owner.run()),
            tokio::spawn(server::serve(peers, hops)),
            tokio::spawn(tracker.run()),
            tokio::spawn(claims.run()),
            tokio::spawn(gossip.run(gossip_messages, hosts, settings.seeds)),
        ];
        let connections = settings.connections;
        let callers = caller::serve(listener, Arc::clone(&entry), connections, phase_receiver);
        Ok(Self {
            address,
            peer: peer_address,
            leave_delay: Duration::from_millis(settings.leave_ms),
            phase,
            callers: tokio::spawn(callers),
            tasks,
            entry,
            gossip: gossip_sender,
        })
    }

    /// The bound address for callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The bound address for other routers.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The state that is shared by all requests.
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    /// Runs until SIGTERM or SIGINT is received, then shuts down gracefully.
    pub async fn run_until_signalled(self) {
        let (Ok(mut terminate), Ok(mut interrupt)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            logging::event!(error, "signals_unavailable");
            return;
        };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        self.shut_down().await;
    }

    /// Shuts down without interrupting requests in flight.
    ///
    /// The load balancer needs some time to detect that the router is not ready,
    /// and sends new callers until then. They are still served, and the listener
    /// is closed only afterwards. The process then waits for all responses in
    /// flight, including those of requests that other routers forwarded to
    /// servers owned by this router.
    pub async fn shut_down(self) {
        logging::event!(info, "leaving");
        self.phase.send_replace(Phase::Leaving);
        // Sending does not fail, since the gossip task runs until the process ends.
        let _ = self.gossip.send(gossip::Message::Leaving);
        time::sleep(self.leave_delay).await;
        self.phase.send_replace(Phase::Closing);
        logging::event!(info, "closing");
        let drained = async {
            // A panic of the task was already logged.
            let _ = self.callers.await;
            self.entry.owner.wait_drained().await;
        };
        if time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
            logging::event!(warn, "drain_timed_out");
        }
        // Sending does not fail, as above.
        let _ = self.gossip.send(gossip::Message::Left);
        time::sleep(LAST_HEARTBEAT_DELAY).await;
        for task in self.tasks {
            task.abort();
        }
        logging::event!(info, "closed");
    }
}
