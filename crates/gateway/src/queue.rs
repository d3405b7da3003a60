//! The queue of requests that wait for a server of one service, served fairly across
//! workspaces.

mod bound;
mod lanes;
mod rate;
mod urgency;

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use admission::{Standing, Ticket, Waiting};
use units::{backend, cost::Cost, request, time::Instant, workspace};

use crate::pool::{self, Demand, Denial, Fleet, Outcome, Placement, Pool};
use lanes::Lanes;
pub use urgency::Contention;
use urgency::{Exhausted, Urgency};

/// The most requests that one router queues for one service.
///
/// At a hundred requests per second this is more than two seconds of work, longer than
/// most callers wait for a first byte.
const MAX_QUEUED: usize = 256;
/// The shortest time after which a refused caller may retry: about the duration of a
/// short response.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest such time: overloads of all servers last for seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// The time in which a server of a version that has none left may start again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A request for a slot at a server.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in the queue.
    pub attempt: request::Attempt,
    /// The workspace to which the request is charged.
    pub workspace: workspace::Id,
    /// The estimated work of the request.
    pub cost: Cost,
    /// The urgency of the request; zero is the most urgent.
    pub rank: u8,
    /// The latest instant at which the request may start.
    pub latest_start: Instant,
    /// The properties of the request that placement depends on.
    pub demand: Demand,
}

/// A refused request: the reason, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why no server could take the request.
    pub denial: Denial,
    /// When the caller may retry.
    pub retry_at: Instant,
}

/// The result of submitting a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The request is sent to a server now.
    Placed(Box<Placement>),
    /// The request is queued; [`Queue::dequeue`] returns its result.
    Queued,
    /// The request is refused.
    Refused(Refusal),
}

/// The result of a queued request.
pub type Dequeued = (request::Attempt, Result<Placement, Refusal>);

/// The servers of one service and the queue of requests for them.
///
/// As long as servers have free slots, requests are not queued. When all are full, the
/// workspace that has been served least is next. A workspace that exceeds its share
/// leaves some slots free; otherwise a surge of one workspace would delay every request
/// of all others.
#[derive(Debug)]
pub struct Queue {
    pool: Pool,
    lanes: Lanes,
    urgency: Urgency,
    shares: admission::Shares,
    settings: admission::Settings,
    waiting: HashMap<request::Attempt, Request>,
    /// The requests that wait for servers of one version, oldest first.
    ///
    /// In the fair queue, they would delay requests of their workspace that servers of other
    /// versions have room for.
    bound: VecDeque<request::Attempt>,
    /// When a server may take a request although no other request ends.
    capacity_at: Option<Instant>,
    /// Results of requests that were displaced from a full queue and not yet returned.
    displaced: Vec<Dequeued>,
}

impl Queue {
    /// Creates an empty queue for the servers of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self {
            pool,
            lanes: Lanes::default(),
            urgency: Urgency::default(),
            shares: admission::Shares::default(),
            settings: admission::Settings::default(),
            waiting: HashMap::new(),
            bound: VecDeque::new(),
            capacity_at: None,
            displaced: Vec::new(),
        }
    }

    /// The servers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Mutable access to the servers. [`Queue::dequeue`] must be called after
    /// changes.
    pub fn pool_mut(&mut self) -> &mut Pool {
        &mut self.pool
    }

    /// The number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued and no result is waiting to be returned.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.displaced.is_empty()
    }

    /// Submits a request: places it, queues it or refuses it.
    pub fn submit(&mut self, mut request: Request, fleet: &Fleet, now: Instant) -> Admission {
        request.rank = self.scheduled_rank(request.rank, &request.demand, now);
        self.shares.expire(now);
        self.shares
            .offered(&request.workspace, 1, &self.settings, now);
        self.record_arrival(&request, now);
        let denial = match self.try_place(&request, fleet, now) {
            Ok(placement) => return Admission::Placed(Box::new(placement)),
            Err(denial) if is_hopeless(denial, &request) => {
                return Admission::Refused(self.refusal(denial, &request, now));
            }
            Err(denial) => denial,
        };
        if request.demand.version.is_some() {
            return self.push_bound(request, denial, now);
        }
        if self.would_miss_deadline(&request, now) || !self.make_room(&request, now) {
            return Admission::Refused(self.refusal(denial, &request, now));
        }
        self.note_wake(denial, now);
        self.push(request, now);
        Admission::Queued
    }

    /// Places a request immediately unless its workspace has queued requests.
    ///
    /// Queued requests of other workspaces could not use the last slot that became
    /// free. A slot that is free now is therefore reserved from them.
    fn try_place(
        &mut self,
        request: &Request,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<Placement, Denial> {
        let is_bound = request.demand.version.is_some();
        let lane = self.lane(request, now);
        if self.lanes.lane(lane).len_of(&request.workspace) > 0 && !is_bound {
            return Err(Denial::Full);
        }
        let placement = self.place(request, fleet, now)?;
        let lane = self.lanes.lane(lane);
        lane.charge(&request.workspace, request.cost);
        Ok(placement)
    }

    fn place(
        &mut self,
        request: &Request,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<Placement, Denial> {
        let demand = self.demand(request, fleet, now);
        let placement = self.pool.admit(&demand, fleet, now)?;
        self.shares
            .admitted(&request.workspace, 1, &self.settings, now);
        self.urgency.admitted(&request.workspace);
        let lane = self.lane(request, now);
        self.lanes.lane(lane).record(request.cost);
        Ok(placement)
    }

    /// The properties of a request that placement depends on, with the slots that it leaves to
    /// others.
    fn demand(&self, request: &Request, fleet: &Fleet, now: Instant) -> Demand {
        let mut demand = request.demand.clone();
        demand.rank = request.rank;
        if self.pool.is_scheduled(now) {
            demand.reserve = Some(self.reserve(request, fleet, now));
            return demand;
        }
        let slot_share = self.pool.slots() / u32::try_from(fleet.members.len().max(1)).unwrap_or(1);
        // The workspace had a slot for the stream before it broke off.
        demand.leaves_reserve = demand.version.is_none()
            && self
                .shares
                .is_over_share(&request.workspace, slot_share, &self.settings, now);
        demand
    }

    /// Whether the request would wait beyond its latest start.
    fn would_miss_deadline(&mut self, request: &Request, now: Instant) -> bool {
        if now >= request.latest_start {
            return true;
        }
        now + self.expected_wait(request, now) > request.latest_start
    }

    /// Makes room for one more request in the queue by displacing one of the workspace
    /// with the most queued requests. Returns false if that is the request's own
    /// workspace.
    fn make_room(&mut self, request: &Request, now: Instant) -> bool {
        if self.lanes.len() < MAX_QUEUED {
            return true;
        }
        let lane = self.lane(request, now);
        let less_urgent = self.lanes.pop_less_urgent(lane);
        let own_lane = self.lanes.lane(lane);
        let last = less_urgent.or_else(|| own_lane.pop_from_longest(&request.workspace));
        let Some(last) = last else {
            return false;
        };
        let refused = self.refuse(last.ticket.attempt, Denial::Full, now);
        self.displaced.extend(refused);
        true
    }

    /// The expected wait of the request, by the recent rate of placements.
    fn expected_wait(&mut self, request: &Request, now: Instant) -> Duration {
        let lane = self.lane(request, now);
        let lane = self.lanes.lane(lane);
        lane.expected_wait(&request.workspace, priority(request.rank), now)
    }

    fn push(&mut self, request: Request, now: Instant) {
        let ticket = Ticket {
            attempt: request.attempt,
            workspace: request.workspace.clone(),
            cost: request.cost,
            priority: priority(request.rank),
            standing: Standing::Clear,
            deadline: request.latest_start,
        };
        let waiting = Waiting {
            ticket,
            latest_start: request.latest_start,
        };
        let lane = self.lane(&request, now);
        self.lanes.push(lane, waiting, now);
        self.waiting.insert(request.attempt, request);
    }

    /// Places queued requests at servers with free slots, and refuses those that have
    /// reached their latest start.
    pub fn dequeue(&mut self, fleet: &Fleet, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = std::mem::take(&mut self.displaced);
        self.capacity_at = None;
        dequeued.extend(self.dequeue_bound(fleet, now));
        while let Some(expired) = self.lanes.pop_expired(now) {
            dequeued.extend(self.refuse(expired.ticket.attempt, Denial::Full, now));
        }
        while let Some(next) = self.dequeue_one(fleet, now) {
            dequeued.push(next);
        }
        if self.pool.is_scheduled(now) {
            for late in self.lanes.extract_late(now) {
                dequeued.extend(self.refuse(late.ticket.attempt, Denial::Full, now));
            }
        }
        self.lanes.observe(now);
        dequeued
    }

    fn dequeue_one(&mut self, fleet: &Fleet, now: Instant) -> Option<Dequeued> {
        let mut exhausted = Exhausted::default();
        for attempt in self.lanes.heads() {
            let request = self.waiting.get(&attempt)?.clone();
            if self.is_exhausted(&exhausted, &request, fleet, now) {
                continue;
            }
            match self.place(&request, fleet, now) {
                Ok(placement) => {
                    self.lanes.serve(attempt);
                    self.waiting.remove(&attempt);
                    return Some((attempt, Ok(placement)));
                }
                Err(denial) if is_hopeless(denial, &request) => {
                    self.lanes.remove(attempt);
                    return self.refuse(attempt, denial, now);
                }
                Err(denial) => {
                    self.note_wake(denial, now);
                    self.note_exhausted(&mut exhausted, &request, fleet, now);
                }
            }
        }
        None
    }

    fn refuse(
        &mut self,
        attempt: request::Attempt,
        denial: Denial,
        now: Instant,
    ) -> Option<Dequeued> {
        let request = self.waiting.remove(&attempt)?;
        Some((attempt, Err(self.refusal(denial, &request, now))))
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, attempt: request::Attempt) {
        self.lanes.remove(attempt);
        self.bound.retain(|bound| *bound != attempt);
        self.waiting.remove(&attempt);
    }

    /// Records that a request at a server has ended.
    pub fn ended(
        &mut self,
        server: &backend::Server,
        workspace: &workspace::Id,
        outcome: Outcome,
        now: Instant,
    ) -> Option<pool::Standing> {
        self.shares.finished(workspace, 1, &self.settings, now);
        self.urgency.finished(workspace);
        self.pool.ended(server, outcome, now)
    }

    /// When [`Queue::dequeue`] must be called even if nothing else happens.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.displaced.is_empty() {
            return Some(Instant::ZERO);
        }
        if self.waiting.is_empty() {
            return None;
        }
        let bound = self.bound.iter().filter_map(|attempt| {
            let request = self.waiting.get(attempt)?;
            Some(request.latest_start)
        });
        let expiry = self.lanes.next_expiry().into_iter().chain(bound);
        expiry.chain(self.capacity_at).min()
    }

    /// Records when a request that was denied a server may get one although no other request
    /// ends.
    fn note_wake(&mut self, denial: Denial, now: Instant) {
        let slow_start_at = match denial {
            Denial::SlowStart(at) | Denial::Reading(at) => Some(at),
            _ => None,
        };
        let throttle_end = self.pool.next_throttle_end(now);
        let known = self.capacity_at.into_iter();
        self.capacity_at = known.chain(slow_start_at).chain(throttle_end).min();
    }

    /// A refusal with the time by which the queue will have been served, an unreachable zone
    /// is probed again, or a server's pause ends.
    ///
    /// Up to half of that time is added, depending on the attempt, so that callers
    /// refused together do not retry together.
    fn refusal(&mut self, denial: Denial, request: &Request, now: Instant) -> Refusal {
        let lane = self.lane(request, now);
        let queueing = self.lanes.lane(lane).time_to_place(Cost(0), now);
        let is_backlog = matches!(denial, Denial::Full | Denial::SlowStart(_));
        if is_backlog && self.pool.is_scheduled(now) {
            return self.spread_refusal(denial, request, now);
        }
        let wait = match denial {
            Denial::ZonesUnreachable(at) => at.since(now).min(MAX_RETRY_DELAY),
            Denial::VersionGone => RESTART_TIME,
            Denial::Throttled(at) => at.since(now),
            Denial::NoServer => match self.pool.throttled_until(now) {
                Some(at) => at.since(now),
                None => queueing.min(MAX_RETRY_DELAY),
            },
            Denial::Full | Denial::SlowStart(_) | Denial::Reading(_) | Denial::Oversized(_) => {
                queueing.min(MAX_RETRY_DELAY)
            }
        };
        let wait = wait.max(MIN_RETRY_DELAY);
        let spread = f64::from(request.attempt.0 as u8) / f64::from(u8::MAX);
        Refusal {
            denial,
            retry_at: now + wait.mul_f64(1.0 + spread / 2.0),
        }
    }
}

/// Whether waiting in the queue cannot get the request a server in time.
fn is_hopeless(denial: Denial, request: &Request) -> bool {
    match denial {
        Denial::NoServer
        | Denial::VersionGone
        | Denial::ZonesUnreachable(_)
        | Denial::Oversized(_) => true,
        Denial::Throttled(until) => until > request.latest_start,
        Denial::Full | Denial::SlowStart(_) | Denial::Reading(_) => false,
    }
}

/// Maps ranks to the three priorities of the queue: the most urgent rank, the next, and
/// all others.
fn priority(rank: u8) -> request::Priority {
    match rank {
        0 => request::Priority::Interactive,
        1 => request::Priority::Normal,
        _ => request::Priority::Batch,
    }
}
