//! What routers tell each other: which versions they know, and what they have in flight.

mod digest;
mod fetch;
mod readers;
mod roll;
pub mod sums;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{availability, host, time::Instant};
use wire::seal::{Audience, Boot, Key, Opener, Sealer, Tag};

pub use digest::{Digest, Frame, Load, Versions};
pub use readers::{Readers, WATCHERS, Watcher};
pub use roll::Roll;
pub use sums::{Sum, Sums};

use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    mirror::Mirror,
    source::{Member, Secret, Source, Topic},
    state::Ages,
};

/// How often a router tells some others.
///
/// Loads are older than this by half on average; at 100 requests a second on
/// 15 servers a server gets about one request in that time.
const INTERVAL: Duration = Duration::from_millis(200);
/// How many others are told each time: all of a fleet of up to nine routers.
const FAN_OUT: usize = 8;
/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 2048;

/// The rows that can be passed on.
pub type Mirrors = BTreeMap<Topic, Mirror>;

/// What the task works with.
#[derive(Debug)]
pub struct Inputs {
    /// This router.
    pub own: Member,
    /// The registered routers.
    pub members: watch::Receiver<Arc<Vec<Member>>>,
    /// What this router knows of the store.
    pub mirrors: watch::Receiver<Arc<Mirrors>>,
    /// Whether the store answers this router.
    pub is_served: watch::Receiver<bool>,
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
}

/// Talks to the other routers until the process ends.
pub async fn run<S: Source>(
    clock: Clock,
    source: S,
    socket: UdpSocket,
    listener: TcpListener,
    secret: Secret,
    inputs: Inputs,
    outputs: Outputs,
) {
    let Secret { key, boot } = secret;
    logging::event!(info, "peers_started", address = inputs.own.address);
    tokio::spawn(fetch::serve(listener, key.clone(), inputs.mirrors.clone()));
    let (done, ends) = mpsc::channel(4);
    let task = Task {
        clock,
        source,
        is_asking: false,
        store_failed_until: Instant::ZERO,
        done,
        sealer: Sealer::new(&key, &inputs.own.host, boot),
        opener: Opener::new(&key, &inputs.own.host, boot),
        boots: BTreeMap::new(),
        roll: Roll::default(),
        sums: Sums::default(),
        own_loads: Vec::new(),
        started_at: clock.now(),
        readers: Readers::new(&inputs.own.host, boot.0),
        socket,
        key,
        inputs,
        outputs,
        rounds: 0,
    };
    task.run(ends).await;
}

/// How a question to the store or to another router ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    StoreFailed,
    PeerFailed(SocketAddr),
}

struct Task<S> {
    clock: Clock,
    source: S,
    /// Whether a question is under way; there is one at a time.
    is_asking: bool,
    /// Until when other routers are asked in place of the store.
    store_failed_until: Instant,
    done: mpsc::Sender<End>,
    sealer: Sealer,
    opener: Opener,
    /// The starts of the others, by the tags of their hosts.
    boots: BTreeMap<Tag, Boot>,
    roll: Roll,
    sums: Sums,
    /// What this router last told to those who add up.
    own_loads: Vec<Load>,
    started_at: Instant,
    readers: Readers,
    socket: UdpSocket,
    key: Key,
    inputs: Inputs,
    outputs: Outputs,
    rounds: usize,
}

impl<S: Source> Task<S> {
    async fn run(mut self, mut ends: mpsc::Receiver<End>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                changed = self.inputs.mirrors.changed() => match changed {
                    // News goes out at once, and not only with the next round.
                    Ok(()) => self.send().await,
                    Err(_) => return,
                },
                Some(end) = ends.recv() => self.ended(end),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.hear(&buffer[..length], from),
                    // A peer that is gone shows as an error of the send before.
                    Err(error) => logging::event!(debug, "peer_unreachable", reason = error),
                },
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        for host in self.roll.silent(now) {
            logging::event!(info, "peer_lost", peer = host);
            self.tell(dispatch::Message::PeerLost(host));
        }
        self.watch_or_not().await;
        self.catch_up();
        self.send().await;
        if self.is_large() {
            self.send_sums().await;
        }
    }

    /// Whether the fleet is too large for each to hear each in every round.
    fn is_large(&self) -> bool {
        self.inputs.members.borrow().len() > FAN_OUT + 1
    }

    /// The routers of a zone that add up.
    fn adders(&self, zone: &availability::Zone) -> Vec<Member> {
        let now = self.clock.now();
        let own = &self.inputs.own.host;
        // Before there was time to hear all of them, none counts as silent.
        let is_early = now < self.started_at + self.patience();
        let members = self.inputs.members.borrow();
        let mut adders: Vec<&Member> = members
            .iter()
            .filter(|member| member.zone == *zone)
            .filter(|member| member.host == *own || is_early || self.roll.has(&member.host))
            .collect();
        adders.sort_by_key(|member| sums::hash(member.host.as_str()));
        adders.into_iter().take(sums::ADDERS).cloned().collect()
    }

    /// Adds up, if this router is one of those who do.
    async fn send_sums(&mut self) {
        let now = self.clock.now();
        let own_zone = self.inputs.own.zone.clone();
        let is_adder = self
            .adders(&own_zone)
            .iter()
            .any(|adder| adder.host == self.inputs.own.host);
        if !is_adder {
            return;
        }
        let sum = self
            .sums
            .zone(sums::hash(own_zone.as_str()), &self.own_loads, now);
        let total = self.sums.total(&sum, now);
        let members = Arc::clone(&self.inputs.members.borrow());
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        for zone in zones.into_iter().filter(|zone| **zone != own_zone) {
            for adder in self.adders(zone) {
                self.send_to(&Frame::Sum(sum.clone()), &adder).await;
            }
        }
        let own = self.inputs.own.host.clone();
        let near = members.iter().filter(|member| member.zone == own_zone);
        let frame = Frame::Total(total.clone());
        for member in near.filter(|member| member.host != own) {
            self.send_to(&frame, member).await;
        }
        self.take_total(&total);
    }

    /// Takes over what the whole fleet has in flight.
    fn take_total(&self, total: &[Load]) {
        let others = sums::without(total, &self.own_loads);
        self.tell(dispatch::Message::Others(others));
    }

    async fn send_to(&mut self, frame: &Frame, member: &Member) {
        let Ok(payload) = frame.encode() else {
            logging::event!(warn, "digest_too_long", peer = member.host);
            return;
        };
        let tag = Tag::new(&member.host);
        let audience = match self.boots.get(&tag) {
            Some(&boot) => Audience::Process(tag, boot),
            None => Audience::Anyone,
        };
        let datagram = self.sealer.seal(&payload, audience);
        // A datagram may be lost in any case; the next one follows soon.
        if let Err(error) = self.socket.send_to(&datagram, member.address).await {
            logging::event!(
                debug,
                "peer_unreachable",
                peer = member.host,
                reason = error
            );
        }
    }

    /// Watches the store, or leaves it to others.
    async fn watch_or_not(&mut self) {
        let now = self.clock.now();
        let members = Arc::clone(&self.inputs.members.borrow());
        let hosts: Vec<host::Id> = members.iter().map(|member| member.host.clone()).collect();
        let is_watching = self.readers.decide(&hosts, now);
        let changed = self.outputs.is_watching.send_if_modified(|before| {
            let changed = *before != is_watching;
            *before = is_watching;
            changed
        });
        if changed {
            logging::event!(info, "store_watch", watching = is_watching);
        }
        let is_served = is_watching && *self.inputs.is_served.borrow();
        if self.readers.has_returned(is_served, now) && !is_watching {
            // As above.
            drop(
                self.outputs
                    .events
                    .send(Event::Returned(Topic::Servers))
                    .await,
            );
        }
    }

    /// Asks for what this router has missed.
    ///
    /// The configuration may be large, and its bytes over many slow links
    /// between routers take longer than one call to the store. What is small
    /// comes from another router, and everything does while the store is away.
    fn catch_up(&mut self) {
        let now = self.clock.now();
        if self.is_asking {
            return;
        }
        let own = self.versions();
        let is_watching = *self.outputs.is_watching.borrow();
        let random = rand::random::<u32>() as usize;
        let Some(address) = self.roll.ahead(own, is_watching, random, now) else {
            return;
        };
        self.is_asking = true;
        let newest = self.roll.newest_configuration();
        let is_store_usable = !is_watching && now >= self.store_failed_until;
        if newest > own.configuration && is_store_usable {
            self.ask_store(own.configuration);
        } else {
            self.ask_peer(address, own);
        }
    }

    fn ended(&mut self, end: End) {
        self.is_asking = false;
        match end {
            End::Answered => {}
            End::StoreFailed => self.store_failed_until = self.clock.now() + STORE_PAUSE,
            End::PeerFailed(address) => self.roll.forget(address),
        }
    }

    fn ask_store(&self, known: u64) {
        let source = self.source.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            time::sleep(STORE_SPREAD.mul_f64(rand::random())).await;
            let deadline = time::Instant::now() + STORE_LIMIT;
            let end = match source.read(Topic::Configuration, deadline).await {
                Ok(batch) => {
                    let is_news = batch.rows.iter().any(|row| row.version > known);
                    drop(
                        events
                            .send(Event::Relayed(Topic::Configuration, batch))
                            .await,
                    );
                    // A stale answer is no better than none.
                    if is_news {
                        End::Answered
                    } else {
                        End::StoreFailed
                    }
                }
                Err(error) => {
                    logging::event!(info, "store_read_failed", reason = error);
                    End::StoreFailed
                }
            };
            // As above.
            let _ = done.send(end).await;
        });
    }

    async fn send(&mut self) {
        let now = self.clock.now();
        let is_served = *self.inputs.is_served.borrow();
        let watchers = self.readers.tell(is_served, now);
        let news = self.news().await;
        let own = self.inputs.own.host.clone();
        let digest = Digest::new(
            own,
            self.versions(),
            self.readers.is_steady(now),
            watchers,
            news,
        );
        self.own_loads.clone_from(&digest.loads);
        let frame = Frame::Digest(digest);
        for member in self.targets() {
            self.send_to(&frame, &member).await;
        }
    }

    /// The members whose turn it is.
    fn targets(&mut self) -> Vec<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = &self.inputs.own.host;
        let others: Vec<&Member> = members
            .iter()
            .filter(|member| member.host != *own)
            .collect();
        let start = self.rounds * FAN_OUT;
        self.rounds = self.rounds.wrapping_add(1);
        let turn = others.iter().cycle().skip(start % others.len().max(1));
        let mut targets: Vec<Member> = turn
            .take(FAN_OUT.min(others.len()))
            .copied()
            .cloned()
            .collect();
        if self.is_large() {
            let adders = self.adders(&self.inputs.own.zone).into_iter();
            let more = adders.filter(|adder| adder.host != *own && !targets.contains(adder));
            targets.extend(more.collect::<Vec<_>>());
        }
        targets
    }

    fn versions(&self) -> Versions {
        let mirrors = self.inputs.mirrors.borrow();
        let newest = |topic| mirrors.get(&topic).map_or(0, Mirror::newest);
        Versions {
            configuration: newest(Topic::Configuration),
            servers: newest(Topic::Servers),
            routers: newest(Topic::Routers),
        }
    }

    async fn news(&self) -> dispatch::News {
        let (reply, answer) = oneshot::channel();
        self.tell(dispatch::Message::News(reply));
        // The task ends only with the process.
        answer.await.unwrap_or_default()
    }

    fn hear(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        let opened = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                logging::event!(debug, "datagram_refused", reason = error);
                return;
            }
        };
        self.boots.insert(opened.tag, opened.boot);
        // What is not meant for this very process may be a replay.
        if !opened.fresh {
            return;
        }
        match Frame::decode(opened.payload) {
            Ok(Frame::Digest(digest)) => {
                let tag = opened.tag;
                self.hear_digest(digest, tag, from, now);
            }
            Ok(Frame::Sum(sum)) => self.sums.heard(sum, now),
            Ok(Frame::Total(total)) => self.take_total(&total),
            Err(_) => logging::event!(debug, "digest_malformed"),
        }
    }

    /// How long a router may stay unheard: until all have had their turn twice.
    fn patience(&self) -> Duration {
        let others = self.inputs.members.borrow().len();
        let rounds = u32::try_from(3 * others.div_ceil(FAN_OUT)).unwrap_or(u32::MAX);
        (INTERVAL * rounds).max(LEAST_PATIENCE)
    }

    fn hear_digest(&mut self, digest: Digest, tag: Tag, from: SocketAddr, now: Instant) {
        if Tag::new(&digest.host) != tag {
            return;
        }
        let patience = self.patience();
        if self.roll.heard(&digest, from, now, patience) {
            logging::event!(info, "peer_heard", peer = digest.host);
        }
        self.readers.hear(&digest.watchers, now);
        if digest.is_steady {
            // When the queue is full, the next digest says the same.
            let _ = self.outputs.events.try_send(Event::Steady);
        }
        let is_watching = *self.outputs.is_watching.borrow();
        if !is_watching {
            self.follow_peer(&digest, now);
        }
        if !digest.strikes.is_empty() {
            self.tell(dispatch::Message::Strikes(digest.strikes));
        }
        self.sums
            .told(digest.host.clone(), digest.loads.clone(), now);
        self.tell(dispatch::Message::Peer(digest.host, digest.loads));
    }

    /// Keeps up with a router that knows the store's word.
    fn follow_peer(&mut self, digest: &Digest, now: Instant) {
        if digest.versions.is_ahead_of(self.versions()) {
            self.catch_up();
        } else if digest.watchers.iter().any(|watcher| watcher.is_served) {
            self.outputs.ages.confirm(Topic::Configuration, now);
            self.outputs.ages.confirm(Topic::Servers, now);
        }
    }

    fn tell(&self, message: dispatch::Message) {
        // As above.
        drop(self.outputs.dispatch.send(message));
    }

    /// Asks a router that knows more than this one.
    fn ask_peer(&self, address: SocketAddr, versions: Versions) {
        logging::event!(
            info,
            "peer_ahead",
            peer = address,
            configuration = versions.configuration,
            servers = versions.servers,
            routers = versions.routers
        );
        let key = self.key.clone();
        let events = self.outputs.events.clone();
        let done = self.done.clone();
        tokio::spawn(async move {
            let end = match fetch::ask(address, &key, versions).await {
                Ok(batches) => {
                    for (topic, batch) in batches {
                        // As above.
                        drop(events.send(Event::Relayed(topic, batch)).await);
                    }
                    End::Answered
                }
                Err(error) => {
                    logging::event!(info, "peer_fetch_failed", peer = address, reason = error);
                    End::PeerFailed(address)
                }
            };
            let _ = done.send(end).await;
        });
    }
}

/// The reads of the store by all routers are spread over this time.
const STORE_SPREAD: Duration = Duration::from_millis(150);
/// How long such a read may take.
const STORE_LIMIT: Duration = Duration::from_millis(800);
/// How long other routers are asked after a read of the store failed.
const STORE_PAUSE: Duration = Duration::from_millis(1500);
/// The least time after which a router that is not heard counts as lost.
const LEAST_PATIENCE: Duration = Duration::from_millis(1000);
