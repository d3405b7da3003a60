//! Datagrams that other routers have sent.

use std::{net::SocketAddr, time::Duration};

use units::time::Instant;
use wire::seal::{Boot, Tag};

use super::{Digest, FAN_OUT, Frame, INTERVAL, QUIET_FAN_OUT, sums, task::Task};
use crate::{
    dispatch,
    follow::Event,
    prefixes::CachedPrefix,
    rollouts,
    source::{Source, Topic},
};

/// The minimum time without a datagram after which a peer counts as lost.
const MIN_PEER_TIMEOUT: Duration = Duration::from_millis(1000);

impl<S: Source> Task<S> {
    pub(super) async fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let now = self.clock.now();
        self.outputs.metrics.datagram_received(datagram.len());
        let opened = match self.seals.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                logging::event!(debug, "datagram_refused", reason = error);
                return;
            }
        };
        let known = self.boots.get(&opened.tag).copied();
        // A datagram that is not sealed for this process may be a replay.
        if !opened.fresh {
            let (tag, boot) = (opened.tag, opened.boot);
            self.handle_introduction(tag, boot, known).await;
            return;
        }
        self.boots.insert(opened.tag, opened.boot);
        if known != Some(opened.boot) {
            self.origin_keeper_started(opened.tag);
        }
        match Frame::decode(opened.payload) {
            Ok(Frame::Digest(digest)) => {
                let tag = opened.tag;
                let has_update = self.receive_digest(digest, tag, from, now);
                if has_update && self.is_large() {
                    self.gossip(FAN_OUT).await;
                }
            }
            Ok(Frame::Loads {
                loads,
                cached_prefixes,
            }) => {
                let tag = opened.tag;
                self.receive_loads(tag, loads);
                self.queue_cached_prefixes(&cached_prefixes, now);
                self.apply_cached_prefixes(cached_prefixes);
            }
            Ok(Frame::ZoneSum {
                zone,
                routers,
                loads,
                cached_prefixes,
            }) => {
                let tag = opened.tag;
                self.receive_sum(tag, zone, routers, loads);
                self.fleet_prefixes.forward(&cached_prefixes, now);
                self.apply_cached_prefixes(cached_prefixes);
            }
            Ok(Frame::FleetTotal(total)) => self.receive_total(total).await,
            Ok(Frame::Rollout(message)) => {
                // The receiver lives as long as the process.
                drop(self.outputs.rollouts.send(rollouts::Event::Peer(message)));
            }
            Ok(Frame::Origins(records)) => self.keep_origins(&records),
            Ok(Frame::Journal(records)) => self.write_journal(records),
            Ok(Frame::OriginQuery(key)) => self.answer_origin(key, opened.tag).await,
            Ok(Frame::OriginAnswer(key, answer)) => {
                self.receive_origin(key, opened.tag, &answer);
            }
            Ok(Frame::PartReports(reports)) => {
                self.notify_dispatch(dispatch::Message::PartReports(reports));
            }
            Ok(Frame::LoadSlice(slice)) => self.receive_slice(opened.tag, slice).await,
            Ok(Frame::ServiceState(state)) => self.receive_state(opened.tag, state).await,
            // Frames of a newer version are ignored, too.
            Err(_) => {
                if let Some(count) = self.unknown.record(now) {
                    logging::event!(debug, "digest_malformed", count = count);
                }
            }
        }
    }

    /// Handles a datagram that is not sealed for this process: the first one of a peer's
    /// boot is answered, so that the peer learns this router's boot and seals its datagrams
    /// for it.
    ///
    /// A boot that is not newer than the known one may be a replay. If it were accepted,
    /// all datagrams to the peer would be sealed for a process that has ended.
    async fn handle_introduction(&mut self, tag: Tag, boot: Boot, known: Option<Boot>) {
        if known.is_some_and(|known| boot <= known) {
            return;
        }
        self.boots.insert(tag, boot);
        self.origin_keeper_started(tag);
        let Some(member) = self.member(tag) else {
            return;
        };
        if let Some(digest) = self.last_digest.clone() {
            self.send_to(&Frame::Digest(digest), &member).await;
        }
    }

    /// Queues prefixes that were cached for routers of this zone, to be forwarded to the zone
    /// and the fleet.
    pub(super) fn queue_cached_prefixes(&mut self, cached_prefixes: &[CachedPrefix], now: Instant) {
        self.zone_prefixes.forward(cached_prefixes, now);
        self.fleet_prefixes.forward(cached_prefixes, now);
    }

    /// Passes prefixes that servers cached for other routers to the dispatch task.
    pub(super) fn apply_cached_prefixes(&self, cached_prefixes: Vec<CachedPrefix>) {
        if !cached_prefixes.is_empty() {
            self.notify_dispatch(dispatch::Message::CachedPrefixes(cached_prefixes));
        }
    }

    /// The time without a datagram after which a peer counts as lost: three gossip cycles,
    /// in which each peer has had its turn at least twice.
    fn peer_timeout(&self) -> Duration {
        let others = self.inputs.members.borrow().len();
        let count = if self.is_large() {
            QUIET_FAN_OUT
        } else {
            FAN_OUT
        };
        let rounds = u32::try_from(3 * others.div_ceil(count)).unwrap_or(u32::MAX);
        (INTERVAL * rounds).max(MIN_PEER_TIMEOUT)
    }

    /// Applies a digest. Returns whether it changes the known watchers in a way that has to
    /// be relayed at once.
    fn receive_digest(&mut self, digest: Digest, tag: Tag, from: SocketAddr, now: Instant) -> bool {
        if Tag::new(&digest.host) != tag {
            return false;
        }
        let timeout = self.peer_timeout();
        if self.table.record(&digest, from, now, timeout) {
            logging::event!(info, "peer_heard", peer = digest.host);
        }
        let has_update = self.watchers.receive(&digest.watchers, now);
        if digest.is_store_stable {
            // If the queue is full, the event is dropped; the next digest repeats it.
            let _ = self.outputs.events.try_send(Event::StoreStable);
        }
        let is_watching = *self.outputs.is_watching.borrow();
        if !is_watching {
            self.follow_peer(&digest, now);
        }
        if !digest.reports.is_empty() {
            self.notify_dispatch(dispatch::Message::Reports(digest.reports));
        }
        self.apply_cached_prefixes(digest.cached_prefixes);
        let Some(report) = digest.loads else {
            self.notify_dispatch(dispatch::Message::Peer(digest.host, Vec::new()));
            return has_update;
        };
        let hash = sums::hash(digest.host.as_str());
        let loads = self.peer_decoders.entry(hash).or_default().apply(report);
        let figures = self.peer_figures.entry(hash).or_default();
        let loads = figures.complete(loads, now);
        self.sums
            .record_router(digest.host.clone(), loads.clone(), now);
        self.notify_dispatch(dispatch::Message::Peer(digest.host, loads));
        has_update
    }

    /// Fetches what a peer holds in newer versions; otherwise confirms the local views if
    /// the store answers a watcher.
    fn follow_peer(&mut self, digest: &Digest, now: Instant) {
        if digest.versions.is_ahead_of(self.versions()) {
            self.catch_up();
        } else if digest
            .watchers
            .iter()
            .any(|watcher| watcher.is_store_reachable)
        {
            self.outputs.ages.confirm(Topic::Configuration, now);
            self.outputs.ages.confirm(Topic::Servers, now);
        }
    }
}
