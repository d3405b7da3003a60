//! A deterministic simulated network that carries heartbeats between routers.
//!
//! It simulates delays, loss and partitions; processes can be killed, restarted and
//! paused. Time is virtual.

use std::{
    cmp,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::Duration,
};

use fleet::{Action, Event, Fleet, Received, Seed, Settings, revision_sync};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use units::{availability, backend, host, revision, time::Instant};
use wire::{heartbeat, seal};

/// The bytes that the seal and the UDP and IPv4 headers add to a heartbeat; a test of
/// `wire` measures the seal's share.
pub const OVERHEAD: usize = 34 + 28;
/// The capacity of a paused process's socket buffer, in datagrams.
const SOCKET_BUFFER: usize = 200;

/// How the network and the platform behave.
#[derive(Clone, Debug)]
pub struct Conditions {
    pub loss: f64,
    pub zone_delay: Duration,
    pub region_delay: Duration,
    pub distant_delay: Duration,
    pub poll_time: Duration,
    /// The probability that a table read returns the previous revision.
    pub stale_read: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            loss: 0.0,
            zone_delay: Duration::from_micros(300),
            region_delay: Duration::from_millis(1),
            distant_delay: Duration::from_millis(40),
            poll_time: Duration::from_millis(10),
            stale_read: 0.0,
        }
    }
}

pub struct Node {
    pub fleet: Fleet,
    pub sync: revision_sync::RevisionSync,
    pub host: host::Id,
    pub zone: availability::Zone,
    pub address: SocketAddr,
    tag: seal::Tag,
    pub boot: u64,
    pub up: bool,
    pub paused: bool,
    pub ready_reported: bool,
    pub table_reachable: bool,
    pub sent: usize,
    pub received: usize,
    pub frames: usize,
    pub polls: usize,
    pub partition: u8,
    socket_buffer: Vec<(usize, Message)>,
    /// Raised by each restart and resume, so that events scheduled before are dropped.
    generation: u64,
    ticks: u64,
}

#[derive(Clone)]
struct Message {
    from: usize,
    tag: seal::Tag,
    boot: seal::Boot,
    audience: seal::Audience,
    bytes: Vec<u8>,
}

enum NetEvent {
    Tick {
        node: usize,
        generation: u64,
    },
    Arrive {
        node: usize,
        message: Message,
    },
    Fetched {
        node: usize,
        generation: u64,
        from: usize,
    },
    Polled {
        node: usize,
        generation: u64,
    },
}

struct Scheduled {
    at: Instant,
    sequence: u64,
    event: NetEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

pub struct Net {
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub conditions: Conditions,
    pub settings: Settings,
    pub sync_settings: revision_sync::Settings,
    pub table: revision::Id,
    pub platform_up: bool,
    pub log: Vec<(Instant, usize, Action)>,
    pub logging: bool,
    addresses: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
    rng: ChaCha8Rng,
}

impl Net {
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            nodes: Vec::new(),
            now: Instant::from_millis(1000),
            conditions,
            settings: Settings::default(),
            sync_settings: revision_sync::Settings::default(),
            table: revision::Id(1),
            platform_up: true,
            log: Vec::new(),
            logging: true,
            addresses: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A region of `zones` zones that share `routers` routers.
    pub fn region(seed: u64, conditions: Conditions, zones: usize, routers: usize) -> Self {
        let mut net = Self::new(seed, conditions);
        for index in 0..routers {
            net.add(&format!("lk-west-{}", 1 + index % zones));
        }
        net.send_host_list();
        net
    }

    /// Adds a router to `zone`; its first tick is within 100 ms.
    pub fn add(&mut self, zone: &str) -> usize {
        let index = self.nodes.len();
        let zone: availability::Zone = zone.parse().unwrap();
        let host: host::Id = format!("{zone}-r{index}").parse().unwrap();
        let bytes = u32::try_from(index).unwrap().to_be_bytes();
        let address = SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], 7000));
        self.addresses.insert(address, index);
        let (fleet, sync) = self.new_state(&host, &zone, address, 1);
        let tag = seal::Tag::new(&host);
        self.nodes.push(Node {
            fleet,
            sync,
            host,
            zone,
            address,
            tag,
            boot: 1,
            up: true,
            paused: false,
            ready_reported: false,
            table_reachable: true,
            sent: 0,
            received: 0,
            frames: 0,
            polls: 0,
            partition: 0,
            socket_buffer: Vec::new(),
            generation: 0,
            ticks: 0,
        });
        self.schedule_tick(index);
        index
    }

    fn new_state(
        &mut self,
        host: &host::Id,
        zone: &availability::Zone,
        address: SocketAddr,
        boot: u64,
    ) -> (Fleet, revision_sync::RevisionSync) {
        let identity = heartbeat::Identity {
            host: host.clone(),
            zone: zone.clone(),
            address,
        };
        let boot = seal::Boot(boot);
        let seed = self.rng.random();
        let fleet = Fleet::new(self.settings.clone(), identity, boot, seed, self.now);
        let sync = revision_sync::RevisionSync::new(self.sync_settings.clone(), seed, self.now);
        (fleet, sync)
    }

    fn schedule_tick(&mut self, node: usize) {
        let offset = Duration::from_micros(self.rng.random_range(0..100_000));
        let generation = self.nodes[node].generation;
        self.schedule(self.now + offset, NetEvent::Tick { node, generation });
    }

    /// Passes the list of all hosts to every router that is up.
    pub fn send_host_list(&mut self) {
        let seeds: Vec<Seed> = self
            .nodes
            .iter()
            .map(|node| Seed {
                host: node.host.clone(),
                zone: node.zone.clone(),
                address: node.address,
            })
            .collect();
        for index in 0..self.nodes.len() {
            if self.nodes[index].up {
                self.handle(index, Event::Hosts(seeds.clone()));
            }
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].paused = false;
        self.nodes[node].socket_buffer.clear();
    }

    /// Restarts a router with empty state and the next boot number.
    pub fn restart(&mut self, node: usize) {
        let boot = self.nodes[node].boot + 1;
        self.restart_with_boot(node, boot);
    }

    /// Restarts a router with empty state and the given boot number.
    pub fn restart_with_boot(&mut self, node: usize, boot: u64) {
        let (host, zone) = (self.nodes[node].host.clone(), self.nodes[node].zone.clone());
        let address = self.nodes[node].address;
        let (fleet, sync) = self.new_state(&host, &zone, address, boot);
        let target = &mut self.nodes[node];
        target.fleet = fleet;
        target.sync = sync;
        target.boot = boot;
        target.up = true;
        target.paused = false;
        target.ready_reported = false;
        target.generation += 1;
        self.schedule_tick(node);
        self.send_host_list();
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = true;
    }

    /// Resumes a paused process: first it reads the datagrams buffered in its socket.
    pub fn wake(&mut self, node: usize) {
        self.nodes[node].paused = false;
        for (_, message) in std::mem::take(&mut self.nodes[node].socket_buffer) {
            self.arrive(node, &message);
        }
        self.nodes[node].generation += 1;
        let generation = self.nodes[node].generation;
        self.schedule(self.now, NetEvent::Tick { node, generation });
    }

    fn schedule(&mut self, at: Instant, event: NetEvent) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.queue.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run_until(self.now + duration);
    }

    pub fn run_until(&mut self, end: Instant) {
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let next = self.queue.pop().unwrap();
            self.now = next.at;
            self.process(next.event);
        }
        self.now = end;
    }

    fn process(&mut self, event: NetEvent) {
        match event {
            NetEvent::Tick { node, generation } => {
                let target = &self.nodes[node];
                if !target.up || target.paused || target.generation != generation {
                    return;
                }
                self.handle(node, Event::Tick);
                self.update_poll_share(node);
                self.drive_sync(node);
                let tick = self.settings.tick;
                self.schedule(self.now + tick, NetEvent::Tick { node, generation });
            }
            NetEvent::Arrive { node, message } => self.arrive(node, &message),
            NetEvent::Fetched {
                node,
                generation,
                from,
            } => self.fetched(node, generation, from),
            NetEvent::Polled { node, generation } => self.polled(node, generation),
        }
    }

    /// Updates a router's share of the zone's polls, twice a second.
    fn update_poll_share(&mut self, node: usize) {
        let Node {
            fleet,
            sync,
            zone,
            ticks,
            ..
        } = &mut self.nodes[node];
        *ticks += 1;
        if ticks.is_multiple_of(5) {
            sync.set_zone_routers(fleet.live_count(zone));
            sync.set_designated_poller(fleet.is_designated_poller(), self.now);
        }
    }

    fn arrive(&mut self, node: usize, message: &Message) {
        let target = &mut self.nodes[node];
        if !target.up {
            return;
        }
        if target.paused {
            if target.socket_buffer.len() < SOCKET_BUFFER {
                target.socket_buffer.push((node, message.clone()));
            }
            return;
        }
        let own = seal::Audience::Process(target.tag, target.fleet.incarnation().boot);
        let fresh = message.audience == own;
        if !fresh && message.audience != seal::Audience::Anyone {
            return;
        }
        target.received += message.bytes.len() + OVERHEAD;
        let received_heartbeat = Received {
            from: self.nodes[message.from].address,
            tag: message.tag,
            boot: message.boot,
            fresh,
            frame: heartbeat::Frame::decode(&message.bytes).unwrap(),
        };
        self.handle(node, Event::Heartbeat(Box::new(received_heartbeat)));
    }

    pub fn reachable(&self, a: usize, b: usize) -> bool {
        self.nodes[a].partition == self.nodes[b].partition
    }

    pub fn handle(&mut self, node: usize, event: Event) {
        let actions = self.nodes[node].fleet.handle(event, self.now);
        for action in actions {
            match &action {
                Action::Send(send) => self.send(node, send),
                Action::NewerRevision {
                    revision,
                    host,
                    address,
                } => {
                    let sync = &mut self.nodes[node].sync;
                    sync.add_source(host.clone(), *address, *revision);
                    self.drive_sync(node);
                }
                _ if self.logging => self.log.push((self.now, node, action)),
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, send: &fleet::Send) {
        let bytes = send.frame.encode().unwrap();
        let sender = &mut self.nodes[node];
        sender.sent += bytes.len() + OVERHEAD;
        sender.frames += 1;
        let message = Message {
            from: node,
            tag: sender.tag,
            boot: sender.fleet.incarnation().boot,
            audience: send.audience,
            bytes,
        };
        let Some(&to) = self.addresses.get(&send.to) else {
            return;
        };
        if !self.reachable(node, to) || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let at = self.now + self.delay(node, to);
        self.schedule(at, NetEvent::Arrive { node: to, message });
    }

    fn delay(&mut self, a: usize, b: usize) -> Duration {
        let (a, b) = (&self.nodes[a].zone, &self.nodes[b].zone);
        let base = if a == b {
            self.conditions.zone_delay
        } else if fleet::Region::of(a) == fleet::Region::of(b) {
            self.conditions.region_delay
        } else {
            self.conditions.distant_delay
        };
        base.mul_f64(self.rng.random_range(0.5..2.0))
    }

    fn drive_sync(&mut self, node: usize) {
        let generation = self.nodes[node].generation;
        match self.nodes[node].sync.step(self.now) {
            revision_sync::Step::Fetch { address, .. } => {
                let from = self.addresses[&address];
                let time = self.delay(node, from) * 3 + Duration::from_millis(1);
                self.schedule(
                    self.now + time,
                    NetEvent::Fetched {
                        node,
                        generation,
                        from,
                    },
                );
            }
            revision_sync::Step::Poll => {
                self.nodes[node].polls += 1;
                let at = self.now + self.conditions.poll_time;
                self.schedule(at, NetEvent::Polled { node, generation });
            }
            revision_sync::Step::Wait(_) => {}
        }
    }

    fn fetched(&mut self, node: usize, generation: u64, from: usize) {
        let source = &self.nodes[from];
        let answers = source.up && !source.paused && self.reachable(node, from);
        let revision_read = answers.then(|| source.sync.applied()).flatten();
        self.complete_read(node, generation, revision_read);
    }

    fn polled(&mut self, node: usize, generation: u64) {
        let answers = self.platform_up && self.nodes[node].table_reachable;
        let stale = self.rng.random_bool(self.conditions.stale_read);
        let revision_read = revision::Id(self.table.0 - u64::from(stale && self.table.0 > 1));
        self.complete_read(node, generation, answers.then_some(revision_read));
    }

    fn complete_read(&mut self, node: usize, generation: u64, revision_read: Option<revision::Id>) {
        let target = &mut self.nodes[node];
        if !target.up || target.paused || target.generation != generation {
            return;
        }
        let applied = revision_read.filter(|revision| target.sync.apply(*revision));
        let outcome = revision_read.map_or(
            revision_sync::Outcome::Failed,
            revision_sync::Outcome::Succeeded,
        );
        target.sync.record_outcome(outcome, self.now);
        if let Some(revision) = applied {
            self.handle(node, Event::Applied(revision));
        }
        let target = &mut self.nodes[node];
        if !target.ready_reported && target.sync.is_ready(self.now) {
            target.ready_reported = true;
            self.handle(node, Event::Ready);
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.up && !node.paused)
    }

    /// The running routers that act as the owner of `server`.
    pub fn acting_owners(&self, server: &backend::Server, zone: &availability::Zone) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&index| self.nodes[index].up && !self.nodes[index].paused)
            .filter(|&index| self.nodes[index].fleet.owns(server, zone, self.now))
            .collect()
    }

    /// The number of running routers whose list of owners is exactly the running routers.
    pub fn converged_count(&self) -> usize {
        let running: Vec<&host::Id> = self.running().map(|node| &node.host).collect();
        self.running()
            .filter(|node| {
                let mut owners: Vec<_> = node.fleet.owners(self.now).map(|o| o.0).collect();
                owners.sort();
                let mut expected = running.clone();
                expected.sort();
                owners == expected
            })
            .count()
    }

    pub fn reset_counts(&mut self) {
        for node in &mut self.nodes {
            node.sent = 0;
            node.received = 0;
            node.frames = 0;
            node.polls = 0;
        }
    }
}
