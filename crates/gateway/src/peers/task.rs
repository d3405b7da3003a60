//! The task that talks to the other routers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time,
};
use units::{availability, host, time::Instant};
use wire::seal::{Audience, Boot, Key, Opener, Sealer, Tag};

use super::{
    Aggregators, Digest, Directory, FAN_OUT, FIRST_FAN_OUT, Frame, INTERVAL, Inputs, Origin,
    Outputs, QUIET_FAN_OUT, Readers, Roll, Sums, Versions,
    asking::{Asking, End},
    digest, sums, turn,
};
use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    load::{Load, ReportDecoder, ReportEncoder},
    mirror::Mirror,
    prefixes::{CachedPrefix, PrefixUpdates},
    source::{Member, Source, Topic},
};

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 2048;
/// The least time after which a router that is not heard counts as lost.
const LEAST_PATIENCE: Duration = Duration::from_millis(1000);

/// The task's state.
pub(super) struct Task<S> {
    pub(super) clock: Clock,
    pub(super) source: S,
    pub(super) is_asking: Asking,
    pub(super) origin: Origin,
    pub(super) done: mpsc::Sender<End>,
    pub(super) seals: Seals,
    /// The starts of the others, by the tags of their hosts.
    boots: BTreeMap<Tag, Boot>,
    pub(super) directory: Directory,
    pub(super) roll: Roll,
    pub(super) sums: Sums,
    /// What this router last told others, but for its loads.
    last: Option<Digest>,
    /// What this router last told to those who add up.
    pub(super) own_loads: Vec<Load>,
    /// Those who add up, by zone.
    pub(super) aggregators: BTreeMap<availability::Zone, Aggregators>,
    /// What others told of their loads, or of the sum of their zones, by the
    /// hashes of their names.
    pub(super) heard: BTreeMap<u32, ReportDecoder>,
    /// What those who add up in the own zone told.
    pub(super) total_heard: ReportDecoder,
    /// How many routers the last total was over, and until when it counts.
    pub(super) total_routers: (u16, Instant),
    teller: ReportEncoder,
    pub(super) sum_teller: ReportEncoder,
    pub(super) total_teller: ReportEncoder,
    /// What servers have read for the own zone's routers, if this one adds up.
    pub(super) zone_reads: PrefixUpdates,
    /// What they have read for all routers.
    pub(super) fleet_reads: PrefixUpdates,
    readers: Readers,
    socket: UdpSocket,
    pub(super) inputs: Inputs,
    pub(super) outputs: Outputs,
    pub(super) rounds: usize,
    /// How many others have been told in their turn.
    told: usize,
}

/// What proves this router and checks the others.
pub(super) struct Seals {
    /// Seals what is sent.
    pub sealer: Sealer,
    /// Opens what comes.
    pub opener: Opener,
    /// The key that all routers share.
    pub key: Key,
}

impl<S: Source> Task<S> {
    /// A task that has heard nobody, and the ends of its questions.
    pub fn new(
        clock: Clock,
        source: S,
        socket: UdpSocket,
        seals: Seals,
        boot: Boot,
        inputs: Inputs,
        outputs: Outputs,
    ) -> (Self, mpsc::Receiver<End>) {
        let (done, ends) = mpsc::channel(4);
        let task = Self {
            clock,
            source,
            is_asking: Asking::default(),
            origin: Origin::default(),
            done,
            seals,
            boots: BTreeMap::new(),
            directory: Directory::default(),
            roll: Roll::default(),
            sums: Sums::default(),
            last: None,
            own_loads: Vec::new(),
            aggregators: BTreeMap::new(),
            heard: BTreeMap::new(),
            total_heard: ReportDecoder::default(),
            total_routers: (0, Instant::ZERO),
            teller: ReportEncoder::default(),
            sum_teller: ReportEncoder::default(),
            total_teller: ReportEncoder::default(),
            zone_reads: PrefixUpdates::default(),
            fleet_reads: PrefixUpdates::default(),
            readers: Readers::new(&inputs.own.host, boot.0),
            socket,
            inputs,
            outputs,
            rounds: 0,
            told: 0,
        };
        (task, ends)
    }

    /// Talks to the others until the process ends.
    pub async fn run(mut self, mut ends: mpsc::Receiver<End>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                changed = self.inputs.mirrors.changed() => match changed {
                    // News goes out at once, and not only with the next round.
                    Ok(()) => self.send(FAN_OUT).await,
                    Err(_) => return,
                },
                Some(end) = ends.recv() => self.ended(end),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.hear(&buffer[..length], from).await,
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
            self.heard.remove(&sums::hash(host.as_str()));
            self.tell(dispatch::Message::PeerLost(host));
        }
        self.rounds = self.rounds.wrapping_add(1);
        let has_news = self.watch_or_not().await;
        self.catch_up();
        let most = self.fan_out(has_news);
        self.send(most).await;
        if self.is_large() {
            self.send_sums().await;
        }
    }

    /// How many others are told in a round.
    ///
    /// Who watches the store, and whom it answers, is known through those who
    /// watch themselves, so these tell as many in each round as they tell of news.
    fn fan_out(&self, has_news: bool) -> usize {
        let is_watching = *self.outputs.is_watching.borrow();
        let others = self.inputs.members.borrow().len();
        if self.told < others {
            FIRST_FAN_OUT
        } else if has_news || is_watching || !self.is_large() {
            FAN_OUT
        } else {
            QUIET_FAN_OUT
        }
    }

    pub(super) async fn send_to(&mut self, frame: &Frame, member: &Member) {
        let payload = frame.encode();
        let payload = payload.or_else(|_| frame.clone().encode_fitting());
        let Ok(payload) = payload else {
            logging::event!(warn, "digest_too_long", peer = member.host);
            return;
        };
        let tag = Tag::new(&member.host);
        let audience = match self.boots.get(&tag) {
            Some(&boot) => Audience::Process(tag, boot),
            None => Audience::Anyone,
        };
        let datagram = self.seals.sealer.seal(&payload, audience);
        self.outputs.metrics.told(datagram.len());
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

    /// Watches the store, or leaves it to others. Returns whether that has changed.
    async fn watch_or_not(&mut self) -> bool {
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
            // The task ends only with the process.
            drop(
                self.outputs
                    .events
                    .send(Event::Returned(Topic::Servers))
                    .await,
            );
        }
        changed
    }

    /// Tells `most` others what this router knows.
    async fn send(&mut self, most: usize) {
        let now = self.clock.now();
        let is_served = *self.inputs.is_served.borrow();
        let watchers = self.readers.tell(is_served, now);
        let news = self.news().await;
        let own = self.inputs.own.host.clone();
        let is_steady = self.readers.is_steady(now);
        let digest = Digest::new(own, self.versions(), is_steady, watchers, news.strikes);
        let digest = digest.with_sum(self.sum());
        self.last = Some(digest.clone());
        self.own_loads = digest::loads(&news.loads);
        let report = self.teller.next(&self.own_loads, now);
        // In a large fleet a router hears each other one every few seconds. What
        // it then hears of loads is too old to count, and takes most of the bytes.
        let digest = if self.is_large() {
            digest
        } else {
            digest.with_loads(report.clone(), news.prefixes.clone())
        };
        for member in self.targets(most) {
            self.send_to(&Frame::Digest(digest.clone()), &member).await;
        }
        if !self.is_large() {
            return;
        }
        self.note_reads(&news.prefixes, now);
        let frame = Frame::Loads {
            loads: report,
            reads: news.prefixes,
        };
        for member in self.own_aggregators() {
            self.send_to(&frame, &member).await;
        }
    }

    /// The members whose turn it is.
    fn targets(&mut self, most: usize) -> Vec<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = &self.inputs.own.host;
        let told = self.told;
        self.told = self.told.wrapping_add(most);
        let targets = turn(&members, own, told, most);
        targets.into_iter().cloned().collect()
    }

    /// The others who add up in the own zone.
    fn own_aggregators(&mut self) -> Vec<Member> {
        let own = self.inputs.own.clone();
        let mut aggregators = self.aggregators(&own.zone);
        aggregators.retain(|aggregator| aggregator.host != own.host);
        aggregators
    }

    pub(super) fn versions(&self) -> Versions {
        let mirrors = self.inputs.mirrors.borrow();
        let newest = |topic| mirrors.get(&topic).map_or(0, Mirror::newest);
        Versions {
            configuration: newest(Topic::Configuration),
            servers: newest(Topic::Servers),
            routers: newest(Topic::Routers),
        }
    }

    /// A sum over all rows that this router holds.
    pub(super) fn sum(&self) -> u64 {
        let mirrors = self.inputs.mirrors.borrow();
        mirrors.values().fold(0, |sum, mirror| sum ^ mirror.sum())
    }

    async fn news(&self) -> dispatch::PeerUpdate {
        let (reply, answer) = oneshot::channel();
        self.tell(dispatch::Message::PeerUpdate(reply));
        // The task ends only with the process.
        answer.await.unwrap_or_default()
    }

    async fn hear(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        self.outputs.metrics.heard(datagram.len());
        let opened = match self.seals.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                logging::event!(debug, "datagram_refused", reason = error);
                return;
            }
        };
        let known = self.boots.get(&opened.tag).copied();
        // What is not meant for this very process may be a replay.
        if !opened.fresh {
            let (tag, boot) = (opened.tag, opened.boot);
            self.introduced(tag, boot, known).await;
            return;
        }
        self.boots.insert(opened.tag, opened.boot);
        match Frame::decode(opened.payload) {
            Ok(Frame::Digest(digest)) => {
                let tag = opened.tag;
                let has_news = self.hear_digest(digest, tag, from, now);
                if has_news && self.is_large() {
                    self.send(FAN_OUT).await;
                }
            }
            Ok(Frame::Loads { loads, reads }) => {
                let tag = opened.tag;
                self.hear_loads(tag, loads);
                self.note_reads(&reads, now);
                self.hear_reads(reads);
            }
            Ok(Frame::Sum {
                zone,
                routers,
                loads,
                reads,
            }) => {
                let tag = opened.tag;
                self.hear_sum(tag, zone, routers, loads);
                self.fleet_reads.forward(&reads, now);
                self.hear_reads(reads);
            }
            Ok(Frame::Total(total)) => self.hear_total(total).await,
            Err(_) => logging::event!(debug, "digest_malformed"),
        }
    }

    /// A router introduces itself. It is answered once, and learns by that for
    /// whom to seal what it tells this one.
    ///
    /// The introduction of an earlier start may be a replay: taken up, it would
    /// have all that is told the router sealed for a process that is gone.
    async fn introduced(&mut self, tag: Tag, boot: Boot, known: Option<Boot>) {
        if known.is_some_and(|known| boot <= known) {
            return;
        }
        self.boots.insert(tag, boot);
        let Some(member) = self.member(tag) else {
            return;
        };
        if let Some(digest) = self.last.clone() {
            self.send_to(&Frame::Digest(digest), &member).await;
        }
    }

    /// Keeps what a router of the own zone told of reads, to pass it on.
    fn note_reads(&mut self, reads: &[CachedPrefix], now: Instant) {
        self.zone_reads.forward(reads, now);
        self.fleet_reads.forward(reads, now);
    }

    /// Passes on to whoever chooses servers what other routers saw them read.
    pub(super) fn hear_reads(&self, reads: Vec<CachedPrefix>) {
        if !reads.is_empty() {
            self.tell(dispatch::Message::CachedPrefixes(reads));
        }
    }

    /// How long a router may stay unheard: until all have had their turn twice.
    fn patience(&self) -> Duration {
        let others = self.inputs.members.borrow().len();
        let most = if self.is_large() {
            QUIET_FAN_OUT
        } else {
            FAN_OUT
        };
        let rounds = u32::try_from(3 * others.div_ceil(most)).unwrap_or(u32::MAX);
        (INTERVAL * rounds).max(LEAST_PATIENCE)
    }

    /// Takes in a digest. Returns whether it tells something of the watchers
    /// that others should hear at once.
    fn hear_digest(&mut self, digest: Digest, tag: Tag, from: SocketAddr, now: Instant) -> bool {
        if Tag::new(&digest.host) != tag {
            return false;
        }
        let patience = self.patience();
        if self.roll.heard(&digest, from, now, patience) {
            logging::event!(info, "peer_heard", peer = digest.host);
        }
        let has_news = self.readers.hear(&digest.watchers, now);
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
        self.hear_reads(digest.reads);
        let Some(report) = digest.loads else {
            self.tell(dispatch::Message::Peer(digest.host, Vec::new()));
            return has_news;
        };
        let hash = sums::hash(digest.host.as_str());
        let loads = self.heard.entry(hash).or_default().apply(report);
        self.sums.told(digest.host.clone(), loads.clone(), now);
        self.tell(dispatch::Message::Peer(digest.host, loads));
        has_news
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

    pub(super) fn tell(&self, message: dispatch::Message) {
        // The task ends only with the process.
        drop(self.outputs.dispatch.send(message));
    }
}
