//! Requests that only servers of one version can process.

use units::time::Instant;

use super::{Admission, Dequeued, MAX_QUEUED, Queue, Request, is_hopeless};
use crate::pool::{Denial, Fleet};

impl Queue {
    /// Queues a request that only servers of one version can process.
    pub(super) fn push_bound(
        &mut self,
        request: Request,
        denial: Denial,
        now: Instant,
    ) -> Admission {
        if now >= request.latest_start || self.bound.len() >= MAX_QUEUED {
            return Admission::Refused(self.refusal(denial, &request, now));
        }
        self.note_wake(denial, now);
        self.bound.push_back(request.attempt);
        self.waiting.insert(request.attempt, request);
        Admission::Queued
    }

    /// Places the requests that wait for servers of one version, and refuses those that have
    /// reached their latest start.
    pub(super) fn dequeue_bound(&mut self, fleet: &Fleet, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = Vec::new();
        for attempt in std::mem::take(&mut self.bound) {
            let Some(request) = self.waiting.get(&attempt).cloned() else {
                continue;
            };
            match self.place(&request, fleet, now) {
                Ok(placement) => {
                    let lane = self.lane(&request, now);
                    let lane = self.lanes.lane(lane);
                    lane.charge(&request.workspace, request.cost);
                    self.waiting.remove(&attempt);
                    dequeued.push((attempt, Ok(placement)));
                }
                Err(denial) if now >= request.latest_start || is_hopeless(denial, &request) => {
                    dequeued.extend(self.refuse(attempt, denial, now));
                }
                Err(denial) => {
                    self.note_wake(denial, now);
                    self.bound.push_back(attempt);
                }
            }
        }
        dequeued
    }
}
