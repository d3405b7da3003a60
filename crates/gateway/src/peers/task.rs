//! The gossip task.

use std::{collections::BTreeMap, sync::Arc};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time,
};
use units::{availability, host, time::Instant};
use wire::seal::{Audience, Boot, Key, Opener, Sealer, Tag};

use super::{
    Aggregators, Digest, Directory, FAN_OUT, Frame, INITIAL_FAN_OUT, INTERVAL, Inputs, LoadSlice,
    LoadSums, MIN_PUSH_INTERVAL, Outputs, QUIET_FAN_OUT, Scope, StoreFallback, Table, Unknown,
    Versions, Watchers,
    catch_up::{Completion, InFlight},
    digest, gossip_targets,
    origins::Origins,
    service_state::{Exchange, is_usage_turn},
    slices::{self, Figures, Rest, Rotation},
    sums,
};
use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    load::{Load, ReportDecoder, ReportEncoder},
    metrics::Distance,
    prefixes::PrefixUpdates,
    replica::Replica,
    source::{Member, Source, Topic},
};

/// The size of the receive buffer, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM: usize = 2048;

/// The state of the gossip task.
pub(super) struct Task<S> {
    pub(super) clock: Clock,
    pub(super) source: S,
    pub(super) in_flight: InFlight,
    pub(super) store_fallback: StoreFallback,
    pub(super) completions_sender: mpsc::Sender<Completion>,
    pub(super) seals: Seals,
    /// The latest known boot of each peer, by the tag of its host.
    pub(super) boots: BTreeMap<Tag, Boot>,
    pub(super) directory: Directory,
    pub(super) table: Table,
    pub(super) sums: LoadSums,
    /// The last digest that this router sent, without its loads.
    pub(super) last_digest: Option<Digest>,
    /// The loads that this router last reported.
    pub(super) own_loads: Vec<Load>,
    /// The aggregators of each zone.
    pub(super) aggregators: BTreeMap<availability::Zone, Aggregators>,
    /// Decodes the loads of each peer, or the zone sums if it is an aggregator of another
    /// zone, by the hash of its host name.
    pub(super) peer_decoders: BTreeMap<u32, ReportDecoder>,
    /// Decodes the fleet totals from the aggregators of this router's zone.
    pub(super) fleet_decoder: ReportDecoder,
    /// The number of routers that the last accepted total covers, and when that count
    /// expires.
    pub(super) fleet_routers: (u16, Instant),
    /// The loads of each peer, including those that its reports do not name, by the hash of
    /// its host name.
    pub(super) peer_figures: BTreeMap<u32, Figures>,
    /// The loads in the totals and slices of this zone's aggregators.
    pub(super) fleet_figures: Figures,
    /// Whether the last loads that were published had requests at servers that are not named.
    pub(super) has_buckets: bool,
    /// Datagrams that could not be decoded.
    pub(super) unknown: Unknown,
    /// The speeds of servers and the use by workspaces.
    pub(super) exchange: Exchange,
    own_rotation: Rotation,
    pub(super) zone_rotation: Rotation,
    pub(super) fleet_rotation: Rotation,
    load_encoder: ReportEncoder,
    pub(super) zone_encoder: ReportEncoder,
    pub(super) fleet_encoder: ReportEncoder,
    /// Prompt prefixes that servers have cached for routers of this zone, to be forwarded if
    /// this router is an aggregator.
    pub(super) zone_prefixes: PrefixUpdates,
    /// Prompt prefixes that servers have cached for any router of the fleet, to be forwarded
    /// likewise.
    pub(super) fleet_prefixes: PrefixUpdates,
    pub(super) watchers: Watchers,
    socket: UdpSocket,
    pub(super) inputs: Inputs,
    pub(super) outputs: Outputs,
    pub(super) rounds: usize,
    /// When news of requests that crash servers may be sent outside of a round again.
    push_at: Instant,
    /// The number of peers contacted so far, as a position in the shuffled order of peers.
    gossip_offset: usize,
    /// The same for messages about roll-outs.
    pub(super) rollout_offset: usize,
    /// The versions that began streams.
    pub(super) origins: Origins,
}

/// The keys that authenticate datagrams.
pub(super) struct Seals {
    /// Seals outgoing datagrams.
    pub sealer: Sealer,
    /// Opens incoming datagrams.
    pub opener: Opener,
    /// The key that all routers share.
    pub key: Key,
}

impl<S: Source> Task<S> {
    /// Creates a task that knows no peers, and the channel on which its requests complete.
    pub fn new(
        clock: Clock,
        source: S,
        socket: UdpSocket,
        seals: Seals,
        boot: Boot,
        inputs: Inputs,
        outputs: Outputs,
    ) -> (Self, mpsc::Receiver<Completion>) {
        let (completions_sender, completions) = mpsc::channel(4);
        let task = Self {
            clock,
            source,
            in_flight: InFlight::default(),
            store_fallback: StoreFallback::default(),
            completions_sender,
            seals,
            boots: BTreeMap::new(),
            directory: Directory::default(),
            table: Table::default(),
            sums: LoadSums::default(),
            last_digest: None,
            own_loads: Vec::new(),
            aggregators: BTreeMap::new(),
            peer_decoders: BTreeMap::new(),
            fleet_decoder: ReportDecoder::default(),
            fleet_routers: (0, Instant::ZERO),
            peer_figures: BTreeMap::new(),
            fleet_figures: Figures::default(),
            has_buckets: false,
            unknown: Unknown::default(),
            exchange: Exchange::default(),
            own_rotation: Rotation::default(),
            zone_rotation: Rotation::default(),
            fleet_rotation: Rotation::default(),
            load_encoder: ReportEncoder::default(),
            zone_encoder: ReportEncoder::default(),
            fleet_encoder: ReportEncoder::default(),
            zone_prefixes: PrefixUpdates::default(),
            fleet_prefixes: PrefixUpdates::default(),
            watchers: Watchers::new(&inputs.own.host, boot.0),
            socket,
            inputs,
            outputs,
            rounds: 0,
            push_at: Instant::ZERO,
            gossip_offset: 0,
            rollout_offset: 0,
            origins: Origins::default(),
        };
        (task, completions)
    }

    /// Runs until the process ends.
    pub async fn run(mut self, mut completions: mpsc::Receiver<Completion>) {
        let mut ticks = time::interval(INTERVAL);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                changed = self.inputs.replicas.changed() => match changed {
                    // Sends an update at once instead of in the next round.
                    Ok(()) => self.gossip(FAN_OUT).await,
                    Err(_) => return,
                },
                Ok(()) = self.inputs.crash_news.changed() => self.push().await,
                Some((audience, message)) = self.inputs.rollouts.recv() => {
                    self.send_rollout(audience, message).await;
                }
                Some(message) = self.inputs.origins.recv() => self.handle_origin(message).await,
                Some(completion) = completions.recv() => self.complete(completion),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => self.receive(&buffer[..length], from).await,
                    // The operating system reports an unreachable peer as an error of a
                    // later receive.
                    Err(error) => logging::event!(debug, "peer_unreachable", reason = error),
                },
            }
        }
    }

    /// Sends news of requests that crash servers. If there was some a moment ago, it waits
    /// for the next round.
    async fn push(&mut self) {
        let now = self.clock.now();
        if now >= self.push_at {
            self.push_at = now + MIN_PUSH_INTERVAL;
            self.gossip(FAN_OUT).await;
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        for host in self.table.remove_expired(now) {
            logging::event!(info, "peer_lost", peer = host);
            self.peer_decoders.remove(&sums::hash(host.as_str()));
            self.peer_figures.remove(&sums::hash(host.as_str()));
            self.notify_dispatch(dispatch::Message::PeerLost(host));
        }
        self.rounds = self.rounds.wrapping_add(1);
        let has_update = self.update_watching().await;
        self.catch_up();
        let count = self.fan_out(has_update);
        self.gossip(count).await;
        if self.is_large() {
            self.send_sums().await;
        }
        self.expire_usages(now);
        self.repeat_origins().await;
    }

    /// The number of peers to contact in a round.
    ///
    /// Watchers use the full fan-out in each round: only by their heartbeats do the others
    /// learn which routers watch the store, and whether it answers them.
    fn fan_out(&self, has_update: bool) -> usize {
        let is_watching = *self.outputs.is_watching.borrow();
        let others = self.inputs.members.borrow().len();
        if self.gossip_offset < others {
            INITIAL_FAN_OUT
        } else if has_update || is_watching || !self.is_large() {
            FAN_OUT
        } else {
            QUIET_FAN_OUT
        }
    }

    /// Whether a peer accepts datagrams of this process: it may have restarted unnoticed, but
    /// then it has lost its state as well.
    pub(super) fn is_introduced(&self, member: &Member) -> bool {
        self.boots.contains_key(&Tag::new(&member.host))
    }

    pub(super) async fn send_to(&mut self, frame: &Frame, member: &Member) {
        let payload = frame.encode();
        let payload = payload.or_else(|_| frame.clone().encode_truncated());
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
        let distance = Distance::between(Some(&self.inputs.own.zone), Some(&member.zone));
        self.outputs
            .metrics
            .datagram_sent(frame.kind(), distance, datagram.len());
        // Datagrams are not retried: any may be lost, and the next round follows soon.
        if let Err(error) = self.socket.send_to(&datagram, member.address).await {
            logging::event!(
                debug,
                "peer_unreachable",
                peer = member.host,
                reason = error
            );
        }
    }

    /// Starts or stops watching the store, as the set of watchers requires. Returns whether
    /// that changed.
    async fn update_watching(&mut self) -> bool {
        let now = self.clock.now();
        let members = Arc::clone(&self.inputs.members.borrow());
        let hosts: Vec<host::Id> = members.iter().map(|member| member.host.clone()).collect();
        let is_heard = |host: &host::Id| self.table.contains(host);
        let is_watching = self.watchers.should_watch(&hosts, is_heard, now);
        let changed = self.outputs.is_watching.send_if_modified(|before| {
            let changed = *before != is_watching;
            *before = is_watching;
            changed
        });
        if changed {
            logging::event!(info, "store_watch", watching = is_watching);
        }
        let is_store_reachable = is_watching && *self.inputs.is_store_reachable.borrow();
        if self.watchers.has_store_returned(is_store_reachable, now) && !is_watching {
            // The receiver lives as long as the process.
            drop(
                self.outputs
                    .events
                    .send(Event::StoreReturned(Topic::Servers))
                    .await,
            );
        }
        changed
    }

    /// Sends the state of this router to `count` peers.
    pub(super) async fn gossip(&mut self, count: usize) {
        let now = self.clock.now();
        let is_store_reachable = *self.inputs.is_store_reachable.borrow();
        let watchers = self.watchers.advertise(is_store_reachable, now);
        let state = self.local_state().await;
        let own = self.inputs.own.host.clone();
        let is_store_stable = self.watchers.is_store_stable(now);
        let digest = Digest::new(
            own,
            self.versions(),
            is_store_stable,
            watchers,
            state.reports,
        );
        let digest = digest.with_checksum(self.checksum());
        self.last_digest = Some(digest.clone());
        let (named, rest) = digest::loads(&state.loads);
        let report = self.load_encoder.next(&named, now);
        self.own_loads = [named, rest.clone()].concat();
        let slice = self.own_slice(rest, now);
        let service_state = self.own_state(&state.load_reports, state.usages, now);
        // In a large fleet each pair of routers exchanges a digest only every few seconds.
        // Loads in it would be too old to use and would take most of its bytes.
        let digest = if self.is_large() {
            digest
        } else {
            digest.with_loads(report.clone(), state.prefixes.clone())
        };
        let has_usages = is_usage_turn(self.rounds);
        let state_frame = service_state.clone().into_frame(has_usages);
        for member in self.targets(count) {
            if !self.is_large() {
                for frame in slice.iter().chain(&state_frame) {
                    self.send_to(frame, &member).await;
                }
            }
            self.send_to(&Frame::Digest(digest.clone()), &member).await;
            if !state.parts.is_empty() {
                self.send_to(&Frame::PartReports(state.parts.clone()), &member)
                    .await;
            }
        }
        if !self.is_large() {
            return;
        }
        self.queue_cached_prefixes(&state.prefixes, now);
        let frame = Frame::Loads {
            loads: report,
            cached_prefixes: state.prefixes,
        };
        for (position, member) in self.own_aggregators().into_iter().enumerate() {
            let has_usages = is_usage_turn(self.rounds + position);
            let state_frame = service_state.clone().into_frame(has_usages);
            for frame in slice.iter().chain(&state_frame) {
                self.send_to(frame, &member).await;
            }
            self.send_to(&frame, &member).await;
        }
    }

    /// The next slice of this router's loads that its reports do not name.
    fn own_slice(&mut self, rest: Vec<Load>, now: Instant) -> Option<Frame> {
        let rest = Rest::new(rest);
        let slice = self.own_rotation.next(&rest, slices::TURNS, now)?;
        Some(Frame::LoadSlice(LoadSlice {
            scope: Scope::Router,
            slice,
            relay_to: Vec::new(),
        }))
    }

    /// The next `count` members in gossip order.
    fn targets(&mut self, count: usize) -> Vec<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = &self.inputs.own.host;
        let offset = self.gossip_offset;
        self.gossip_offset = self.gossip_offset.wrapping_add(count);
        let targets = gossip_targets(&members, own, offset, count);
        targets.into_iter().cloned().collect()
    }

    /// The other aggregators of this router's zone.
    pub(super) fn own_aggregators(&mut self) -> Vec<Member> {
        let own = self.inputs.own.clone();
        let mut aggregators = self.aggregators(&own.zone);
        aggregators.retain(|aggregator| aggregator.host != own.host);
        aggregators
    }

    pub(super) fn versions(&self) -> Versions {
        let replicas = self.inputs.replicas.borrow();
        let newest = |topic| replicas.get(&topic).map_or(0, Replica::newest);
        Versions {
            configuration: newest(Topic::Configuration),
            servers: newest(Topic::Servers),
            routers: newest(Topic::Routers),
        }
    }

    /// The checksum over all rows that this router holds.
    pub(super) fn checksum(&self) -> u64 {
        let replicas = self.inputs.replicas.borrow();
        replicas
            .values()
            .fold(0, |checksum, replica| checksum ^ replica.checksum())
    }

    async fn local_state(&self) -> dispatch::PeerUpdate {
        let (reply, answer) = oneshot::channel();
        self.notify_dispatch(dispatch::Message::PeerUpdate(reply));
        // The dispatch task lives as long as the process.
        answer.await.unwrap_or_default()
    }

    pub(super) fn notify_dispatch(&self, message: dispatch::Message) {
        // The receiver lives as long as the process.
        drop(self.outputs.dispatch.send(message));
    }
}
