//! Aggregation of loads in fleets that are too large for all routers to exchange digests in
//! each round.

use std::{collections::BTreeSet, sync::Arc};

use units::{availability, time::Instant};
use wire::seal::Tag;

use super::{AGGREGATORS, FAN_OUT, FleetTotal, Frame, ZoneSum, relays, sums, task::Task};
use crate::{
    dispatch,
    load::{Load, Report},
    source::{Member, Source},
};

impl<S: Source> Task<S> {
    /// Whether the fleet is too large for each router to reach all others in every round.
    pub(super) fn is_large(&self) -> bool {
        self.inputs.members.borrow().len() > FAN_OUT + 1
    }

    /// The aggregators of a zone.
    pub(super) fn aggregators(&mut self, zone: &availability::Zone) -> Vec<Member> {
        let now = self.clock.now();
        let members = Arc::clone(&self.inputs.members.borrow());
        let same_zone = members.iter().filter(|member| member.zone == *zone);
        let aggregators = self.aggregators.entry(zone.clone()).or_default();
        let chosen = aggregators.choose(same_zone, &self.inputs.own, now);
        chosen.into_iter().cloned().collect()
    }

    /// Sends the zone sum and the fleet total if this router is an aggregator.
    pub(super) async fn send_sums(&mut self) {
        let now = self.clock.now();
        let own_zone = self.inputs.own.zone.clone();
        let aggregators = self.aggregators(&own_zone);
        let own = &self.inputs.own.host;
        let Some(position) = aggregators
            .iter()
            .position(|aggregator| aggregator.host == *own)
        else {
            return;
        };
        let sum = self
            .sums
            .zone_sum(sums::hash(own_zone.as_str()), &self.own_loads, now);
        let total = self.sums.fleet_total(&sum, now);
        self.publish_loads(&total);
        self.send_sum(&sum, now).await;
        // The aggregators alternate, so that each router receives one total per round.
        if self.rounds % aggregators.len() == position {
            self.send_total(sum.routers, &total, now).await;
        }
    }

    async fn send_sum(&mut self, sum: &ZoneSum, now: Instant) {
        let members = Arc::clone(&self.inputs.members.borrow());
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        let frame = Frame::ZoneSum {
            zone: sum.zone,
            routers: sum.routers,
            loads: self.zone_encoder.next(&sum.loads, now),
            cached_prefixes: self.zone_prefixes.updates(now),
        };
        let own_zone = self.inputs.own.zone.clone();
        for zone in zones.into_iter().filter(|zone| **zone != own_zone) {
            for aggregator in self.aggregators(zone) {
                self.send_to(&frame, &aggregator).await;
            }
        }
    }

    async fn send_total(&mut self, routers: u16, total: &[Load], now: Instant) {
        let loads = self.fleet_encoder.next(total, now);
        let cached_prefixes = self.fleet_prefixes.updates(now);
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = self.inputs.own.clone();
        let same_zone: Vec<&Member> = members
            .iter()
            .filter(|member| member.zone == own.zone && member.host != own.host)
            .collect();
        for relay in relays(
            &same_zone,
            &self.sums.active_routers(),
            self.rounds / AGGREGATORS,
        ) {
            let total = FleetTotal {
                aggregator: sums::hash(own.host.as_str()),
                routers,
                loads: loads.clone(),
                cached_prefixes: cached_prefixes.clone(),
                relay_to: relay.targets,
            };
            self.send_to(&Frame::FleetTotal(total), relay.member).await;
        }
    }

    /// Applies the loads of another router of this zone.
    pub(super) fn receive_loads(&mut self, from: Tag, report: Report) {
        let Some(member) = self.member(from) else {
            return;
        };
        let hash = sums::hash(member.host.as_str());
        let loads = self.peer_decoders.entry(hash).or_default().apply(report);
        self.sums
            .record_router(member.host, loads, self.clock.now());
    }

    /// Applies the load sum of another zone.
    pub(super) fn receive_sum(&mut self, from: Tag, zone: u32, routers: u16, loads: Report) {
        let now = self.clock.now();
        let Some(member) = self.member(from) else {
            return;
        };
        let hash = sums::hash(member.host.as_str());
        for aggregators in self.aggregators.values_mut() {
            aggregators.sum_received(hash, now);
        }
        let loads = self.peer_decoders.entry(hash).or_default().apply(loads);
        let sum = ZoneSum {
            zone,
            routers,
            loads,
        };
        self.sums.record_zone(sum, now);
    }

    /// Finds the member that seals its datagrams with `tag`.
    pub(super) fn member(&mut self, tag: Tag) -> Option<Member> {
        let members = Arc::clone(&self.inputs.members.borrow());
        self.directory.find(&members, tag).cloned()
    }

    /// Applies the loads of the whole fleet and relays them.
    pub(super) async fn receive_total(&mut self, total: FleetTotal) {
        let now = self.clock.now();
        let zone = self.inputs.own.zone.clone();
        self.aggregators
            .entry(zone)
            .or_default()
            .sum_received(total.aggregator, now);
        self.relay_total(&total).await;
        self.apply_cached_prefixes(total.cached_prefixes);
        let loads = self.fleet_decoder.apply(total.loads);
        let (known_routers, expires_at) = self.fleet_routers;
        if now < expires_at && sums::is_partial(total.routers, known_routers) {
            return;
        }
        self.fleet_routers = (total.routers, now + sums::MAX_AGE);
        self.publish_loads(&loads);
    }

    async fn relay_total(&mut self, total: &FleetTotal) {
        if total.relay_to.is_empty() {
            return;
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = self.inputs.own.clone();
        let is_target = |member: &&Member| {
            let hash = sums::hash(member.host.as_str());
            member.zone == own.zone && member.host != own.host && total.relay_to.contains(&hash)
        };
        let frame = Frame::FleetTotal(FleetTotal {
            relay_to: Vec::new(),
            ..total.clone()
        });
        for member in members.iter().filter(is_target) {
            self.send_to(&frame, member).await;
        }
    }

    fn publish_loads(&self, total: &[Load]) {
        let others = sums::subtract(total, &self.own_loads);
        self.notify_dispatch(dispatch::Message::Aggregate(others));
    }
}
