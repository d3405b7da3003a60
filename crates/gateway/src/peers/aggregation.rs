//! Aggregation of loads in fleets that are too large for all routers to exchange digests in
//! each round.

use std::{collections::BTreeSet, sync::Arc};

use units::{availability, time::Instant};
use wire::seal::Tag;

use super::{
    AGGREGATORS, FAN_OUT, FleetTotal, Frame, LoadSlice, Scope, ServiceState, ZoneSum, relays,
    slices, sums, task::Task,
};
use crate::{
    dispatch,
    load::{Load, Report, buckets::Buckets},
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
        let rest = self.sums.fleet_rest();
        let (known, buckets) = (rest.loads.clone(), rest.buckets.clone());
        self.publish_loads([total.as_slice(), &known].concat(), buckets);
        self.publish_usages_of_zones(now);
        self.send_sum(&sum, position, now).await;
        // The aggregators alternate, so that each router receives one total per round.
        if self.rounds % aggregators.len() == position {
            let turns = slices::TURNS / aggregators.len();
            self.send_total(sum.routers, &total, turns, now).await;
        }
    }

    async fn send_sum(&mut self, sum: &ZoneSum, position: usize, now: Instant) {
        let members = Arc::clone(&self.inputs.members.borrow());
        let zones: BTreeSet<_> = members.iter().map(|member| &member.zone).collect();
        let frame = Frame::ZoneSum {
            zone: sum.zone,
            routers: sum.routers,
            loads: self.zone_encoder.next(&sum.loads, now),
            cached_prefixes: self.zone_prefixes.updates(now),
        };
        let slice = self
            .zone_rotation
            .next(self.sums.zone_rest(), slices::TURNS, now);
        let slice = slice.map(|slice| {
            let (zone, routers) = (sum.zone, sum.routers);
            Frame::LoadSlice(LoadSlice {
                scope: Scope::Zone { zone, routers },
                slice,
                relay_to: Vec::new(),
            })
        });
        let state = self.zone_state(sum.zone, sum.routers, position, now);
        let own_zone = self.inputs.own.zone.clone();
        for zone in zones.into_iter().filter(|zone| **zone != own_zone) {
            for aggregator in self.aggregators(zone) {
                // The sum makes the loads of the slice effective, so it follows the slice.
                for frame in slice.iter().chain(&state) {
                    self.send_to(frame, &aggregator).await;
                }
                self.send_to(&frame, &aggregator).await;
            }
        }
    }

    async fn send_total(&mut self, routers: u16, total: &[Load], turns: usize, now: Instant) {
        let loads = self.fleet_encoder.next(total, now);
        let cached_prefixes = self.fleet_prefixes.updates(now);
        let slice = self.fleet_rotation.next(self.sums.fleet_rest(), turns, now);
        let state = self.fleet_state(routers, now);
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
            if let Some(slice) = &slice {
                let slice = LoadSlice {
                    scope: Scope::Fleet { routers },
                    slice: slice.clone(),
                    relay_to: relay.targets.clone(),
                };
                self.send_to(&Frame::LoadSlice(slice), relay.member).await;
            }
            if !state.is_empty() {
                let state = ServiceState {
                    relay_to: relay.targets.clone(),
                    ..state.clone()
                };
                self.send_to(&Frame::ServiceState(state), relay.member)
                    .await;
            }
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
        let now = self.clock.now();
        let hash = sums::hash(member.host.as_str());
        let loads = self.peer_decoders.entry(hash).or_default().apply(report);
        let loads = self
            .peer_figures
            .entry(hash)
            .or_default()
            .complete(loads, now);
        self.sums.record_router(member.host, loads, now);
    }

    /// Applies loads that the reports of a router, a zone or the fleet do not name.
    pub(super) async fn receive_slice(&mut self, from: Tag, slice: LoadSlice) {
        let now = self.clock.now();
        match slice.scope {
            Scope::Router => {
                if let Some(member) = self.member(from) {
                    let hash = sums::hash(member.host.as_str());
                    let figures = self.peer_figures.entry(hash).or_default();
                    figures.apply(&slice.slice, now);
                }
            }
            Scope::Zone { zone, routers } => {
                if self.member(from).is_some() {
                    self.sums
                        .record_zone_slice(zone, routers, &slice.slice, now);
                }
            }
            Scope::Fleet { routers } => {
                let frame = Frame::LoadSlice(LoadSlice {
                    relay_to: Vec::new(),
                    ..slice.clone()
                });
                self.relay(&frame, &slice.relay_to).await;
                if !self.is_partial_total(routers, now) {
                    self.fleet_figures.apply(&slice.slice, now);
                }
            }
        }
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
        if !total.relay_to.is_empty() {
            let frame = Frame::FleetTotal(FleetTotal {
                relay_to: Vec::new(),
                ..total.clone()
            });
            self.relay(&frame, &total.relay_to).await;
        }
        self.apply_cached_prefixes(total.cached_prefixes);
        let loads = self.fleet_decoder.apply(total.loads);
        if self.is_partial_total(total.routers, now) {
            return;
        }
        self.fleet_routers = (total.routers, now + sums::MAX_AGE);
        let loads = self.fleet_figures.complete(loads, now);
        let mut buckets = Buckets::default();
        self.fleet_figures.add_buckets(&mut buckets, now);
        self.publish_loads(loads, buckets);
    }

    /// Whether a total over `routers` is partial while a fuller one is current.
    pub(super) fn is_partial_total(&self, routers: u16, now: Instant) -> bool {
        let (known_routers, expires_at) = self.fleet_routers;
        now < expires_at && sums::is_partial(routers, known_routers)
    }

    /// Sends a frame on to routers of this zone, given by the hashes of their names.
    pub(super) async fn relay(&mut self, frame: &Frame, targets: &[u32]) {
        if targets.is_empty() {
            return;
        }
        let members = Arc::clone(&self.inputs.members.borrow());
        let own = self.inputs.own.clone();
        let is_target = |member: &&Member| {
            let hash = sums::hash(member.host.as_str());
            member.zone == own.zone && member.host != own.host && targets.contains(&hash)
        };
        for member in members.iter().filter(is_target) {
            self.send_to(frame, member).await;
        }
    }

    /// Passes the loads of all other routers to the dispatch task.
    fn publish_loads(&mut self, total: Vec<Load>, mut buckets: Buckets) {
        let others = sums::subtract(&total, &self.own_loads);
        sums::subtract_unnamed(&mut buckets, &total, &self.own_loads);
        if !buckets.is_empty() || self.has_buckets {
            self.has_buckets = !buckets.is_empty();
            self.notify_dispatch(dispatch::Message::AggregateBuckets(buckets));
        }
        self.notify_dispatch(dispatch::Message::Aggregate(others));
    }
}
