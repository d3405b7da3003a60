//! The reserves that requests leave to more urgent ones, and the shares of workspaces.

use std::time::Duration;

use scheduling::{Arrivals, Reserve, Shares, Usage, Workspace, rank};
use units::{time::Instant, workspace};
use xxhash_rust::xxh3;

use super::{MAX_RETRY_DELAY, MIN_RETRY_DELAY, Queue, Refusal, Request};
use crate::pool::{Demand, Denial, Fleet};

/// The age of the oldest information about other routers: three rounds of the exchange.
const INFORMATION_AGE: Duration = Duration::from_millis(700);

/// What a router knows of the urgency and the workspaces of a service's requests.
#[derive(Debug, Default)]
pub(super) struct Urgency {
    arrivals: Arrivals,
    shares: Shares,
}

impl Urgency {
    /// Records that a request was sent to a server.
    pub(super) fn admitted(&mut self, workspace: &workspace::Id) {
        self.shares.admitted(hash(workspace));
    }

    /// Records that a request at a server has ended.
    pub(super) fn finished(&mut self, workspace: &workspace::Id) {
        self.shares.finished(hash(workspace));
    }
}

/// What decides that a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// The more urgent ranks of the service.
    pub more_urgent: u32,
    /// The slots of the service.
    pub slots: u32,
    /// Requests of all routers in flight.
    pub load: u32,
    /// The requests that this router queues.
    pub queued: usize,
    /// Requests of the workspace in flight at all routers.
    pub running: u32,
    /// Whether the workspace has more than its share.
    pub is_over_share: bool,
    /// The age of what other routers told of workspaces; `None` if it has expired.
    pub age: Option<Duration>,
}

/// The reserves that found no slot.
#[derive(Debug, Default)]
pub(super) struct Exhausted {
    steps: Option<u32>,
}

impl Queue {
    /// Sets the ranks that the configuration names for the service.
    pub fn set_ranks(&mut self, ranks: impl Iterator<Item = u8>) {
        self.urgency.arrivals.set_ranks(ranks);
    }

    /// Sets the requests of each workspace in flight at all other routers.
    pub fn set_peer_usages(&mut self, usages: impl Iterator<Item = Usage>, now: Instant) {
        self.urgency.shares.set_peers(usages, now);
    }

    /// The requests of this router in flight, of the workspaces with the most.
    pub fn usages(&self) -> Vec<Usage> {
        self.urgency.shares.own()
    }

    /// A refusal for lack of slots. Callers return one after the other while the backlog is worked
    /// off.
    ///
    /// Each router counts the callers that it has refused, at the rate at which it places
    /// requests, so that the returns to all routers follow the rate of the fleet.
    pub(super) fn spread_refusal(
        &mut self,
        denial: Denial,
        request: &Request,
        now: Instant,
    ) -> Refusal {
        let lane = self.lane(request, now);
        let lane = self.lanes.lane(lane);
        let served_at = lane.book(request.cost, MAX_RETRY_DELAY, now);
        let draw = xxh3::xxh3_64(&request.attempt.0.to_le_bytes()) as f64 / u64::MAX as f64;
        let wait = served_at.since(now).max(MIN_RETRY_DELAY);
        Refusal {
            denial,
            retry_at: now + wait.mul_f64(0.5 + draw),
        }
    }

    /// What decided that a request of `workspace` and `rank` gets no slot.
    pub fn contention(
        &self,
        workspace: &workspace::Id,
        rank: u8,
        now: Instant,
    ) -> Option<Contention> {
        if !self.pool.is_scheduled(now) {
            return None;
        }
        let totals = self.pool.totals();
        let key = hash(workspace);
        let shares = &self.urgency.shares;
        let shared = totals.slots.saturating_sub(totals.servers);
        Some(Contention {
            more_urgent: self.urgency.arrivals.more_urgent(rank, now),
            slots: totals.slots,
            load: totals.load,
            queued: self.len(),
            running: shares.running(key, now),
            is_over_share: shares.is_over(key, shared, now),
            age: shares.age(now),
        })
    }

    /// The lane in which a request is queued.
    pub(super) fn lane(&self, request: &Request, now: Instant) -> u8 {
        if self.pool.is_scheduled(now) {
            request.rank
        } else {
            0
        }
    }

    /// The rank by which a request is scheduled. A stream that is continued precedes new ones.
    pub fn scheduled_rank(&self, rank: u8, demand: &Demand, now: Instant) -> u8 {
        if self.pool.is_scheduled(now) && demand.version.is_none() {
            rank::combine(rank, demand.route_rank)
        } else {
            rank
        }
    }

    pub(super) fn record_arrival(&mut self, request: &Request, now: Instant) {
        // A stream that is continued has no rank of its own.
        if request.demand.version.is_none() && self.pool.is_scheduled(now) {
            self.urgency.arrivals.record(request.rank, now);
        }
    }

    /// The slots that a request leaves to more urgent ones.
    pub(super) fn reserve(&self, request: &Request, fleet: &Fleet, now: Instant) -> Reserve {
        if request.demand.version.is_some() {
            return Reserve::default();
        }
        let arrivals = &self.urgency.arrivals;
        let totals = self.pool.totals();
        // What the other routers receive is not known, but what they have in flight is.
        let scale = f64::from(totals.load) / f64::from(totals.running.max(1));
        let scale = scale.clamp(1.0, fleet.members.len().max(1) as f64);
        let scale = scale * INFORMATION_AGE.as_secs_f64();
        let more_urgent = arrivals.more_urgent_per_s(request.rank, now);
        let competing = arrivals.more_urgent_per_s(request.rank.saturating_add(1), now);
        // The last slot of each server is left to the other workspaces.
        let shared = totals.slots.saturating_sub(totals.servers);
        let workspace = hash(&request.workspace);
        let is_over = self.urgency.shares.is_over(workspace, shared, now);
        let steps = arrivals.more_urgent(request.rank, now) + u32::from(is_over);
        Reserve {
            steps,
            arrivals: more_urgent * scale,
            competing: competing * scale,
            may_overcommit: !is_over
                && arrivals.more_urgent_routes(request.rank, now) == 0
                && arrivals.has_less_urgent(request.rank, now),
        }
    }

    /// Whether a request leaves no smaller reserve than one that found no slot.
    pub(super) fn is_exhausted(
        &self,
        exhausted: &Exhausted,
        request: &Request,
        fleet: &Fleet,
        now: Instant,
    ) -> bool {
        let least = exhausted.steps;
        least.is_some_and(|least| self.reserve(request, fleet, now).steps >= least)
    }

    /// Records that a request found no slot, unless that is due to the request alone.
    pub(super) fn note_exhausted(
        &self,
        exhausted: &mut Exhausted,
        request: &Request,
        fleet: &Fleet,
        now: Instant,
    ) {
        if !self.pool.is_scheduled(now) || !request.demand.tried.is_empty() {
            return;
        }
        let reserve = self.reserve(request, fleet, now);
        let mut demand = request.demand.clone();
        demand.reserve = Some(reserve);
        if !self.pool.has_room(&demand) {
            let least = exhausted.steps.unwrap_or(reserve.steps);
            exhausted.steps = Some(least.min(reserve.steps));
        }
    }
}

/// The hash of a workspace's name.
fn hash(workspace: &workspace::Id) -> Workspace {
    (xxh3::xxh3_64(workspace.as_str().as_bytes()) >> 32) as u32
}
