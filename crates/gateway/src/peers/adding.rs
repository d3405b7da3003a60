//! Adding up loads, in fleets too large for each to hear each.

use std::{collections::BTreeSet, sync::Arc};

use units::availability;

use super::{FAN_OUT, Frame, Load, sums, task::Task};
use crate::{
    dispatch,
    source::{Member, Source},
};

impl<S: Source> Task<S> {
    /// Whether the fleet is too large for each to hear each in every round.
    pub(super) fn is_large(&self) -> bool {
        self.inputs.members.borrow().len() > FAN_OUT + 1
    }

    /// The routers of a zone that add up.
    pub(super) fn adders(&self, zone: &availability::Zone) -> Vec<Member> {
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
    pub(super) async fn send_sums(&mut self) {
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
    pub(super) fn take_total(&self, total: &[Load]) {
        let others = sums::without(total, &self.own_loads);
        self.tell(dispatch::Message::Others(others));
    }
}
