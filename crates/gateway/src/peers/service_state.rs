//! Exchange of the speeds of servers and of the use by workspaces.
//!
//! In a small fleet, each router sends its own to all others beside its digests. In a large
//! one they go through the aggregators of the zones, as loads do.

use std::time::Duration;

use units::time::Instant;
use wire::seal::Tag;

use super::{
    AGGREGATORS, Frame, Scope, ServiceState,
    load_reports::{self, Reports},
    sums,
    task::Task,
    usages::{self, UsageSums},
};
use crate::{dispatch, source::Source};

/// How long the usages of others count that were last passed to the dispatch task: two
/// intervals and a round, so that the loss of one datagram does not make them look idle.
const PUBLISHED_TTL: Duration = Duration::from_secs(1);

/// Whether usages are sent in a turn. They change less than loads, so every second one does,
/// which saves half of their bytes.
pub(super) const fn is_usage_turn(turn: usize) -> bool {
    turn.is_multiple_of(2)
}

/// The state of the exchange.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// The reports that this router has received from servers.
    own_reports: Reports,
    /// The reports of this router's zone, if it is an aggregator.
    zone_reports: Reports,
    /// The reports of the whole fleet, likewise.
    fleet_reports: Reports,
    /// This router's usages.
    own_usages: Vec<scheduling::Usage>,
    usages: UsageSums,
    /// Until when the usages of others count that were last passed to the dispatch task, if
    /// they were not empty.
    published_until: Option<Instant>,
}

impl<S: Source> Task<S> {
    /// Takes in the state of this router, and returns what others are told of it.
    pub(super) fn own_state(
        &mut self,
        reports: &[load_report::Shared],
        usages: Vec<scheduling::Usage>,
        now: Instant,
    ) -> ServiceState {
        let is_large = self.is_large();
        let exchange = &mut self.exchange;
        exchange.own_usages = usages;
        exchange.own_reports.record(reports, now);
        if is_large {
            exchange.zone_reports.record(reports, now);
            exchange.fleet_reports.record(reports, now);
        }
        ServiceState {
            scope: Scope::Router,
            load_reports: exchange.own_reports.next(now),
            usages: usages::largest(exchange.own_usages.clone()),
            relay_to: Vec::new(),
        }
    }

    /// The frame that tells other zones of the state of this zone. `position` is that of this
    /// router among the aggregators of its zone, which take turns with the usages.
    pub(super) fn zone_state(
        &mut self,
        zone: u32,
        routers: u16,
        position: usize,
        now: Instant,
    ) -> Option<Frame> {
        let has_usages = is_usage_turn(self.rounds + position);
        let exchange = &mut self.exchange;
        let sum = exchange.usages.zone_sum(&exchange.own_usages, now);
        let state = ServiceState {
            scope: Scope::Zone { zone, routers },
            load_reports: exchange.zone_reports.next(now),
            usages: usages::largest(sum),
            relay_to: Vec::new(),
        };
        state.into_frame(has_usages)
    }

    /// The state of the fleet for the routers of this zone.
    pub(super) fn fleet_state(&mut self, routers: u16, now: Instant) -> ServiceState {
        // A total is sent in every second round, by each aggregator in turn.
        let has_usages = is_usage_turn(self.rounds / AGGREGATORS);
        let exchange = &mut self.exchange;
        let total = exchange.total_usages(now);
        ServiceState {
            scope: Scope::Fleet { routers },
            load_reports: exchange.fleet_reports.next(now),
            usages: if has_usages {
                usages::largest(total)
            } else {
                Vec::new()
            },
            relay_to: Vec::new(),
        }
    }

    /// Passes the usages that this aggregator has added up to its dispatch task.
    pub(super) fn publish_usages_of_zones(&mut self, now: Instant) {
        let total = self.exchange.total_usages(now);
        self.publish_usages(&total, now);
    }

    /// Applies the state of a router, a zone or the fleet.
    pub(super) async fn receive_state(&mut self, from: Tag, state: ServiceState) {
        let now = self.clock.now();
        let Some(member) = self.member(from) else {
            return;
        };
        match state.scope {
            Scope::Router => {
                if !state.usages.is_empty() {
                    let usages = &mut self.exchange.usages;
                    usages.record_router(member.host, state.usages, now);
                }
                if self.is_large() {
                    self.exchange.zone_reports.record(&state.load_reports, now);
                    self.exchange.fleet_reports.record(&state.load_reports, now);
                } else {
                    let others = self.exchange.usages.routers(now);
                    self.publish_other_usages(others, now);
                }
            }
            Scope::Zone { zone, routers } => {
                if self.sums.is_hidden_by_fuller(zone, routers, now)
                    || zone == sums::hash(self.inputs.own.zone.as_str())
                {
                    return;
                }
                if !state.usages.is_empty() {
                    self.exchange.usages.record_zone(zone, state.usages, now);
                }
                self.exchange.fleet_reports.record(&state.load_reports, now);
            }
            Scope::Fleet { routers } => {
                let relayed = ServiceState {
                    relay_to: Vec::new(),
                    ..state.clone()
                };
                self.relay(&Frame::ServiceState(relayed), &state.relay_to)
                    .await;
                if !state.usages.is_empty() && !self.is_partial_total(routers, now) {
                    self.publish_usages(&state.usages, now);
                }
            }
        }
        let reports = load_reports::valid(state.load_reports);
        if !reports.is_empty() {
            self.notify_dispatch(dispatch::Message::PeerLoadReports(reports));
        }
    }

    /// Tells the dispatch task when usages of other routers no longer count.
    pub(super) fn expire_usages(&mut self, now: Instant) {
        let published_until = self.exchange.published_until;
        if published_until.is_some_and(|until| now >= until) {
            let others = self.exchange.usages.routers(now);
            let others = if self.is_large() { Vec::new() } else { others };
            self.publish_other_usages(others, now);
        }
    }

    fn publish_usages(&mut self, total: &[scheduling::Usage], now: Instant) {
        let others = usages::subtract(total, &self.exchange.own_usages);
        self.publish_other_usages(others, now);
    }

    fn publish_other_usages(&mut self, others: Vec<scheduling::Usage>, now: Instant) {
        if others.is_empty() && self.exchange.published_until.is_none() {
            return;
        }
        self.exchange.published_until = (!others.is_empty()).then(|| now + PUBLISHED_TTL);
        self.notify_dispatch(dispatch::Message::PeerUsages(others));
    }
}

impl Exchange {
    fn total_usages(&mut self, now: Instant) -> Vec<scheduling::Usage> {
        let sum = self.usages.zone_sum(&self.own_usages, now);
        self.usages.fleet_total(&sum, now)
    }
}

impl ServiceState {
    /// The frame that holds the state, unless there is nothing to tell. The usages are left out
    /// unless `has_usages`.
    pub(super) fn into_frame(mut self, has_usages: bool) -> Option<Frame> {
        if !has_usages {
            self.usages.clear();
        }
        (!self.is_empty()).then_some(Frame::ServiceState(self))
    }
}
