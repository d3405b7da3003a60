//! What routers tell each other: which versions they know, and what they have in flight.

mod aggregation;
mod aggregators;
mod catch_up;
mod digest;
mod directory;
pub mod fetch;
pub mod introduction;
mod relays;
mod store_fallback;
pub mod sums;
mod table;
mod targets;
mod task;
mod watchers;

use std::{sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
};
use wire::seal::{Opener, Sealer};

pub use aggregators::{AGGREGATORS, Aggregators};
pub use digest::{Digest, Frame, Total, Versions, loads};
pub use directory::Directory;
pub use relays::{Relay, relays};
pub use store_fallback::StoreFallback;
pub use sums::{Sum, Sums};
pub use table::{Part, PeerTable};
pub use targets::gossip_targets;
pub use watchers::{WATCHERS, Watcher, Watchers};

use crate::{
    ages::Ages,
    clock::Clock,
    dispatch,
    follow::Event,
    metrics::Metrics,
    replica::Replicas,
    source::{Member, Secret, Source},
};
use introduction::Introducer;
use task::Task;

/// How often a router tells some others. What they know of loads is half as old
/// on average.
pub const INTERVAL: Duration = Duration::from_millis(200);
/// How many others are told of news: all of a fleet of up to nine routers.
pub const FAN_OUT: usize = 8;
/// How many others a router of a larger fleet tells in a round without news, if
/// it does not watch the store.
///
/// What they hear then is that it is there, and who watches the store, in case a
/// datagram with news was lost.
pub const QUIET_FAN_OUT: usize = 2;
/// How many others a router tells at a time until it has told each once.
///
/// What others tell it before they have heard of its start is not meant for
/// this start and counts for nothing. Told to a few at a time, it would hear
/// less than half of what a large fleet says for seconds.
const INITIAL_FAN_OUT: usize = 32;

/// What the task works with.
#[derive(Debug)]
pub struct Inputs {
    /// This router.
    pub own: Member,
    /// The registered routers.
    pub members: watch::Receiver<Arc<Vec<Member>>>,
    /// What this router knows of the store.
    pub replicas: watch::Receiver<Arc<Replicas>>,
    /// Whether the store answers this router.
    pub is_store_reachable: watch::Receiver<bool>,
}

/// Whom the task tells.
#[derive(Clone, Debug)]
pub struct Outputs {
    /// The task that chooses servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// The task that knows what is stored.
    pub events: mpsc::Sender<Event>,
    /// Those that follow the store, when they are to do it.
    pub is_watching: watch::Sender<bool>,
    /// How old the views are.
    pub ages: Arc<Ages>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

/// Where other routers reach this one.
#[derive(Debug)]
pub struct Sockets {
    /// For what routers tell each other.
    pub digests: UdpSocket,
    /// For questions of routers that have the key.
    pub rows: TcpListener,
    /// For questions of routers that know nothing.
    pub introductions: TcpListener,
}

/// Talks to the other routers until the process ends.
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
