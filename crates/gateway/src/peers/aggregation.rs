//! Adding up loads, in fleets too large for each to hear each.

use std::{collections::BTreeSet, sync::Arc};

use units::{availability, time::Instant};
use wire::seal::Tag;

use super::{AGGREGATORS, FAN_OUT, Frame, Sum, Total, relays, sums, task::Task};
use crate::{
    dispatch,
    load::{Load, Report},
    source::{Member, Source},
};

impl<S: Source> Task<S> {
    /// Whether the fleet is too large for each to hear each in every round.
    pub(super) fn is_large(&self) -> bool {
        self.inputs.members.borrow().len() > FAN_OUT + 1
    }

    /// The routers of a zone that add up.
    pub(super) fn aggregators(&mut self, zone: &availability::Zone) -> Vec<Member> {
        let now = self.clock.now();
        let members = Arc::clone(&self.inputs.members.borrow());
        let near = members.iter().filter(|member| member.zone == *zone);
        let aggregators = self.aggregators.entry(zone.clone()).or_default();
        let chosen = aggregators.choose(near, &self.inputs.own, now);
        chosen.into_iter().cloned().collect()
    }

    /// Adds up, if this router is one of those who do.
    pub(super) async fn send_sums(&mut self) {
        let now = self.clock.now();
        let own_zone = self.inputs.own.zone.clone();
        let aggregators = self.aggregators(&own_zone);
        let own = &self.inputs.own.host;
        let Some(place) = aggregators
            .iter()
            .position(|aggregator| aggregator.host == *own)
        else {
            return;
        };
        let sum = self
            .sums
            .zone(sums::hash(own_zone.as_str()), &self.own_loads, now);
        let total = self.sums.total(&sum, now);
        self.take_loads(&total);
        self.send_sum(&sum, now).await;
        // Those who add up take turns, so that each router hears one of them in each round.
        if self.rounds % aggregators.len() == place {
            self.send_total(sum.routers, &total, now).await;
        }
    }

    async fn send_sum(&mut self, sum: &Sum, now: Instant) {
        let members = Arc::clone(&self.inputs.members.borrow());
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        let frame = Frame::Sum {
            zone: sum.zone,
            routers: sum.routers,
            loads: self.sum_teller.next(&sum.loads, now),
            reads: self.zone_reads.updates(now),
        };
        let own_zone = self.inputs.own.zone.clone();
        for zone in zones.into_iter().filter(|zone| **zone != own_zone) {
            for aggregator in self.aggregators(zone) {
                self.send_to(&frame, &aggregator).await;
            }
        }
    }

    async fn send_total(&mut self, routers: u16, total: &[Load], now: Instant) {
        let loads = self.total_teller.next(total, now);
        let reads = self.fleet_reads.updates(now);
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = self.inputs.own.clone();
        let near: Vec<&Member> = members
            .iter()
            .filter(|member| member.zone == own.zone && member.host != own.host)
            .collect();
        for relay in relays(&near, &self.sums.alive(), self.rounds / AGGREGATORS) {
            let total = Total {
                aggregator: sums::hash(own.host.as_str()),
                routers,
                loads: loads.clone(),
                reads: reads.clone(),
                others: relay.others,
            };
            self.send_to(&Frame::Total(total), relay.member).await;
        }
    }

    /// Takes in what another router of the zone has in flight.
    pub(super) fn hear_loads(&mut self, from: Tag, report: Report) {
        let Some(member) = self.member(from) else {
            return;
        };
        let hash = sums::hash(member.host.as_str());
        let loads = self.heard.entry(hash).or_default().apply(report);
        self.sums.told(member.host, loads, self.clock.now());
    }

    /// Takes in what the routers of another zone have in flight.
    pub(super) fn hear_sum(&mut self, from: Tag, zone: u32, routers: u16, loads: Report) {
        let now = self.clock.now();
        let Some(member) = self.member(from) else {
            return;
        };
        let hash = sums::hash(member.host.as_str());
        for aggregators in self.aggregators.values_mut() {
            aggregators.heard(hash, now);
        }
        let loads = self.heard.entry(hash).or_default().apply(loads);
        let sum = Sum {
            zone,
            routers,
            loads,
        };
        self.sums.heard(sum, now);
    }

    /// The router that a tag stands for.
    pub(super) fn member(&mut self, tag: Tag) -> Option<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        self.directory.find(&members, tag).cloned()
    }

    /// Takes over what the whole fleet has in flight, and passes it on.
    pub(super) async fn hear_total(&mut self, total: Total) {
        let now = self.clock.now();
        let zone = self.inputs.own.zone.clone();
        self.aggregators
            .entry(zone)
            .or_default()
            .heard(total.aggregator, now);
        self.pass_on(&total).await;
        self.hear_reads(total.reads);
        let loads = self.total_heard.apply(total.loads);
        let (most, until) = self.total_routers;
        if now < until && sums::is_partial(total.routers, most) {
            return;
        }
        self.total_routers = (total.routers, now + sums::CURRENT);
        self.take_loads(&loads);
    }

    async fn pass_on(&mut self, total: &Total) {
        if total.others.is_empty() {
            return;
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = self.inputs.own.clone();
        let is_meant = |member: &&Member| {
            let hash = sums::hash(member.host.as_str());
            member.zone == own.zone && member.host != own.host && total.others.contains(&hash)
        };
        let frame = Frame::Total(Total {
            others: Vec::new(),
            ..total.clone()
        });
        for member in members.iter().filter(is_meant) {
            self.send_to(&frame, member).await;
        }
    }

    fn take_loads(&self, total: &[Load]) {
        let others = sums::without(total, &self.own_loads);
        self.tell(dispatch::Message::Aggregate(others));
    }
}
