//! Requests that wait for a server of one service, in fair order.

use std::{collections::HashMap, time::Duration};

use admission::{Queue, Shares, Standing, Ticket, Waiting};
use units::{backend, cost::Cost, request, time::Instant, workspace};

use crate::pool::{self, Demand, Denial, Fleet, Outcome, Place, Pool};

/// The most requests that wait at one router for one service.
///
/// At a hundred requests a second this is over two seconds of work, longer
/// than most callers wait for a first byte.
const MAX_QUEUED: usize = 256;
/// How many workspaces are looked at for one that fits when a place comes free.
const MAX_HEADS: usize = 16;
/// The time over which it is measured how fast requests get places.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// The least time after which a refused caller may come back: a short answer takes as long.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest such time: what fills all servers lasts seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// How much later each step of lower urgency is served among the requests of a workspace.
const RANK_STEP: Duration = Duration::from_millis(200);

/// One request that wants a server.
#[derive(Clone, Debug)]
pub struct QueueRequest {
    /// Names it among those that wait.
    pub attempt: request::Attempt,
    /// Who is charged for it.
    pub workspace: workspace::Id,
    /// The work that it means.
    pub cost: Cost,
    /// How urgent it is; zero is the most urgent.
    pub rank: u8,
    /// When it is too late to start it.
    pub latest_start: Instant,
    /// What placement needs to know.
    pub demand: Demand,
}

/// Why a request gets no place, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What was in the way.
    pub denial: Denial,
    /// When to come back.
    pub retry_at: Instant,
}

/// What became of a request that asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It goes there now.
    Placed(Place),
    /// It waits; [`ServiceQueue::dequeue`] tells what becomes of it.
    Queued,
    /// It is refused.
    Refused(Refusal),
}

/// What became of a request that waited.
pub type Dequeued = (request::Attempt, Result<Place, Refusal>);

/// The servers of one service and the requests that wait for them.
///
/// While servers have room a request does not wait. When they are full, the
/// workspace that has had least is served next, and one that has more than its
/// share leaves some slots free: otherwise one workspace's surge would make all
/// others wait for each of their requests.
#[derive(Debug)]
pub struct ServiceQueue {
    pool: Pool,
    queue: Queue,
    shares: Shares,
    settings: admission::Settings,
    waiting: HashMap<request::Attempt, QueueRequest>,
    rate: PlacementRate,
    slow_start_at: Option<Instant>,
    /// Refused to make room, and not told yet.
    displaced: Vec<Dequeued>,
}

impl ServiceQueue {
    /// A line without requests in front of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self {
            pool,
            queue: Queue::default(),
            shares: Shares::default(),
            settings: admission::Settings::default(),
            waiting: HashMap::new(),
            rate: PlacementRate::default(),
            slow_start_at: None,
            displaced: Vec::new(),
        }
    }

    /// The servers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The servers, to be changed. [`ServiceQueue::dequeue`] has to follow.
    pub fn pool_mut(&mut self) -> &mut Pool {
        &mut self.pool
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits, and none is to be told that it waits no more.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.displaced.is_empty()
    }

    /// Asks for a place.
    pub fn submit(&mut self, request: QueueRequest, fleet: &Fleet, now: Instant) -> Admission {
        self.shares.expire(now);
        self.shares.seen(&request.workspace, 1, &self.settings, now);
        let denial = match self.try_place(&request, fleet, now) {
            Ok(place) => return Admission::Placed(place),
            Err(denial @ (Denial::NoServer | Denial::ZonesUnreachable(_))) => {
                return Admission::Refused(self.refusal(denial, &request, now));
            }
            Err(denial) => denial,
        };
        if self.would_miss_deadline(&request, now) || !self.make_room(&request, now) {
            return Admission::Refused(self.refusal(denial, &request, now));
        }
        self.note_slow_start(denial);
        self.push(request, now);
        Admission::Queued
    }

    /// Places a request at once, if none of its workspace waits.
    ///
    /// What waits of other workspaces had no place when the last one came free,
    /// so a place that is there now is one that is kept from them.
    fn try_place(
        &mut self,
        request: &QueueRequest,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<Place, Denial> {
        if self.queue.len_of(&request.workspace) > 0 {
            return Err(Denial::Full);
        }
        let place = self.place(request, fleet, now)?;
        self.queue.charge(&request.workspace, request.cost);
        Ok(place)
    }

    fn place(
        &mut self,
        request: &QueueRequest,
        fleet: &Fleet,
        now: Instant,
    ) -> Result<Place, Denial> {
        let slot_share = self.pool.slots() / u32::try_from(fleet.members.len().max(1)).unwrap_or(1);
        let mut demand = request.demand.clone();
        demand.leaves_reserve =
            self.shares
                .is_over(&request.workspace, slot_share, &self.settings, now);
        let place = self.pool.admit(&demand, fleet, now)?;
        self.shares
            .began(&request.workspace, 1, &self.settings, now);
        self.rate.record(request.cost, now);
        Ok(place)
    }

    /// Whether the request would wait longer than it can.
    fn would_miss_deadline(&self, request: &QueueRequest, now: Instant) -> bool {
        if now >= request.latest_start {
            return true;
        }
        now + self.expected_wait(request, now) > request.latest_start
    }

    /// Makes room for one more to wait. The workspace that has most gives way;
    /// if that is the request's own, there is no room.
    fn make_room(&mut self, request: &QueueRequest, now: Instant) -> bool {
        if self.queue.len() < MAX_QUEUED {
            return true;
        }
        let Some(last) = self.queue.displace(&request.workspace) else {
            return false;
        };
        let refused = self.refuse(last.ticket.attempt, Denial::Full, now);
        self.displaced.extend(refused);
        true
    }

    /// How long the request would wait, by how fast others lately got places.
    fn expected_wait(&self, request: &QueueRequest, now: Instant) -> Duration {
        let ahead = self.queue.ahead(&request.workspace, priority(request.rank));
        self.rate.time_to_place(ahead, now)
    }

    fn push(&mut self, request: QueueRequest, now: Instant) {
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
        self.queue.push(waiting, RANK_STEP, now);
        self.waiting.insert(request.attempt, request);
    }

    /// Gives places that came free to those that wait, and refuses those whose
    /// time is up.
    pub fn dequeue(&mut self, fleet: &Fleet, now: Instant) -> Vec<Dequeued> {
        let mut dequeued = std::mem::take(&mut self.displaced);
        self.slow_start_at = None;
        while let Some(expired) = self.queue.pop_expired(now) {
            dequeued.extend(self.refuse(expired.ticket.attempt, Denial::Full, now));
        }
        while let Some(next) = self.dequeue_one(fleet, now) {
            dequeued.push(next);
        }
        dequeued
    }

    fn dequeue_one(&mut self, fleet: &Fleet, now: Instant) -> Option<Dequeued> {
        let heads: Vec<_> = self.queue.heads().take(MAX_HEADS).collect();
        let heads: Vec<_> = heads.iter().map(|head| head.ticket.attempt).collect();
        for attempt in heads {
            let request = self.waiting.get(&attempt)?.clone();
            match self.place(&request, fleet, now) {
                Ok(place) => {
                    self.queue.serve(attempt);
                    self.waiting.remove(&attempt);
                    return Some((attempt, Ok(place)));
                }
                Err(denial @ (Denial::NoServer | Denial::ZonesUnreachable(_))) => {
                    self.queue.remove(attempt);
                    return self.refuse(attempt, denial, now);
                }
                Err(denial) => self.note_slow_start(denial),
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

    /// Takes a request out whose caller has left.
    pub fn cancel(&mut self, attempt: request::Attempt) {
        self.queue.remove(attempt);
        self.waiting.remove(&attempt);
    }

    /// A request has left its server.
    pub fn ended(
        &mut self,
        server: &backend::Server,
        workspace: &workspace::Id,
        outcome: Outcome,
        now: Instant,
    ) -> Option<pool::Standing> {
        self.shares.ended(workspace, 1, &self.settings, now);
        self.pool.ended(server, outcome, now)
    }

    /// When [`ServiceQueue::dequeue`] has something to do by itself.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.displaced.is_empty() {
            return Some(Instant::ZERO);
        }
        if self.waiting.is_empty() {
            return None;
        }
        let expiry = self.queue.next_expiry();
        expiry.into_iter().chain(self.slow_start_at).min()
    }

    fn note_slow_start(&mut self, denial: Denial) {
        if let Denial::SlowStart(at) = denial {
            self.slow_start_at = Some(self.slow_start_at.map_or(at, |known| known.min(at)));
        }
    }

    /// A refusal with the time by which the present line will be served, or a
    /// zone that cannot be reached is tried again.
    ///
    /// It is spread by half, so that those refused together do not return together.
    fn refusal(&self, denial: Denial, request: &QueueRequest, now: Instant) -> Refusal {
        let wait = match denial {
            Denial::ZonesUnreachable(at) => at.since(now),
            _ => self.rate.time_to_place(self.queue.cost(), now),
        };
        let wait = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let spread = f64::from(request.attempt.0 as u8) / f64::from(u8::MAX);
        Refusal {
            denial,
            retry_at: now + wait.mul_f64(1.0 + spread / 2.0),
        }
    }
}

/// The three priorities of the queue: the most urgent ranks, the next, all others.
fn priority(rank: u8) -> request::Priority {
    match rank {
        0 => request::Priority::Interactive,
        1 => request::Priority::Normal,
        _ => request::Priority::Batch,
    }
}

/// How fast requests get places.
#[derive(Clone, Copy, Debug, Default)]
struct PlacementRate {
    window_ends: Instant,
    cost: Cost,
    /// The cost of the last full window.
    previous_cost: Cost,
}

impl PlacementRate {
    fn record(&mut self, cost: Cost, now: Instant) {
        if now >= self.window_ends {
            let is_next = now < self.window_ends + RATE_WINDOW;
            self.previous_cost = if is_next { self.cost } else { Cost(0) };
            self.cost = Cost(0);
            self.window_ends = now + RATE_WINDOW;
        }
        self.cost += cost;
    }

    /// The time in which work of `cost` gets places.
    fn time_to_place(&self, cost: Cost, now: Instant) -> Duration {
        let is_current = now < self.window_ends + RATE_WINDOW;
        let rate = if is_current {
            self.previous_cost.0.max(self.cost.0)
        } else {
            0
        };
        if rate == 0 {
            // Nothing is known, so nothing speaks against waiting.
            return Duration::ZERO;
        }
        RATE_WINDOW.mul_f64(cost.0 as f64 / rate as f64)
    }
}
