//! The queued requests of a service, in one fair queue for each rank.

use std::{collections::BTreeMap, time::Duration};

use admission::{Queue as FairQueue, Waiting};
use units::{cost::Cost, request, time::Instant, workspace};

use super::rate::PlacementRate;

/// How many workspaces are considered in each lane when a slot becomes free.
const MAX_HEADS: usize = 16;
/// The delay added per rank below the most urgent, in the order among requests of one
/// workspace.
const RANK_STEP: Duration = Duration::from_millis(200);

/// The queued requests of one rank, or of all ranks if requests are not scheduled by urgency.
#[derive(Debug, Default)]
pub struct Lane {
    queue: FairQueue,
    rate: PlacementRate,
    /// When the callers that were refused so far will have been served, if they return.
    booked_until: Instant,
}

impl Lane {
    /// The number of queued requests of a workspace.
    pub fn len_of(&self, workspace: &workspace::Id) -> usize {
        self.queue.len_of(workspace)
    }

    /// Charges a workspace for a request that was not queued.
    pub fn charge(&mut self, workspace: &workspace::Id, cost: Cost) {
        self.queue.charge(workspace, cost);
    }

    /// Records that work was placed.
    pub fn record(&mut self, cost: Cost) {
        self.rate.record(cost);
    }

    /// The expected wait of a request that is queued now.
    pub fn expected_wait(
        &self,
        workspace: &workspace::Id,
        priority: request::Priority,
        now: Instant,
    ) -> Duration {
        let ahead = self.queue.cost_ahead(workspace, priority);
        self.rate.time_to_place(ahead, now)
    }

    /// The time in which the queued requests and further work of `cost` are placed.
    pub fn time_to_place(&self, cost: Cost, now: Instant) -> Duration {
        self.rate.time_to_place(self.queue.cost() + cost, now)
    }

    /// When the queued requests and those of callers that were refused before will have been
    /// placed, with a further one of `cost`, but within `most`.
    pub fn book(&mut self, cost: Cost, most: Duration, now: Instant) -> Instant {
        let queued = self.time_to_place(Cost(0), now);
        let own = self.time_to_place(cost, now).saturating_sub(queued);
        let after = self.booked_until.max(now + queued) + own;
        self.booked_until = after.min(now + most);
        self.booked_until
    }

    /// Removes the last request of the workspace with the most queued requests, if it has more
    /// than `workspace`.
    pub fn pop_from_longest(&mut self, workspace: &workspace::Id) -> Option<Waiting> {
        self.queue.pop_from_longest(workspace)
    }
}

/// The lanes of a service, the most urgent first.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: BTreeMap<u8, Lane>,
}

impl Lanes {
    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.queue.len()).sum()
    }

    /// The lane with this number, which is created if it does not exist.
    pub fn lane(&mut self, lane: u8) -> &mut Lane {
        self.lanes.entry(lane).or_default()
    }

    /// Adds a request to a lane.
    pub fn push(&mut self, lane: u8, waiting: Waiting, now: Instant) {
        let lane = self.lane(lane);
        lane.queue.push(waiting, RANK_STEP, now);
        lane.rate.observe(true, now);
    }

    /// The next requests of the first workspaces of each lane, in the order of service.
    pub fn heads(&self) -> Vec<request::Attempt> {
        let lanes = self.lanes.values();
        let heads = lanes.flat_map(|lane| lane.queue.heads().take(MAX_HEADS));
        heads.map(|head| head.ticket.attempt).collect()
    }

    /// Removes a request to serve it and charges its workspace.
    pub fn serve(&mut self, attempt: request::Attempt) {
        if let Some(lane) = self.lane_with(attempt) {
            lane.queue.serve(attempt);
        }
    }

    /// Removes a request without serving it.
    pub fn remove(&mut self, attempt: request::Attempt) {
        if let Some(lane) = self.lane_with(attempt) {
            lane.queue.remove(attempt);
        }
    }

    fn lane_with(&mut self, attempt: request::Attempt) -> Option<&mut Lane> {
        let mut lanes = self.lanes.values_mut();
        lanes.find(|lane| lane.queue.contains(attempt))
    }

    /// Removes the next request whose latest start has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let mut lanes = self.lanes.values_mut();
        lanes.find_map(|lane| lane.queue.pop_expired(now))
    }

    /// Removes a request of the least urgent lane behind `lane` that has any.
    pub fn pop_less_urgent(&mut self, lane: u8) -> Option<Waiting> {
        let behind = self.lanes.iter_mut().rev();
        let mut behind = behind.take_while(|(other, _)| **other > lane);
        behind.find_map(|(_, lane)| lane.queue.pop_last())
    }

    /// Removes the requests that will not start in time at the rate at which their lane is
    /// served.
    pub fn extract_late(&mut self, now: Instant) -> Vec<Waiting> {
        let lanes = self.lanes.values_mut();
        let late = lanes.flat_map(|lane| {
            let rate = &lane.rate;
            lane.queue.extract_if(|waiting, ahead| {
                let wait = rate.settled_time_to_place(ahead, now);
                wait.is_some_and(|wait| now + wait > waiting.latest_start)
            })
        });
        late.collect()
    }

    /// When the next request expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        let lanes = self.lanes.values();
        lanes.filter_map(|lane| lane.queue.next_expiry()).min()
    }

    /// Records which lanes have requests from now on.
    pub fn observe(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            lane.rate.observe(!lane.queue.is_empty(), now);
        }
    }
}
