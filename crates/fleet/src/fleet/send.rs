//! Construction and sending of heartbeats.

use std::net;

use smallvec::SmallVec;
use units::{host, time};
use wire::{heartbeat, seal};

use super::{Actions, Fleet};
use crate::{
    event::{Action, Send},
    load,
    member::Member,
    member_list,
};

/// How often a router relays the same summary of another router.
const SUMMARY_TRANSMISSIONS: u8 = 3;

/// The limits of what a heartbeat carries besides the sender's own state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Content {
    updates: usize,
    summaries: usize,
    totals: usize,
    /// Whether to include the sum over the sender's subtree.
    subtree: bool,
    reports: usize,
    /// Whether to include the sender's identity even if the receiver already knows it.
    identity: bool,
}

impl Content {
    /// A periodic heartbeat to a watcher in the same zone.
    pub(super) const BEAT: Self = Self {
        updates: 2,
        summaries: 0,
        totals: 0,
        subtree: false,
        reports: 1,
        identity: false,
    };
    /// A periodic heartbeat to a watcher in another zone.
    pub(super) const OTHER_ZONE: Self = Self {
        totals: 1,
        ..Self::BEAT
    };
    /// A periodic heartbeat to a child in the zone's load tree.
    pub(super) const TO_CHILD: Self = Self {
        totals: 3,
        ..Self::BEAT
    };
    /// A periodic heartbeat to the parent in the zone's load tree.
    pub(super) const TO_PARENT: Self = Self {
        subtree: true,
        ..Self::TO_CHILD
    };
    /// Summaries of other routers, for a random router of the zone.
    pub(super) const GOSSIP: Self = Self {
        summaries: heartbeat::MAX_SUMMARIES / 2,
        ..Self::BEAT
    };
    /// A push of queued updates and reports.
    pub(super) const PUSH: Self = Self {
        updates: 8,
        summaries: 0,
        totals: 0,
        subtree: false,
        reports: 4,
        identity: false,
    };
    /// A heartbeat to a host that may not know this router's identity.
    pub(super) const INTRODUCTION: Self = Self {
        updates: 0,
        summaries: 0,
        totals: 0,
        subtree: false,
        reports: 0,
        identity: true,
    };
}

impl Fleet {
    pub(super) fn send(
        &mut self,
        to: net::SocketAddr,
        audience: seal::Audience,
        frame: heartbeat::Frame,
        out: &mut Actions,
    ) {
        out.push(Action::Send(Send {
            to,
            audience,
            frame: Box::new(frame),
        }));
    }

    /// Sends a heartbeat to a member.
    pub(super) fn send_to(
        &mut self,
        kind: heartbeat::Kind,
        host: &host::Id,
        content: Content,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let Some(member) = self.member_list.get(host) else {
            return;
        };
        let (to, audience) = (member.address, member.audience());
        let content = Content {
            identity: content.identity || !member.knows_identity,
            ..content
        };
        let frame = self.frame(kind, Some(host), content, now);
        self.send(to, audience, frame, out);
    }

    pub(super) fn send_join(&mut self, host: &host::Id, now: time::Instant, out: &mut Actions) {
        self.timers.join_sent(self.version + 1);
        self.send_to(heartbeat::Kind::Join, host, Content::INTRODUCTION, now, out);
    }

    /// Sends `host` this router's update about it, so that it can refute the update.
    pub(super) fn request_refutation(
        &mut self,
        host: &host::Id,
        now: time::Instant,
        out: &mut Actions,
    ) {
        let Some(member) = self.member_list.get(host) else {
            return;
        };
        let (to, audience, update) = (member.address, member.audience(), member.to_update());
        let mut frame = self.frame(
            heartbeat::Kind::Beat,
            Some(host),
            Content::INTRODUCTION,
            now,
        );
        frame.updates.push(update);
        self.send(to, audience, frame, out);
    }

    /// Sends `host` the member list, without `host` and this router, in several heartbeats.
    pub(super) fn send_members(&mut self, host: &host::Id, now: time::Instant, out: &mut Actions) {
        let updates: Vec<heartbeat::Member> = self
            .member_list
            .iter()
            .filter(|member| member.host != *host)
            .map(Member::to_update)
            .collect();
        let Some(member) = self.member_list.get(host) else {
            return;
        };
        let (to, audience) = (member.address, member.audience());
        for chunk in updates.chunks(heartbeat::MAX_UPDATES) {
            let mut frame = self.frame(heartbeat::Kind::Beat, Some(host), Content::default(), now);
            frame.updates = chunk.iter().cloned().collect();
            self.send(to, audience, frame, out);
        }
    }

    pub(super) fn frame(
        &mut self,
        kind: heartbeat::Kind,
        to: Option<&host::Id>,
        content: Content,
        now: time::Instant,
    ) -> heartbeat::Frame {
        self.version += 1;
        let same_zone = to
            .and_then(|host| self.member_list.get(host))
            .is_some_and(|member| member.zone == self.identity.zone);
        let summaries = if same_zone { content.summaries } else { 0 };
        heartbeat::Frame {
            kind,
            phase: self.phase,
            refutation: self.incarnation.refutation,
            version: self.version,
            revision: self.revision,
            load: self.load,
            digest: self.digest(),
            identity: content.identity.then(|| self.identity.clone()),
            updates: self.queued_updates(content.updates),
            subtree: content.subtree.then(|| self.subtree(now)),
            summaries: self.summaries(summaries, to, now),
            totals: self.totals(content.totals, same_zone, now),
            reports: self.reports.take(content.reports, now),
        }
    }

    /// The digest of the live members, this router included.
    pub(super) fn digest(&self) -> [u8; 4] {
        (self.member_list.digest() ^ member_list::digest_of(&self.local_update())).to_le_bytes()
    }

    fn queued_updates(&mut self, count: usize) -> SmallVec<[heartbeat::Member; 2]> {
        let hosts = self.update_queue.take(count, self.size());
        hosts
            .iter()
            .filter_map(|host| self.update_for(host))
            .collect()
    }

    fn update_for(&self, host: &host::Id) -> Option<heartbeat::Member> {
        if *host == self.identity.host {
            return Some(self.local_update());
        }
        self.member_list.get(host).map(Member::to_update)
    }

    fn local_update(&self) -> heartbeat::Member {
        heartbeat::Member {
            host: self.identity.host.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address,
            incarnation: self.incarnation,
            phase: self.phase,
        }
    }

    /// The summaries with the fewest transmissions, the most recent first among equals.
    fn summaries(
        &mut self,
        count: usize,
        to: Option<&host::Id>,
        now: time::Instant,
    ) -> SmallVec<[heartbeat::Summary; 4]> {
        if count == 0 {
            return SmallVec::new();
        }
        let expiry = self.settings.load_expiry;
        let zone = &self.identity.zone;
        let mut candidates: Vec<&mut Member> = self
            .member_list
            .iter_mut()
            .filter(|member| member.zone == *zone && member.phase.is_live())
            .filter(|member| {
                to != Some(&member.host) && member.summary_transmissions < SUMMARY_TRANSMISSIONS
            })
            .filter(|member| member.reported_at.is_some_and(|at| now.since(at) <= expiry))
            .collect();
        candidates.sort_by_key(|member| {
            (
                member.summary_transmissions,
                std::cmp::Reverse(member.reported_at),
            )
        });
        candidates
            .into_iter()
            .take(count)
            .map(|member| {
                member.summary_transmissions += 1;
                member.summary()
            })
            .collect()
    }

    /// The totals to send: only the local zone's to another zone, all known ones within the zone.
    fn totals(
        &self,
        count: usize,
        same_zone: bool,
        now: time::Instant,
    ) -> SmallVec<[heartbeat::Total; 2]> {
        if count == 0 {
            return SmallVec::new();
        }
        let local = self.local_zone_total(now);
        if !same_zone {
            return local.into_iter().collect();
        }
        let others = self.zone_totals.totals(now);
        let others = others.filter(|total| total.zone != self.zone_tag);
        local.into_iter().chain(others).take(count).collect()
    }

    /// The total of the local zone: computed at the root of the load tree, received elsewhere.
    pub(super) fn local_zone_total(&self, now: time::Instant) -> Option<heartbeat::Total> {
        if !self.member_list.tree_position().is_root() {
            return self
                .zone_totals
                .totals(now)
                .find(|total| total.zone == self.zone_tag);
        }
        let heartbeat::Subtree { lowest, load } = self.subtree(now);
        Some(heartbeat::Total {
            zone: self.zone_tag,
            age: 0,
            lowest,
            load,
        })
    }

    /// The sum over this router and its children's subtrees in the zone's load tree.
    fn subtree(&self, now: time::Instant) -> heartbeat::Subtree {
        let local = heartbeat::Subtree {
            lowest: self.revision,
            load: self.load,
        };
        let children = self.member_list.tree_position().children.iter();
        let reported = children.filter_map(|host| self.member_list.get(host)?.subtree);
        let recent = reported.filter(|(_, at)| now.since(*at) <= self.settings.load_expiry);
        recent.fold(local, |sum, (subtree, _)| heartbeat::Subtree {
            lowest: sum.lowest.min(subtree.lowest),
            load: load::add(sum.load, subtree.load),
        })
    }
}
