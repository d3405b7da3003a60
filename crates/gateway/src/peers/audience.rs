//! The receivers of messages about roll-outs.

use std::{cmp::Reverse, collections::BTreeSet, sync::Arc};

use rollout::{Message, controller::Audience};
use units::availability;

use super::{AGGREGATORS, FAN_OUT, Frame, gossip_targets, sums, task::Task};
use crate::source::{Member, Source};

/// The number of zones whose aggregators add up the counts of all zones.
///
/// If all zones exchanged their counts, the bytes that a router sends would grow with the
/// number of zones.
const JUDGING_ZONES: usize = 2;

impl<S: Source> Task<S> {
    /// Sends a message about a roll-out.
    pub(super) async fn send_rollout(&mut self, audience: Audience, message: Message) {
        let frame = Frame::Rollout(message);
        for member in self.rollout_targets(audience) {
            self.send_to(&frame, &member).await;
        }
    }

    fn rollout_targets(&mut self, audience: Audience) -> Vec<Member> {
        match audience {
            Audience::Collectors { all } => {
                let collectors = self.collectors();
                self.in_turn(collectors, all)
            }
            Audience::Judges { all } => {
                let judges = self.judges();
                self.in_turn(judges, all)
            }
            Audience::Router(host) => {
                let members = self.inputs.members.borrow();
                let mut members = members.iter();
                let member = members.find(|member| sums::hash(member.host.as_str()) == host);
                member.cloned().into_iter().collect()
            }
            Audience::One => self.next_rollout_targets(1),
            Audience::Many => self.next_rollout_targets(FAN_OUT),
        }
    }

    fn in_turn(&mut self, members: Vec<Member>, all: bool) -> Vec<Member> {
        if all || members.is_empty() {
            return members;
        }
        self.rollout_offset = self.rollout_offset.wrapping_add(1);
        vec![members[self.rollout_offset % members.len()].clone()]
    }

    fn next_rollout_targets(&mut self, count: usize) -> Vec<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = &self.inputs.own.host;
        let targets = gossip_targets(&members, own, self.rollout_offset, count);
        self.rollout_offset = self.rollout_offset.wrapping_add(count);
        targets.into_iter().cloned().collect()
    }

    /// The other routers that add up the counts of this zone; in a fleet without
    /// aggregators, those of all zones.
    fn collectors(&mut self) -> Vec<Member> {
        if self.is_large() {
            return self.own_aggregators();
        }
        let mut members: Vec<Member> = self.inputs.members.borrow().to_vec();
        members.sort_by_cached_key(|member| sums::hash(member.host.as_str()));
        members.truncate(AGGREGATORS);
        members.retain(|member| member.host != self.inputs.own.host);
        members
    }

    /// The routers of other zones that add up the counts of all zones.
    fn judges(&mut self) -> Vec<Member> {
        if !self.is_large() {
            return Vec::new();
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        let zones: BTreeSet<&availability::Zone> =
            members.iter().map(|member| &member.zone).collect();
        let mut zones: Vec<availability::Zone> = zones.into_iter().cloned().collect();
        zones.sort_by_cached_key(|zone| Reverse(sums::hash(zone.as_str())));
        let own_zone = self.inputs.own.zone.clone();
        let others = zones
            .iter()
            .take(JUDGING_ZONES)
            .filter(|zone| **zone != own_zone);
        let others: Vec<_> = others.cloned().collect();
        others
            .iter()
            .flat_map(|zone| self.aggregators(zone))
            .collect()
    }
}
