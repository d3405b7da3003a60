//! The heartbeats that a router sends.

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

/// How often a router passes on one and the same summary of another.
const SUMMARY_TRANSMISSIONS: u8 = 3;

/// How much a heartbeat carries besides what the sender says of itself.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Content {
    updates: usize,
    summaries: usize,
    totals: usize,
    /// Whether the sum over the routers below goes along, up the tree.
    subtree: bool,
    strikes: usize,
    /// Whether the sender names itself also to a receiver that it was heard by.
    identity: bool,
}

impl Content {
    /// A beat to a router of the zone that watches this one.
    pub(super) const BEAT: Self = Self {
        updates: 2,
        summaries: 0,
        totals: 0,
        subtree: false,
        strikes: 1,
        identity: false,
    };
    /// A beat to a router of another zone that watches this one.
    pub(super) const OTHER_ZONE: Self = Self {
        totals: 1,
        ..Self::BEAT
    };
    /// A beat to a router below this one in the tree of the zone.
    pub(super) const TO_CHILD: Self = Self {
        totals: 3,
        ..Self::BEAT
    };
    /// A beat to the router above this one in the tree of the zone.
    pub(super) const TO_PARENT: Self = Self {
        subtree: true,
        ..Self::TO_CHILD
    };
    /// What others told of themselves, for a random router of the zone.
    pub(super) const GOSSIP: Self = Self {
        summaries: heartbeat::MAX_SUMMARIES / 2,
        ..Self::BEAT
    };
    /// A push of news.
    pub(super) const PUSH: Self = Self {
        updates: 8,
        summaries: 0,
        totals: 0,
        subtree: false,
        strikes: 4,
        identity: false,
    };
    /// A heartbeat to a host that may not know this router.
    pub(super) const INTRODUCTION: Self = Self {
        updates: 0,
        summaries: 0,
        totals: 0,
        subtree: false,
        strikes: 0,
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

    /// Tells `to` what this router holds of it, so that it can deny it.
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

    /// Sends the whole list of members, this router left out, in a few heartbeats.
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
            strikes: self.strikes.take(content.strikes, now),
        }
    }

    /// The hash of what this router knows of the live members, itself included.
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

    /// The summaries that were passed on least, of those the newest.
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

    /// The own zone's total to another zone, all totals within the zone.
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

    /// The total of the own zone: summed up here at the root of the tree, else as heard.
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

    /// The sum over this router and those below it in the tree of the zone.
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
