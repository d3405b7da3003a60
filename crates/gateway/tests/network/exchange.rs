//! Exchange of the speeds of servers and the use by workspaces over real sockets.

use std::{
    net::Ipv4Addr,
    sync::{Arc, Mutex},
    time::Duration,
};

use gateway::{
    clock::Clock,
    dispatch::{Message, PeerUpdate},
    metrics::Metrics,
    peers,
    roster::Entry,
    service_versions,
    source::{self, Batch, Member, Secret, Source, Topic},
    staleness::Staleness,
};
use load_report::{Shared, Slowdown};
use recovery::quarantine::Combination;
use rollout::{
    Order,
    controller::{Call, Recorded},
};
use scheduling::Usage;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    task::JoinHandle,
    time,
};
use units::{
    host,
    time::{Instant, Millis},
};
use wire::seal::{Boot, Key};
use yare::parameterized;

/// The time after which a test fails that waits for routers.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A store that does not answer.
#[derive(Clone)]
struct NoStore;

fn unavailable<T>() -> Result<T, source::Error> {
    Err(source::Error::Unavailable(String::from("there is none")))
}

fn malformed<T>() -> Result<T, source::Malformed> {
    Err(source::Malformed(String::from("the store is empty")))
}

impl Source for NoStore {
    async fn read(&self, _: Topic, _: time::Instant) -> Result<Batch, source::Error> {
        unavailable()
    }

    async fn changes(
        &self,
        _: Topic,
        _: u64,
        until: time::Instant,
    ) -> Result<Batch, source::Error> {
        time::sleep_until(until).await;
        unavailable()
    }

    async fn secret(&self, _: time::Instant) -> Result<Secret, source::Error> {
        unavailable()
    }

    async fn register(&self, _: &Member, _: time::Instant) -> Result<(), source::Error> {
        unavailable()
    }

    async fn unregister(&self, _: &host::Id, _: time::Instant) -> Result<(), source::Error> {
        unavailable()
    }

    async fn record_rollout(
        &self,
        _: &Order,
        _: Call,
        _: time::Instant,
    ) -> Result<Recorded, source::Error> {
        unavailable()
    }

    async fn record_refused_parts(
        &self,
        _: &Combination,
        _: u32,
        _: &host::Id,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        unavailable()
    }

    async fn remove_refused_parts(
        &self,
        _: &Combination,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        unavailable()
    }

    async fn record_version(
        &self,
        _: &service_versions::Entry,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        unavailable()
    }

    async fn remove_version(
        &self,
        _: &service_versions::Entry,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        unavailable()
    }

    async fn write_journal(
        &self,
        _: &str,
        _: Option<&[u8]>,
        _: &[String],
        _: time::Instant,
    ) -> Result<(), source::Error> {
        unavailable()
    }

    async fn read_journal(&self, _: time::Instant) -> Result<Vec<source::Row>, source::Error> {
        unavailable()
    }

    fn recorded_version(
        &self,
        _: &source::Row,
    ) -> Result<Option<service_versions::Entry>, source::Malformed> {
        Ok(None)
    }

    fn refused_parts(
        &self,
        _: &source::Row,
    ) -> Result<Option<(Combination, u32)>, source::Malformed> {
        malformed()
    }

    fn directive(&self, _: &source::Row) -> Result<source::Directive, source::Malformed> {
        malformed()
    }

    fn server(&self, _: &source::Row, _: Instant) -> Result<Entry, source::Malformed> {
        malformed()
    }

    fn member(&self, _: &source::Row) -> Result<Member, source::Malformed> {
        malformed()
    }
}

/// What the dispatch task of a router tells others, and what it is told.
#[derive(Debug, Default)]
struct State {
    usages: Vec<Usage>,
    load_reports: Vec<Shared>,
    peer_usages: Option<Vec<Usage>>,
    peer_reports: Vec<Shared>,
}

struct Router {
    /// The hash of its name, which orders the aggregators.
    hash: u32,
    state: Arc<Mutex<State>>,
    metrics: Arc<Metrics>,
    task: JoinHandle<()>,
}

impl Router {
    fn usages_of_others(&self) -> Option<Vec<Usage>> {
        let state = self.state.lock().expect("a lock");
        state.peer_usages.clone()
    }

    /// The slowdown that others last told of a server.
    fn slowdown_from_others(&self, server: u32) -> Option<Slowdown> {
        let state = self.state.lock().expect("a lock");
        let reports = state.peer_reports.iter().rev();
        let mut reports = reports.filter(|report| report.server == server);
        reports.next().map(|report| report.slowdown)
    }
}

async fn dispatch(state: Arc<Mutex<State>>, mut messages: mpsc::UnboundedReceiver<Message>) {
    while let Some(message) = messages.recv().await {
        let mut state = state.lock().expect("a lock");
        match message {
            Message::PeerUpdate(reply) => {
                let update = PeerUpdate {
                    load_reports: state.load_reports.clone(),
                    usages: state.usages.clone(),
                    ..PeerUpdate::default()
                };
                drop(reply.send(update));
            }
            Message::PeerUsages(usages) => state.peer_usages = Some(usages),
            Message::PeerLoadReports(reports) => state.peer_reports.extend(reports),
            _ => {}
        }
    }
}

/// Starts `count` routers in two zones.
async fn start(count: usize) -> Vec<Router> {
    let clock = Clock::start();
    let mut members = Vec::new();
    let mut sockets = Vec::new();
    for index in 0..count {
        let digests = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let digests = digests.expect("a port");
        members.push(Member {
            host: format!("r{index}").parse().expect("a name"),
            zone: format!("z{}", index % 2).parse().expect("a name"),
            address: digests.local_addr().expect("an address"),
            tunnels: None,
        });
        let listener = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        sockets.push(peers::Sockets {
            digests,
            rows: listener().await.expect("a port"),
            introductions: listener().await.expect("a port"),
        });
    }
    let members = Arc::new(members);
    let mut routers = Vec::new();
    for (index, sockets) in sockets.into_iter().enumerate() {
        let state = Arc::new(Mutex::new(State::default()));
        let metrics = Arc::new(Metrics::default());
        let (dispatch_sender, messages) = mpsc::unbounded_channel();
        // The task ends when the sender of replicas is dropped.
        let (replicas_sender, replicas) = watch::channel(Arc::default());
        let inputs = peers::Inputs {
            own: members[index].clone(),
            members: watch::channel(Arc::clone(&members)).1,
            replicas,
            is_store_reachable: watch::channel(false).1,
            crash_news: watch::channel(()).1,
            origins: mpsc::unbounded_channel().1,
            history: watch::channel(gateway::origins::History::default()).1,
            rollouts: mpsc::unbounded_channel().1,
        };
        let outputs = peers::Outputs {
            dispatch: dispatch_sender,
            events: mpsc::channel(64).0,
            is_watching: watch::channel(false).0,
            journal: mpsc::unbounded_channel().0,
            lost_routers: watch::channel(Arc::default()).0,
            rollouts: mpsc::unbounded_channel().0,
            ages: Arc::new(Staleness::default()),
            metrics: Arc::clone(&metrics),
        };
        let secret = Secret {
            key: Key::from_bytes([7; 32]),
            boot: Boot(1),
        };
        let dispatch = dispatch(Arc::clone(&state), messages);
        let run = peers::run(clock, NoStore, sockets, secret, inputs, outputs);
        let task = tokio::spawn(async move {
            let _replicas_sender = replicas_sender;
            tokio::join!(dispatch, run);
        });
        routers.push(Router {
            hash: peers::sums::hash(members[index].host.as_str()),
            state,
            metrics,
            task,
        });
    }
    routers
}

async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(time::Instant::now() < deadline, "timed out waiting: {what}");
        time::sleep(Duration::from_millis(20)).await;
    }
}

fn usage(workspace: u32, running: u32) -> Usage {
    Usage { workspace, running }
}

async fn sums_reach_all(count: usize) {
    let mut routers = start(count).await;
    let total: u32 = (1..).take(count).sum();
    for (router, running) in routers.iter().zip(1..) {
        router.state.lock().expect("a lock").usages = vec![usage(7, running)];
    }
    for (router, running) in routers.iter().zip(1..) {
        let others = Some(vec![usage(7, total - running)]);
        wait_until("the sum", || router.usages_of_others() == others).await;
    }
    // A report of one router reaches all others, also its return to the usual speed.
    for percent in [250, 100] {
        let slowdown = Slowdown::from_percent(percent).expect("valid");
        let report = Shared {
            server: 9,
            slowdown,
            age: Millis(0),
        };
        routers[0].state.lock().expect("a lock").load_reports = vec![report];
        for router in &routers[1..] {
            let has_arrived = || router.slowdown_from_others(9) == Some(slowdown);
            wait_until("the report", has_arrived).await;
        }
    }
    // The requests of a dead router stop counting. In a large fleet these are aggregators.
    for _ in 0..2 {
        let ranked = (0..routers.len()).min_by_key(|&index| routers[index].hash);
        let dead = routers.remove(ranked.expect("some are left"));
        dead.task.abort();
        let of = |router: &Router| router.state.lock().expect("a lock").usages[0].running;
        let total: u32 = routers.iter().map(of).sum();
        for router in &routers {
            let others = Some(vec![usage(7, total - of(router))]);
            wait_until("the sum without the dead router", || {
                router.usages_of_others() == others
            })
            .await;
        }
    }
    // Without requests, nothing counts any more.
    for router in &routers {
        router.state.lock().expect("a lock").usages.clear();
    }
    for router in &routers {
        let is_empty = || router.usages_of_others() == Some(Vec::new());
        wait_until("the end of all requests", is_empty).await;
    }
    routers.iter().for_each(|router| router.task.abort());
}

/// Guards against routers that decide on shares or speeds by their own requests only, although
/// others are reached.
#[parameterized(
    a_small_fleet = { 4 },
    a_large_fleet = { 14 },
)]
#[test_macro(tokio::test)]
async fn usages_and_reports_reach_all_routers(count: usize) {
    sums_reach_all(count).await;
}

/// Guards against traffic where callers do not compete and servers do not report their speed.
#[tokio::test]
async fn nothing_is_sent_without_usages_and_reports() {
    let routers = start(11).await;
    time::sleep(Duration::from_secs(2)).await;
    for router in &routers {
        assert!(router.metrics.control_bytes().0 > 0);
        let metrics = router.metrics.text();
        assert!(!metrics.contains("service_state"), "{metrics}");
        assert_eq!(router.usages_of_others(), None);
        router.task.abort();
    }
}
