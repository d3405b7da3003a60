//! Gossip between routers: which store versions they hold and which requests they have in
//! flight.

mod aggregation;
mod aggregators;
mod audience;
mod catch_up;
mod digest;
mod directory;
pub mod fetch;
pub mod introduction;
pub mod load_reports;
mod origins;
mod receive;
mod relays;
mod service_state;
pub mod slices;
mod store_fallback;
pub mod sums;
mod table;
mod targets;
mod task;
mod unknown;
pub mod usages;
mod watchers;

use std::{sync::Arc, time::Duration};

use rollout::controller::Audience;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
};
use wire::seal::{Opener, Sealer};

pub use aggregators::{AGGREGATORS, Aggregators};
pub use digest::{Digest, FleetTotal, Frame, LoadSlice, Scope, ServiceState, Versions, loads};
pub use directory::Directory;
pub use relays::{Relay, relays};
pub use store_fallback::StoreFallback;
pub use sums::{LoadSums, ZoneSum};
pub use table::{Part, Table};
pub use targets::gossip_targets;
pub use unknown::Unknown;
pub use watchers::{WATCHERS, Watcher, Watchers};

use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    lost_routers,
    metrics::Metrics,
    replica::Replicas,
    rollouts,
    source::{Member, Secret, Source},
    staleness::Staleness,
};
use introduction::Introducer;
use task::Task;

/// The interval between gossip rounds. Peers' knowledge of this router's loads is half as
/// old on average.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// The number of peers that receive an update: every peer in a fleet of up to nine routers.
pub const FAN_OUT: usize = 8;
/// The number of peers contacted per round in a larger fleet when there is no update and
/// this router does not watch the store.
///
/// These datagrams show that the router is alive and repeat the list of watchers, in case a
/// datagram with an update was lost.
pub const QUIET_FAN_OUT: usize = 2;
/// The number of peers contacted per round until each has been contacted once after a
/// start.
///
/// Datagrams from peers that do not know of this start yet are sealed for an earlier
/// process and are ignored. With a smaller fan-out, a new router in a large fleet would
/// miss more than half of the gossip for seconds.
const INITIAL_FAN_OUT: usize = 32;

/// The minimum interval between two updates that are sent outside of rounds because of news
/// of requests that crash servers.
pub const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(50);

/// The inputs of the gossip task.
#[derive(Debug)]
pub struct Inputs {
    /// This router.
    pub own: Member,
    /// The registered routers.
    pub members: watch::Receiver<Arc<Vec<Member>>>,
    /// The local replica of the store.
    pub replicas: watch::Receiver<Arc<Replicas>>,
    /// Whether the store answers this router.
    pub is_store_reachable: watch::Receiver<bool>,
    /// Changes when there is news of requests that crash servers.
    pub crash_news: watch::Receiver<()>,
    /// Messages about the versions that began streams.
    pub origins: mpsc::UnboundedReceiver<crate::origins::Message>,
    /// The versions of each service that were seen.
    pub history: watch::Receiver<crate::origins::History>,
    /// Messages about roll-outs, and whom they are for.
    pub rollouts: mpsc::UnboundedReceiver<(Audience, rollout::Message)>,
}

/// The receivers of the gossip task's output.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// The task that selects backend servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// The task that maintains the replica of the store.
    pub events: mpsc::Sender<Event>,
    /// Whether this router is to watch the store, for the tasks that follow it.
    pub is_watching: watch::Sender<bool>,
    /// The task that controls roll-outs.
    pub rollouts: mpsc::UnboundedSender<rollouts::Event>,
    /// The task that writes the journal.
    pub journal: mpsc::UnboundedSender<Vec<crate::origins::Record>>,
    /// The registered routers that are lost.
    pub lost_routers: watch::Sender<Arc<lost_routers::Backlog>>,
    /// The ages of the replicated views.
    pub ages: Arc<Staleness>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The sockets on which other routers reach this one.
#[derive(Debug)]
pub struct Sockets {
    /// For gossip datagrams.
    pub digests: UdpSocket,
    /// For row requests of routers that hold the fleet key.
    pub rows: TcpListener,
    /// For key requests of routers that have neither the fleet key nor any state.
    pub introductions: TcpListener,
}

/// Runs the gossip task until the process ends.
pub async fn run<S: Source>(
    clock: Clock,
    source: S,
    sockets: Sockets,
    secret: Secret,
    inputs: Inputs,
    outputs: Outputs,
) {
    logging::event!(info, "peers_started", address = inputs.own.address);
    let introducer = Introducer::new(
        clock,
        secret.clone(),
        inputs.own.address,
        inputs.members.clone(),
    );
    tokio::spawn(introducer.serve(sockets.introductions));
    let Secret { key, boot } = secret;
    let rows = fetch::serve(sockets.rows, key.clone(), inputs.replicas.clone());
    tokio::spawn(rows);
    let seals = task::Seals {
        sealer: Sealer::new(&key, &inputs.own.host, boot),
        opener: Opener::new(&key, &inputs.own.host, boot),
        key,
    };
    let (task, completions) =
        Task::new(clock, source, sockets.digests, seals, boot, inputs, outputs);
    task.run(completions).await;
}
