//! Requests that wait for a server of one service, in fair order.

use std::{collections::HashMap, time::Duration};

use admission::{Queue, Shares, Standing, Ticket, Waiting};
use units::{backend, cost::Cost, request, time::Instant, workspace};

use crate::pool::{self, Demand, Denial, Fleet, Outcome, Place, Pool};

/// The most requests that wait at one router for one service.
///
/// At a hundred requests a second this is over two seconds of work, longer
/// than most callers wait for a first byte.
const MOST_WAITING: usize = 256;
/// How many workspaces are looked at for one that fits when a place comes free.
const HEADS: usize = 16;
/// The time over which it is measured how fast requests get places.
const METER_WINDOW: Duration = Duration::from_secs(1);
/// The least time after which a refused caller may come back: a short answer takes as long.
const LEAST_RETURN: Duration = Duration::from_millis(100);
/// The longest such time: what fills all servers lasts seconds.
const LONGEST_RETURN: Duration = Duration::from_secs(3);
/// How much later each step of lower urgency is served among the requests of a workspace.
const RANK_STEP: Duration = Duration::from_millis(200);

/// One request that wants a server.
#[derive(Clone, Debug)]
pub struct Ask {
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
pub enum Offered {
    /// It goes there now.
    Placed(Place),
    /// It waits; [`Line::serve`] tells what becomes of it.
    Waits,
    /// It is refused.
    Refused(Refusal),
}

/// What became of a request that waited.
pub type Served = (request::Attempt, Result<Place, Refusal>);

/// The servers of one service and the requests that wait for them.
///
/// While servers have room a request does not wait. When they are full, the
/// workspace that has had least is served next, and one that has more than its
/// share leaves some slots free: otherwise one workspace's surge would make all
/// others wait for each of their requests.
#[derive(Debug)]
pub struct Line {
    pool: Pool,
    queue: Queue,
    shares: Shares,
    settings: admission::Settings,
    waiting: HashMap<request::Attempt, Ask>,
    meter: Meter,
    cold_at: Option<Instant>,
    /// Refused to make room, and not told yet.
    displaced: Vec<Served>,
}

impl Line {
    /// A line without requests in front of `pool`.
    pub fn new(pool: Pool) -> Self {
        Self {
            pool,
            queue: Queue::default(),
            shares: Shares::default(),
            settings: admission::Settings::default(),
            waiting: HashMap::new(),
            meter: Meter::default(),
            cold_at: None,
            displaced: Vec::new(),
        }
    }

    /// The servers.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The servers, to be changed. [`Line::serve`] has to follow.
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
    pub fn offer(&mut self, ask: Ask, fleet: &Fleet, now: Instant) -> Offered {
        self.shares.expire(now);
        self.shares.offered(&ask.workspace, 1, &self.settings, now);
        let denial = match self.offer_now(&ask, fleet, now) {
            Ok(place) => return Offered::Placed(place),
            Err(denial @ (Denial::Empty | Denial::Away(_))) => {
                return Offered::Refused(self.refusal(denial, &ask, now));
            }
            Err(denial) => denial,
        };
        if self.is_hopeless(&ask, now) || !self.make_room(&ask, now) {
            return Offered::Refused(self.refusal(denial, &ask, now));
        }
        self.note_cold(denial);
        self.push(ask, now);
        Offered::Waits
    }

    /// Places a request at once, if none of its workspace waits.
    ///
    /// What waits of other workspaces had no place when the last one came free,
    /// so a place that is there now is one that is kept from them.
    fn offer_now(&mut self, ask: &Ask, fleet: &Fleet, now: Instant) -> Result<Place, Denial> {
        if self.queue.len_of(&ask.workspace) > 0 {
            return Err(Denial::Full);
        }
        let place = self.place(ask, fleet, now)?;
        self.queue.charge(&ask.workspace, ask.cost);
        Ok(place)
    }

    fn place(&mut self, ask: &Ask, fleet: &Fleet, now: Instant) -> Result<Place, Denial> {
        let own_slots = self.pool.slots() / u32::try_from(fleet.members.len().max(1)).unwrap_or(1);
        let mut demand = ask.demand.clone();
        demand.is_modest =
            self.shares
                .is_over_share(&ask.workspace, own_slots, &self.settings, now);
        let place = self.pool.admit(&demand, fleet, now)?;
        self.shares.admitted(&ask.workspace, 1, &self.settings, now);
        self.meter.served(ask.cost, now);
        Ok(place)
    }

    /// Whether the request would wait longer than it can.
    fn is_hopeless(&self, ask: &Ask, now: Instant) -> bool {
        if now >= ask.latest_start {
            return true;
        }
        now + self.wait(ask, now) > ask.latest_start
    }

    /// Makes room for one more to wait. The workspace that has most gives way;
    /// if that is the request's own, there is no room.
    fn make_room(&mut self, ask: &Ask, now: Instant) -> bool {
        if self.queue.len() < MOST_WAITING {
            return true;
        }
        let Some(last) = self.queue.pop_from_longest(&ask.workspace) else {
            return false;
        };
        let refused = self.refuse(last.ticket.attempt, Denial::Full, now);
        self.displaced.extend(refused);
        true
    }

    /// How long the request would wait, by how fast others lately got places.
    fn wait(&self, ask: &Ask, now: Instant) -> Duration {
        let ahead = self.queue.cost_ahead(&ask.workspace, priority(ask.rank));
        self.meter.time_for(ahead, now)
    }

    fn push(&mut self, ask: Ask, now: Instant) {
        let ticket = Ticket {
            attempt: ask.attempt,
            workspace: ask.workspace.clone(),
            cost: ask.cost,
            priority: priority(ask.rank),
            standing: Standing::Clear,
            deadline: ask.latest_start,
        };
        let waiting = Waiting {
            ticket,
            latest_start: ask.latest_start,
        };
        self.queue.push(waiting, RANK_STEP, now);
        self.waiting.insert(ask.attempt, ask);
    }

    /// Gives places that came free to those that wait, and refuses those whose
    /// time is up.
    pub fn serve(&mut self, fleet: &Fleet, now: Instant) -> Vec<Served> {
        let mut served = std::mem::take(&mut self.displaced);
        self.cold_at = None;
        while let Some(expired) = self.queue.pop_expired(now) {
            served.extend(self.refuse(expired.ticket.attempt, Denial::Full, now));
        }
        while let Some(next) = self.serve_one(fleet, now) {
            served.push(next);
        }
        served
    }

    fn serve_one(&mut self, fleet: &Fleet, now: Instant) -> Option<Served> {
        let heads: Vec<_> = self.queue.heads().take(HEADS).collect();
        let heads: Vec<_> = heads.iter().map(|head| head.ticket.attempt).collect();
        for attempt in heads {
            let ask = self.waiting.get(&attempt)?.clone();
            match self.place(&ask, fleet, now) {
                Ok(place) => {
                    self.queue.serve(attempt);
                    self.waiting.remove(&attempt);
                    return Some((attempt, Ok(place)));
                }
                Err(denial @ (Denial::Empty | Denial::Away(_))) => {
                    self.queue.remove(attempt);
                    return self.refuse(attempt, denial, now);
                }
                Err(denial) => self.note_cold(denial),
            }
        }
        None
    }

    fn refuse(
        &mut self,
        attempt: request::Attempt,
        denial: Denial,
        now: Instant,
    ) -> Option<Served> {
        let ask = self.waiting.remove(&attempt)?;
        Some((attempt, Err(self.refusal(denial, &ask, now))))
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
        self.shares.finished(workspace, 1, &self.settings, now);
        self.pool.ended(server, outcome, now)
    }

    /// When [`Line::serve`] has something to do by itself.
    pub fn next_wake(&self) -> Option<Instant> {
        if !self.displaced.is_empty() {
            return Some(Instant::ZERO);
        }
        if self.waiting.is_empty() {
            return None;
        }
        let expiry = self.queue.next_expiry();
        expiry.into_iter().chain(self.cold_at).min()
    }

    fn note_cold(&mut self, denial: Denial) {
        if let Denial::Cold(at) = denial {
            self.cold_at = Some(self.cold_at.map_or(at, |known| known.min(at)));
        }
    }

    /// A refusal with the time by which the present line will be served, or a
    /// zone that cannot be reached is tried again.
    ///
    /// It is spread by half, so that those refused together do not return together.
    fn refusal(&self, denial: Denial, ask: &Ask, now: Instant) -> Refusal {
        let wait = match denial {
            Denial::Away(at) => at.since(now),
            _ => self.meter.time_for(self.queue.cost(), now),
        };
        let wait = wait.clamp(LEAST_RETURN, LONGEST_RETURN);
        let spread = f64::from(ask.attempt.0 as u8) / f64::from(u8::MAX);
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
struct Meter {
    window_ends: Instant,
    cost: Cost,
    /// The cost of the last full window.
    before: Cost,
}

impl Meter {
    fn served(&mut self, cost: Cost, now: Instant) {
        if now >= self.window_ends {
            let is_next = now < self.window_ends + METER_WINDOW;
            self.before = if is_next { self.cost } else { Cost(0) };
            self.cost = Cost(0);
            self.window_ends = now + METER_WINDOW;
        }
        self.cost += cost;
    }

    /// The time in which work of `cost` gets places.
    fn time_for(&self, cost: Cost, now: Instant) -> Duration {
        let is_current = now < self.window_ends + METER_WINDOW;
        let rate = if is_current {
            self.before.0.max(self.cost.0)
        } else {
            0
        };
        if rate == 0 {
            // Nothing is known, so nothing speaks against waiting.
            return Duration::ZERO;
        }
        METER_WINDOW.mul_f64(cost.0 as f64 / rate as f64)
    }
}
