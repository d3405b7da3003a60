//! Measures control traffic and the propagation of configuration with the real
//! membership protocol.
//!
//! Every heartbeat is encoded and sealed as a router would send it.

use std::{collections::BTreeMap, net, time::Duration};

use fleet::{Action, Fleet, Received, Seed, revision_sync};
use units::{availability, host, revision, time::Instant};
use wire::{heartbeat, seal};

use crate::{deployment::Deployment, queue::Queue, random::Random};

/// Bytes of the UDP and IPv4 headers of a datagram.
const UDP_HEADER_BYTES: usize = 28;
/// Bytes of the TCP and IPv4 headers of a request, a response and their
/// acknowledgements.
const TCP_HEADER_BYTES: usize = 4 * 40;
/// Response time of the configuration table.
const TABLE_LATENCY: Duration = Duration::from_millis(10);
/// Minimum time between two load polls of an engine.
const MIN_LOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two load polls of any engines of one owner.
const LOAD_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(1_500);
/// Time between two reads of the platform's host list by a router.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);
/// Start of the measurement, when the membership has converged.
const COUNT_FROM: Instant = Instant::from_millis(20_000);
/// Duration of the measurement.
const COUNT_DURATION: Duration = Duration::from_secs(40);
/// When the table accepts a revision.
const REVISION_ACCEPTED_AT: Instant = Instant::from_millis(60_300);
/// When the simulation ends.
const END_AT: Instant = Instant::from_millis(75_000);

/// Measured control traffic.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Heartbeat bytes per second that the busiest router sends and receives.
    pub heartbeats: f64,
    /// Bytes per second of the table polls of the busiest router.
    pub polls: f64,
    /// Mean size of a sealed heartbeat with its headers, in bytes.
    pub frame: f64,
    /// For each router, the time from the acceptance of the revision until it is
    /// applied, in seconds.
    pub applied: Vec<f64>,
}

/// Bytes of one HTTP exchange on an open connection.
fn exchange_bytes(request: &str, response: &str) -> usize {
    request.len() + response.len() + TCP_HEADER_BYTES
}

/// Bytes of one poll of the table's revision.
pub fn poll_bytes() -> usize {
    let request = "GET /table/rows/config/revision HTTP/1.1\r\nhost: 10.0.0.1:7000\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 62\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n{\"key\":\"config/revision\",\"value\":12345,\"generation\":123456}\r\n";
    exchange_bytes(request, response)
}

/// Bytes of one load report with its request.
pub fn load_bytes() -> usize {
    let request = "GET /load HTTP/1.1\r\nhost: 10.0.0.1:7000\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 132\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n{\"boot\":\"0123456789abcdef\",\"seq\":12345,\"running\":12,\"waiting\":0,\"capacity\":64,\"cached_tokens\":1234567,\"models\":[\"weir-large-1\"]}";
    exchange_bytes(request, response)
}

/// Time between two load polls of an engine by the owner of `engines` engines, as in
/// the router.
pub fn load_interval(engines: usize) -> Duration {
    let engines = u32::try_from(engines).unwrap_or(u32::MAX);
    MIN_LOAD_INTERVAL.max(LOAD_INTERVAL_PER_ENGINE.saturating_mul(engines))
}

/// Bytes per second of the load reports to the owner of `engines` engines.
pub fn load_rate(engines: usize) -> f64 {
    (engines * load_bytes()) as f64 / load_interval(engines).as_secs_f64()
}

/// Bytes per second of load reports to a router that polls every engine once a second.
pub fn poll_all_rate(engines: usize) -> f64 {
    (engines * load_bytes()) as f64
}

/// Bytes per second of polling a host list that does not change.
pub fn hosts_rate() -> f64 {
    let request =
        "GET /hosts HTTP/1.1\r\nhost: 10.0.0.1:7000\r\nif-none-match: \"0123456789abcdef\"\r\n\r\n";
    let response = "HTTP/1.1 304 Not Modified\r\netag: \"0123456789abcdef\"\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n";
    exchange_bytes(request, response) as f64 / HOSTS_INTERVAL.as_secs_f64()
}

#[derive(Debug)]
struct Message {
    from: usize,
    audience: seal::Audience,
    payload: Vec<u8>,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Arrive(usize, Message),
    Polled(usize),
    Fetched(usize, usize),
}

#[derive(Debug)]
struct Node {
    fleet: Fleet,
    revision_sync_state: revision_sync::RevisionSync,
    sealer: seal::Sealer,
    zone: availability::Zone,
    tag: seal::Tag,
    ready: bool,
    bytes: usize,
    polls: usize,
    applied_at: Option<Instant>,
}

struct Cluster<'a> {
    deployment: &'a Deployment,
    nodes: Vec<Node>,
    addresses: BTreeMap<net::SocketAddr, usize>,
    queue: Queue<Event>,
    now: Instant,
    frame_count: usize,
    frame_bytes: usize,
}

const BOOT: seal::Boot = seal::Boot(1);

/// Simulates the membership protocol of a deployment without requests.
pub fn measure(deployment: &Deployment, seed: u64) -> Traffic {
    let mut cluster = Cluster::new(deployment, seed);
    while let Some((now, event)) = cluster.queue.pop() {
        if now >= END_AT {
            break;
        }
        cluster.now = now;
        cluster.handle(event);
    }
    cluster.traffic()
}

impl<'a> Cluster<'a> {
    fn new(deployment: &'a Deployment, seed: u64) -> Self {
        let mut random = Random::new(seed, 4);
        let key: seal::Key = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
            .parse()
            .expect("a valid key");
        let mut addresses = BTreeMap::new();
        let mut nodes = Vec::new();
        let mut seeds = Vec::new();
        for index in 0..deployment.routers {
            let zone: availability::Zone = format!("lk-west-{}", index % deployment.zones)
                .parse()
                .expect("a valid name");
            let host: host::Id = format!("{zone}-r{index}").parse().expect("a valid name");
            let address = net::SocketAddr::from(([10, 0, 0, index as u8], 7000));
            addresses.insert(address, index);
            seeds.push(Seed {
                host: host.clone(),
                zone: zone.clone(),
                address,
            });
            let identity = heartbeat::Identity {
                host: host.clone(),
                zone: zone.clone(),
                address,
            };
            let settings = fleet::Settings::default();
            let seed = random.hash();
            nodes.push(Node {
                fleet: Fleet::new(settings, identity, BOOT, seed, Instant::ZERO),
                revision_sync_state: revision_sync::RevisionSync::new(
                    revision_sync::Settings::default(),
                    seed,
                    Instant::ZERO,
                ),
                sealer: seal::Sealer::new(&key, &host, BOOT),
                tag: seal::Tag::new(&host),
                zone,
                ready: false,
                bytes: 0,
                polls: 0,
                applied_at: None,
            });
        }
        let mut cluster = Self {
            deployment,
            nodes,
            addresses,
            queue: Queue::default(),
            now: Instant::ZERO,
            frame_count: 0,
            frame_bytes: 0,
        };
        for index in 0..deployment.routers {
            let phase = Duration::from_secs_f64(0.1 * random.unit());
            cluster
                .queue
                .push(Instant::ZERO + phase, Event::Tick(index));
            cluster.handle_fleet_event(index, fleet::Event::Hosts(seeds.clone()));
        }
        cluster
    }

    fn stored_revision(&self, at: Instant) -> revision::Id {
        revision::Id(if at < REVISION_ACCEPTED_AT { 1 } else { 2 })
    }

    fn is_counting(&self) -> bool {
        self.now >= COUNT_FROM && self.now < COUNT_FROM + COUNT_DURATION
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        if self.nodes[from].zone == self.nodes[to].zone {
            self.deployment.zone_latency
        } else {
            self.deployment.cross_zone_latency
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                self.handle_fleet_event(node, fleet::Event::Load(heartbeat::Load::default()));
                self.handle_fleet_event(node, fleet::Event::Tick);
                self.step_revision_sync(node);
                let tick = fleet::Settings::default().tick;
                self.queue.push(self.now + tick, Event::Tick(node));
            }
            Event::Arrive(node, message) => self.arrive(node, message),
            Event::Polled(node) => {
                let revision = self.stored_revision(self.now - TABLE_LATENCY / 2);
                self.apply(node, revision);
                let outcome = revision_sync::Outcome::Succeeded(revision);
                self.nodes[node]
                    .revision_sync_state
                    .record_outcome(outcome, self.now);
            }
            Event::Fetched(node, from) => {
                let revision = self.nodes[from]
                    .revision_sync_state
                    .applied()
                    .unwrap_or_default();
                self.apply(node, revision);
                let outcome = revision_sync::Outcome::Succeeded(revision);
                self.nodes[node]
                    .revision_sync_state
                    .record_outcome(outcome, self.now);
                self.step_revision_sync(node);
            }
        }
    }

    fn apply(&mut self, node: usize, revision: revision::Id) {
        if !self.nodes[node].revision_sync_state.apply(revision) {
            return;
        }
        if revision > revision::Id(1) {
            self.nodes[node].applied_at = Some(self.now);
        }
        self.handle_fleet_event(node, fleet::Event::Applied(revision));
    }

    fn step_revision_sync(&mut self, node: usize) {
        let target = &mut self.nodes[node];
        let zone = target.zone.clone();
        target
            .revision_sync_state
            .set_zone_routers(target.fleet.live_count(&zone));
        let is_designated = target.fleet.is_designated_poller();
        target
            .revision_sync_state
            .set_designated_poller(is_designated, self.now);
        if !target.ready && target.revision_sync_state.is_ready(self.now) {
            target.ready = true;
            self.handle_fleet_event(node, fleet::Event::Ready);
        }
        match self.nodes[node].revision_sync_state.step(self.now) {
            revision_sync::Step::Poll => {
                if self.is_counting() {
                    self.nodes[node].polls += 1;
                }
                self.queue
                    .push(self.now + TABLE_LATENCY, Event::Polled(node));
            }
            revision_sync::Step::Fetch { address, .. } => {
                let from = self.addresses[&address];
                let round_trip = self.latency(node, from) * 2;
                self.queue
                    .push(self.now + round_trip, Event::Fetched(node, from));
            }
            revision_sync::Step::Wait(_) => {}
        }
    }

    fn handle_fleet_event(&mut self, node: usize, event: fleet::Event) {
        let actions = self.nodes[node].fleet.handle(event, self.now);
        for action in actions {
            match action {
                Action::Send(send) => self.send(node, send),
                Action::NewerRevision {
                    revision,
                    host,
                    address,
                } => {
                    self.nodes[node]
                        .revision_sync_state
                        .add_source(host, address, revision);
                    self.step_revision_sync(node);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, send: fleet::Send) {
        let Some(&to) = self.addresses.get(&send.to) else {
            return;
        };
        let payload = send
            .frame
            .encode()
            .expect("the membership sends encodable frames");
        let sealed = self.nodes[node].sealer.seal(&payload, send.audience);
        let bytes = sealed.len() + UDP_HEADER_BYTES;
        if self.is_counting() {
            self.nodes[node].bytes += bytes;
            self.nodes[to].bytes += bytes;
            self.frame_count += 1;
            self.frame_bytes += bytes;
        }
        let message = Message {
            from: node,
            audience: send.audience,
            payload,
        };
        let latency = self.latency(node, to);
        self.queue
            .push(self.now + latency, Event::Arrive(to, message));
    }

    fn arrive(&mut self, node: usize, message: Message) {
        let frame =
            heartbeat::Frame::decode(&message.payload).expect("a frame that the sender encoded");
        let sender = &self.nodes[message.from];
        let own = seal::Audience::Process(self.nodes[node].tag, BOOT);
        let received = Received {
            from: net::SocketAddr::from(([10, 0, 0, message.from as u8], 7000)),
            tag: sender.tag,
            boot: BOOT,
            fresh: message.audience == own,
            frame,
        };
        self.handle_fleet_event(node, fleet::Event::Heartbeat(Box::new(received)));
    }

    fn traffic(&self) -> Traffic {
        let seconds = COUNT_DURATION.as_secs_f64();
        let busiest = self.nodes.iter().map(|node| node.bytes).max().unwrap_or(0);
        let polls = self.nodes.iter().map(|node| node.polls).max().unwrap_or(0);
        let applied = self.nodes.iter().map(|node| {
            let at = node.applied_at.unwrap_or(Instant::NEVER);
            at.since(REVISION_ACCEPTED_AT).as_secs_f64()
        });
        Traffic {
            heartbeats: busiest as f64 / seconds,
            polls: (polls * poll_bytes()) as f64 / seconds,
            frame: self.frame_bytes as f64 / self.frame_count.max(1) as f64,
            applied: applied.collect(),
        }
    }
}
