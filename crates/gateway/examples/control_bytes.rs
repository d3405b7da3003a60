//! Measures the gossip traffic of fleets of several sizes over the loopback interface.
//!
//! The gossip tasks are real. Requests are simulated at random, and the store is a stub
//! without changes. Prints four lines for each size: requests only, also streams whose versions
//! are kept, requests during a roll-out whose new version is sound, and requests of callers that
//! compete, where routers also exchange the speeds of servers and the use by workspaces.
//!
//! The first argument selects the sizes with that number of routers, the second one a line by the
//! name of its traffic.

use std::{
    collections::{BTreeMap, VecDeque},
    env, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Weak},
    time::Duration,
};

use gateway::{
    clock::Clock,
    dispatch, load,
    metrics::Metrics,
    origins, outlier, peers, pool, prefixes, rollouts, roster, service_versions,
    source::{self, Batch, Member, Secret, Source, Topic},
    staleness::Staleness,
};
use load_report::Slowdown;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use recovery::quarantine::Combination;
use rollout::{Counts, Order, counts, stage};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, watch},
    time,
};
use units::{
    chat, host,
    time::{Instant, Millis},
};
use wire::seal::{Boot, Key};
use xxhash_rust::xxh3;

/// The duration of gossip before the measurement, and of the measurement.
const WARM_UP: Duration = Duration::from_secs(15);
const MEASUREMENT: Duration = Duration::from_secs(10);
/// The duration of a request at its server.
const REQUEST_DURATION: Duration = Duration::from_millis(900);
/// The fraction of requests with a prompt that their server has not cached yet.
const NEW_PROMPT_RATIO: f64 = 0.1;
/// The fraction of requests at the new version during a roll-out.
const CANARY_RATIO: f64 = 0.09;
/// The fraction of requests that begin a stream which callers may take up.
const STREAM_RATIO: f64 = 0.25;
/// The number of routes of the service that is rolled out.
const ROUTES: u16 = 3;
/// The number of workspaces; the first ones have more requests.
const WORKSPACES: u32 = 24;
/// How long a server keeps its speed, and how often in 100 it is slow then.
const SPEED_PERIOD: Duration = Duration::from_millis(600);
const SLOW_PERCENT: u64 = 15;
/// How long work takes at a slow server, in percent.
const SLOWDOWN: u16 = 250;
/// The length of such a prompt, in tokens.
const PROMPT_TOKENS: u32 = 10_000;

/// What happens beside requests that only have to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Traffic {
    Requests,
    Streams,
    Rollout,
    Contention,
}

/// The size of a fleet.
struct Size {
    routers: usize,
    zones: usize,
    servers: usize,
    /// Requests per second at each router.
    rate: f64,
}

/// The present fleet, the planned one, the largest that one process can simulate, and fleets in
/// which callers compete for the engines.
const SIZES: [Size; 6] = [
    Size {
        routers: 6,
        zones: 3,
        servers: 15,
        rate: 15.0,
    },
    Size {
        routers: 85,
        zones: 3,
        servers: 63,
        rate: 5.4,
    },
    Size {
        routers: 300,
        zones: 3,
        servers: 600,
        rate: 5.4,
    },
    Size {
        routers: 6,
        zones: 3,
        servers: 144,
        rate: 120.0,
    },
    Size {
        routers: 67,
        zones: 4,
        servers: 144,
        rate: 11.0,
    },
    Size {
        routers: 300,
        zones: 4,
        servers: 144,
        rate: 2.5,
    },
];

/// An empty store that does not change.
#[derive(Clone)]
struct StaticSource;

impl Source for StaticSource {
    async fn read(&self, _: Topic, _: time::Instant) -> Result<Batch, source::Error> {
        Ok(Batch {
            rows: Vec::new(),
            version: 1,
            is_snapshot: true,
        })
    }

    async fn changes(
        &self,
        _: Topic,
        _: u64,
        until: time::Instant,
    ) -> Result<Batch, source::Error> {
        time::sleep_until(until).await;
        Err(source::Error::Unavailable(String::from(
            "the store does not change",
        )))
    }

    async fn secret(&self, _: time::Instant) -> Result<Secret, source::Error> {
        Err(source::Error::Unavailable(String::from(
            "the secret is passed to the gossip task",
        )))
    }

    async fn register(&self, _: &Member, _: time::Instant) -> Result<(), source::Error> {
        Ok(())
    }

    async fn unregister(&self, _: &host::Id, _: time::Instant) -> Result<(), source::Error> {
        Ok(())
    }

    async fn record_rollout(
        &self,
        _: &Order,
        call: rollout::controller::Call,
        _: time::Instant,
    ) -> Result<rollout::controller::Recorded, source::Error> {
        Ok(rollout::controller::Recorded {
            state: stage::State::InProgress,
            elapsed: call.elapsed,
        })
    }

    async fn record_refused_parts(
        &self,
        _: &Combination,
        _: u32,
        _: &host::Id,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        Ok(())
    }

    async fn remove_refused_parts(
        &self,
        _: &Combination,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        Ok(())
    }

    async fn record_version(
        &self,
        _: &service_versions::Entry,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        Ok(())
    }

    async fn remove_version(
        &self,
        _: &service_versions::Entry,
        _: time::Instant,
    ) -> Result<(), source::Error> {
        Ok(())
    }

    async fn write_journal(
        &self,
        _: &str,
        _: Option<&[u8]>,
        _: &[String],
        _: time::Instant,
    ) -> Result<(), source::Error> {
        Ok(())
    }

    async fn read_journal(&self, _: time::Instant) -> Result<Vec<source::Row>, source::Error> {
        Ok(Vec::new())
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
        Ok(None)
    }

    fn directive(&self, _: &source::Row) -> Result<source::Directive, source::Malformed> {
        Ok(source::Directive::Unknown)
    }

    fn server(&self, _: &source::Row, _: Instant) -> Result<roster::Entry, source::Malformed> {
        Err(source::Malformed(String::from("the store is empty")))
    }

    fn member(&self, _: &source::Row) -> Result<Member, source::Malformed> {
        Err(source::Malformed(String::from("the store is empty")))
    }
}

fn server_name(server: usize) -> String {
    format!("i-{server:010x}")
}

/// How long work takes at a server, as its responses report it.
fn speed(server: usize, now: Instant) -> Slowdown {
    let period = now.as_micros() / SPEED_PERIOD.as_micros() as u64;
    let draw = xxh3::xxh3_64(&[period.to_le_bytes(), (server as u64).to_le_bytes()].concat());
    if draw % 100 < SLOW_PERCENT {
        Slowdown::from_percent(SLOWDOWN).expect("valid")
    } else {
        Slowdown::NONE
    }
}

/// A request in flight.
struct Request {
    server: usize,
    workspace: u32,
    end: Instant,
}

/// The simulated requests of one router.
struct Requests {
    random: SmallRng,
    clock: Clock,
    rate: f64,
    next_at: Instant,
    traffic: Traffic,
    in_flight: VecDeque<Request>,
    /// The last report of each server.
    reports: BTreeMap<usize, (Slowdown, Instant)>,
    trackers: Vec<outlier::OutcomeTracker>,
    prefixes: prefixes::PrefixUpdates,
    /// Outcomes during a roll-out.
    counts: Counts,
}

impl Requests {
    fn new(size: &Size, traffic: Traffic, seed: u64, clock: Clock) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            clock,
            rate: size.rate,
            next_at: clock.now(),
            traffic,
            in_flight: VecDeque::new(),
            reports: BTreeMap::new(),
            trackers: vec![outlier::OutcomeTracker::default(); size.servers],
            prefixes: prefixes::PrefixUpdates::default(),
            counts: Counts::default(),
        }
    }

    fn peer_update(&mut self) -> dispatch::PeerUpdate {
        let now = self.clock.now();
        while self.next_at <= now {
            let server = self.random.random_range(0..self.trackers.len());
            // The product of two uniform numbers prefers the first workspaces.
            let skewed = self.random.random::<f64>() * self.random.random::<f64>();
            self.in_flight.push_back(Request {
                server,
                workspace: (skewed * f64::from(WORKSPACES)) as u32,
                end: self.next_at + REQUEST_DURATION,
            });
            self.count(server);
            if self.random.random_bool(NEW_PROMPT_RATIO) {
                self.record_cached(server, now);
            }
            let gap = -self.random.random::<f64>().max(1e-9).ln() / self.rate;
            self.next_at = self.next_at + Duration::from_secs_f64(gap);
        }
        while let Some(request) = self.in_flight.pop_front_if(|request| request.end <= now) {
            let (server, end) = (request.server, request.end);
            self.trackers[server].record(self.random.random_bool(0.02), end);
            self.reports.insert(server, (speed(server, end), end));
        }
        let loads = self.trackers.iter().enumerate().map(|(server, tracker)| {
            let in_flight = self
                .in_flight
                .iter()
                .filter(|request| request.server == server);
            dispatch::Load {
                server: server_name(server).parse().expect("a name"),
                running: u32::try_from(in_flight.count()).expect("few"),
                outcomes: tracker.counts(now),
            }
        });
        let loads = loads.filter(|load| load.running > 0 || !load.outcomes.is_empty());
        dispatch::PeerUpdate {
            loads: loads.collect(),
            parts: Vec::new(),
            reports: Vec::new(),
            prefixes: self.prefixes.updates(now),
            load_reports: self.load_reports(now),
            usages: self.usages(),
        }
    }

    /// The last report of each server that has answered within a second.
    fn load_reports(&self, now: Instant) -> Vec<load_report::Shared> {
        if self.traffic != Traffic::Contention {
            return Vec::new();
        }
        let reports = self.reports.iter();
        let recent = reports.filter(|(_, (_, at))| now.since(*at) < Duration::from_secs(1));
        let shared = recent.map(|(&server, &(slowdown, at))| load_report::Shared {
            server: load::Load::hash(&server_name(server).parse().expect("a name")),
            slowdown,
            age: Millis::from(now.since(at)),
        });
        shared.collect()
    }

    fn usages(&self) -> Vec<scheduling::Usage> {
        if self.traffic != Traffic::Contention {
            return Vec::new();
        }
        let mut running: BTreeMap<u32, u32> = BTreeMap::new();
        for request in &self.in_flight {
            *running.entry(request.workspace).or_default() += 1;
        }
        let usages = running
            .into_iter()
            .map(|(workspace, running)| scheduling::Usage {
                workspace: load::Load::short_hash(xxh3::xxh3_64(&workspace.to_le_bytes())) << 8,
                running,
            });
        usages.collect()
    }

    /// Counts a response for the roll-out, on one of a few routes.
    fn count(&mut self, server: usize) {
        let route = counts::Route(self.random.random_range(1..=ROUTES) * 10_000);
        let arm = if self.random.random_bool(CANARY_RATIO) {
            counts::Arm::Candidate
        } else {
            counts::Arm::Baseline
        };
        let time = Duration::from_millis(self.random.random_range(20..90));
        let expected = Duration::from_millis(100);
        self.counts.record_success(route, arm, server as u64);
        self.counts
            .record_time(route, arm, server as u64, time, expected);
    }

    fn progress(&self) -> dispatch::Progress {
        dispatch::Progress {
            pool: order().pool,
            counts: self.counts.clone(),
            loads: pool::VersionLoads {
                baseline: 100,
                total: 110,
                candidate_servers: 10,
            },
            is_serving: false,
            longest_response: Millis(3000),
        }
    }

    /// Records that a server has cached a new prompt.
    fn record_cached(&mut self, server: usize, now: Instant) {
        let part = pool::Part {
            key: chat::Key(self.random.random()),
            tokens: PROMPT_TOKENS,
        };
        let name = server_name(server).parse().expect("a name");
        self.prefixes.record(load::Load::hash(&name), &part, now);
    }

    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<dispatch::Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                dispatch::Message::PeerUpdate(reply) => drop(reply.send(self.peer_update())),
                dispatch::Message::Progress(reply) => drop(reply.send(vec![self.progress()])),
                _ => {}
            }
        }
    }
}

async fn bind() -> io::Result<(Member, peers::Sockets)> {
    let digests = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address: SocketAddr = digests.local_addr()?;
    let member = Member {
        host: "unnamed".parse().expect("a name"),
        zone: "unnamed".parse().expect("a name"),
        address,
        tunnels: None,
    };
    let sockets = peers::Sockets {
        digests,
        rows: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
        introductions: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?,
    };
    Ok((member, sockets))
}

/// An order of a roll-out that lasts longer than the measurement.
fn order() -> Order {
    Order {
        pool: "llm".parse().expect("a name"),
        to: "v2".parse().expect("a version"),
        duration: Millis(600_000),
        revision: 1_000_000,
    }
}

/// Begins streams at a rate of `per_second`.
async fn begin_streams(messages: mpsc::UnboundedSender<origins::Message>, per_second: f64) {
    let mut pause = time::interval(Duration::from_secs_f64(1.0 / per_second));
    let pool: units::pool::Id = "llm".parse().expect("a name");
    loop {
        pause.tick().await;
        let record = origins::Record {
            key: origins::Key(rand::random()),
            version: "v1.2".parse().expect("a version"),
        };
        let began = origins::Message::Began(pool.clone(), record, Weak::new());
        if messages.send(began).is_err() {
            return;
        }
    }
}

/// The bytes of datagrams that routers have sent so far, by kind and without headers.
fn sent_by_kind(all_metrics: &[Arc<Metrics>]) -> BTreeMap<String, u64> {
    let mut sent = BTreeMap::new();
    for metrics in all_metrics {
        let text = metrics.text();
        let lines = text
            .lines()
            .filter_map(|line| line.strip_prefix("weir_peer_bytes_total{kind=\""));
        for line in lines {
            let kind = line.split('"').next().unwrap_or_default();
            let bytes = line.rsplit(' ').next().and_then(|text| text.parse().ok());
            *sent.entry(String::from(kind)).or_insert(0) += bytes.unwrap_or(0);
        }
    }
    sent
}

async fn measure(size: &Size, traffic: Traffic) -> io::Result<()> {
    let clock = Clock::start();
    let mut members = Vec::new();
    let mut sockets = Vec::new();
    for index in 0..size.routers {
        let (mut member, socket) = bind().await?;
        let zone = index % size.zones;
        member.host = format!("edge-zone-{zone}-{}", index / size.zones)
            .parse()
            .expect("a name");
        member.zone = format!("zone-{zone}").parse().expect("a name");
        members.push(member);
        sockets.push(socket);
    }
    let (_members_sender, members_receiver) = watch::channel(Arc::new(members.clone()));
    let (_replicas_sender, replicas) = watch::channel(Arc::default());
    let (_store_reachable_sender, is_store_reachable) = watch::channel(true);
    let mut all_metrics = Vec::new();
    let mut tasks = Vec::new();
    for (index, (own, sockets)) in members.into_iter().zip(sockets).enumerate() {
        let metrics = Arc::new(Metrics::default());
        all_metrics.push(Arc::clone(&metrics));
        let (dispatch, messages) = mpsc::unbounded_channel();
        let requests = Requests::new(size, traffic, index as u64, clock);
        tasks.push(tokio::spawn(requests.run(messages)));
        let (events, mut event_receiver) = mpsc::channel(64);
        tasks.push(tokio::spawn(async move {
            while event_receiver.recv().await.is_some() {}
        }));
        let (rollout_events, event_receiver) = mpsc::unbounded_channel();
        let (rollout_messages, rollout_receiver) = mpsc::unbounded_channel();
        let ages = Arc::new(Staleness::default());
        let channels = rollouts::Channels {
            members: members_receiver.clone(),
            dispatch: dispatch.clone(),
            peers: rollout_messages,
            stages_known: watch::channel(false).0,
            status: watch::channel(Vec::new()).0,
            ages: Arc::clone(&ages),
            metrics: Arc::clone(&metrics),
        };
        let settings = Some(rollout::Settings::default());
        let (task, completions) =
            rollouts::Task::new(clock, StaticSource, &own, settings, channels);
        tasks.push(tokio::spawn(task.run(event_receiver, completions)));
        if traffic == Traffic::Rollout {
            let event = rollouts::Event::Orders(vec![order()]);
            rollout_events.send(event).expect("the task runs");
        }
        let (origins_sender, origin_messages) = mpsc::unbounded_channel();
        if traffic == Traffic::Streams {
            let rate = size.rate * STREAM_RATIO;
            tasks.push(tokio::spawn(begin_streams(origins_sender, rate)));
        }
        let inputs = peers::Inputs {
            origins: origin_messages,
            history: watch::channel(origins::History::default()).1,
            crash_news: watch::channel(()).1,
            rollouts: rollout_receiver,
            own,
            members: members_receiver.clone(),
            replicas: replicas.clone(),
            is_store_reachable: is_store_reachable.clone(),
        };
        let outputs = peers::Outputs {
            dispatch,
            events,
            rollouts: rollout_events,
            is_watching: watch::channel(false).0,
            journal: mpsc::unbounded_channel().0,
            lost_routers: watch::channel(Arc::default()).0,
            ages,
            metrics,
        };
        let secret = Secret {
            key: Key::from_bytes([7; 32]),
            boot: Boot(index as u64 + 1),
        };
        tasks.push(tokio::spawn(peers::run(
            clock,
            StaticSource,
            sockets,
            secret,
            inputs,
            outputs,
        )));
        // Processes do not all start in the same millisecond.
        time::sleep(Duration::from_millis(1)).await;
    }
    time::sleep(WARM_UP).await;
    let before: Vec<_> = all_metrics
        .iter()
        .map(|metrics| metrics.control_bytes())
        .collect();
    let kinds_before = sent_by_kind(&all_metrics);
    time::sleep(MEASUREMENT).await;
    let kinds: Vec<String> = sent_by_kind(&all_metrics)
        .into_iter()
        .map(|(kind, sent)| {
            let sent = sent - kinds_before.get(&kind).copied().unwrap_or(0);
            let mean = sent / MEASUREMENT.as_secs() / size.routers as u64;
            format!("{kind}:{mean}")
        })
        .collect();
    let mut rates: Vec<_> = all_metrics
        .iter()
        .zip(before)
        .map(|(metrics, (sent, received))| {
            let (sent_now, received_now) = metrics.control_bytes();
            let seconds = MEASUREMENT.as_secs();
            (
                (sent_now - sent) / seconds,
                (received_now - received) / seconds,
            )
        })
        .collect();
    for task in tasks {
        task.abort();
    }
    rates.sort_by_key(|(sent, received)| sent + received);
    let median = rates[rates.len() / 2];
    let busiest = rates[rates.len() - 1];
    println!(
        "routers={} zones={} servers={} rate={} traffic={traffic:?} middle_sent={} middle_received={} busiest_sent={} busiest_received={} mean_sent_by_kind={}",
        size.routers,
        size.zones,
        size.servers,
        size.rate,
        median.0,
        median.1,
        busiest.0,
        busiest.1,
        kinds.join(",")
    );
    Ok(())
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let routers: Option<usize> = env::args().nth(1).and_then(|text| text.parse().ok());
    let name = env::args().nth(2);
    let selected = SIZES
        .iter()
        .filter(|size| routers.is_none_or(|routers| routers == size.routers));
    for size in selected {
        for traffic in [
            Traffic::Requests,
            Traffic::Streams,
            Traffic::Rollout,
            Traffic::Contention,
        ] {
            if name
                .as_ref()
                .is_none_or(|name| *name == format!("{traffic:?}"))
            {
                measure(size, traffic).await?;
            }
        }
    }
    Ok(())
}
