//! The roll-outs that concern the requests of this router.

use std::{collections::BTreeMap, time::Duration};

use rollout::{Order, Role, Settings, Stage, Trial, counts::Arm};
use units::{
    pool,
    time::{Instant, Millis},
};
use xxhash_rust::xxh3;

use super::{AcquireRequest, Dispatch, Progress, Ticket, TrialTicket, requests::expected};
use crate::pool::{Outcome, Placement, Pool, Preference};

/// The period after which a long response is forgotten, at least.
const RESPONSE_WINDOW: Duration = Duration::from_secs(10);

/// The longest response time in the current window and the one before.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseTime {
    window_ends: Instant,
    longest: Duration,
    previous: Duration,
}

impl ResponseTime {
    fn record(&mut self, time: Duration, now: Instant) {
        if now >= self.window_ends {
            let is_next = now < self.window_ends + RESPONSE_WINDOW;
            self.previous = if is_next {
                self.longest
            } else {
                Duration::ZERO
            };
            self.longest = Duration::ZERO;
            self.window_ends = now + RESPONSE_WINDOW;
        }
        self.longest = self.longest.max(time);
    }

    fn longest(&self) -> Millis {
        let longest = self.longest.max(self.previous);
        Millis(u64::try_from(longest.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The orders in force, and this router's part in the roll-outs.
#[derive(Debug, Default)]
pub(super) struct Rollouts {
    orders: Vec<Order>,
    trials: BTreeMap<pool::Id, Trial>,
    /// The stages of the orders, for services whose servers are not known yet.
    stages: BTreeMap<pool::Id, (u64, Stage)>,
    response_times: BTreeMap<pool::Id, ResponseTime>,
}

impl Rollouts {
    /// The order for a service.
    pub fn order(&self, pool: &pool::Id) -> Option<&Order> {
        self.orders.iter().find(|order| order.pool == *pool)
    }

    fn set_orders(&mut self, orders: Vec<Order>) {
        self.orders = orders;
        let orders = &self.orders;
        let is_current = |pool: &pool::Id, revision| {
            let mut orders = orders.iter();
            orders.any(|order| order.pool == *pool && order.revision == revision)
        };
        self.trials
            .retain(|pool, trial| is_current(pool, trial.revision()));
        self.stages
            .retain(|pool, (revision, _)| is_current(pool, *revision));
    }

    /// Applies the order and its stage to the servers of a service.
    pub fn apply(&self, name: &pool::Id, pool: &mut Pool) {
        pool.set_order(self.order(name));
        if let Some((revision, stage)) = self.stages.get(name) {
            pool.set_stage(*revision, *stage);
        }
    }

    fn set_stage(
        &mut self,
        pool: &pool::Id,
        stage: Stage,
        revision: u64,
        settings: Settings,
        seed: u64,
        now: Instant,
    ) {
        self.stages.insert(pool.clone(), (revision, stage));
        if stage.is_final() {
            self.trials.remove(pool);
            return;
        }
        let trial = self
            .trials
            .entry(pool.clone())
            .or_insert_with(|| Trial::new(revision, settings, stage, seed));
        trial.set_stage(stage, now);
    }

    /// The version that a request goes to. Retries go to the version in service, unless its
    /// servers are about to stop.
    pub fn preference(&self, request: &AcquireRequest, now: Instant) -> Preference {
        let prefers_candidate = |trial: &Trial| {
            if request.is_retry {
                trial.stage().is_promoted()
            } else {
                trial.prefers_candidate(request.route, now)
            }
        };
        if self
            .trials
            .get(&request.pool)
            .is_some_and(prefers_candidate)
        {
            Preference::Candidate
        } else {
            Preference::Baseline
        }
    }

    /// Records that a request was admitted to a server. Retries are no part of a roll-out:
    /// that a request fails again may be due to the request.
    pub fn admitted(
        &mut self,
        request: &AcquireRequest,
        placement: &Placement,
        now: Instant,
    ) -> Option<TrialTicket> {
        let trial = self.trials.get_mut(&request.pool)?;
        if request.is_retry {
            return None;
        }
        let arm = match placement.role {
            Role::Serving => Arm::Baseline,
            Role::Candidate => Arm::Candidate,
            Role::Idle => return None,
        };
        trial.record_admission(request.route, arm, now);
        Some(TrialTicket {
            revision: trial.revision(),
            route: request.route,
            arm,
            is_cold: placement.is_cold,
        })
    }

    /// The trial that a request belongs to, and its part in it.
    fn trial_of(&mut self, ticket: &Ticket) -> Option<(&mut Trial, TrialTicket)> {
        let part = ticket.trial?;
        let trial = self.trials.get_mut(&ticket.pool)?;
        (trial.revision() == part.revision).then_some((trial, part))
    }

    /// Records the first byte of a response.
    pub fn first_byte(&mut self, ticket: &Ticket, now: Instant) {
        if ticket.has_failed {
            return;
        }
        let server = server_hash(ticket);
        let Some((trial, part)) = self.trial_of(ticket) else {
            return;
        };
        trial.record_success(part.route, part.arm, server);
        if !part.is_cold {
            let time = now.since(ticket.sent_at);
            trial.record_time(part.route, part.arm, server, time, expected(ticket));
        }
    }

    /// Records the end of a request.
    pub fn ended(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        let time = now.since(ticket.sent_at);
        if outcome == Outcome::Completed {
            let response_time = self.response_times.entry(ticket.pool.clone()).or_default();
            response_time.record(time, now);
        }
        self.settled(ticket, outcome);
        let server = server_hash(ticket);
        let Some((trial, part)) = self.trial_of(ticket) else {
            return;
        };
        match outcome {
            Outcome::Completed => {}
            _ if ticket.has_first_byte && !ticket.has_failed => {
                trial.record_unfinished(part.route, part.arm);
            }
            // The caller did not wait for the first byte, which took at least this long.
            Outcome::Cancelled if !ticket.has_first_byte && !part.is_cold => {
                let expected = expected(ticket);
                if time >= expected {
                    trial.record_time(part.route, part.arm, server, time, expected);
                }
            }
            _ => {}
        }
    }

    /// Records what is known of a request that may have ended before.
    pub fn settled(&mut self, ticket: &Ticket, outcome: Outcome) {
        let server = server_hash(ticket);
        if let (Outcome::Failed | Outcome::Broken, Some((trial, part))) =
            (outcome, self.trial_of(ticket))
        {
            trial.record_failure(part.route, part.arm, server);
        }
    }
}

fn server_hash(ticket: &Ticket) -> u64 {
    xxh3::xxh3_64(ticket.server.as_str().as_bytes())
}

impl Dispatch {
    pub(super) fn set_orders(&mut self, orders: Vec<Order>) {
        self.rollouts.set_orders(orders);
        for (name, queue) in &mut self.queues {
            self.rollouts.apply(name, queue.pool_mut());
        }
    }

    pub(super) fn set_stage(&mut self, pool: &pool::Id, revision: u64, stage: Stage, now: Instant) {
        let is_current = |order: &&Order| order.revision == revision;
        let order = self.rollouts.order(pool).filter(is_current);
        let (Some(settings), true) = (self.settings.bounds.rollouts, order.is_some()) else {
            return;
        };
        // Routers that select their requests alike would all send their first ones to the
        // new version at the same time, and so would the starts of one router.
        let host = xxh3::xxh3_64(self.settings.host.as_str().as_bytes());
        let seed = host ^ rand::random::<u64>();
        self.rollouts
            .set_stage(pool, stage, revision, settings, seed, now);
        if let Some(queue) = self.queues.get_mut(pool) {
            self.rollouts.apply(pool, queue.pool_mut());
        }
        self.dequeue_all();
    }

    pub(super) fn set_up_to_date(&mut self, is_up_to_date: bool) {
        for queue in self.queues.values_mut() {
            queue.pool_mut().set_up_to_date(is_up_to_date);
        }
    }

    /// The state of the services for which there is an order.
    pub(super) fn progress(&self) -> Vec<Progress> {
        let orders = self.rollouts.orders.iter();
        orders.map(|order| self.progress_of(order)).collect()
    }

    fn progress_of(&self, order: &Order) -> Progress {
        let pool = self.queues.get(&order.pool).map(|queue| queue.pool());
        let trial = self.rollouts.trials.get(&order.pool);
        let response_time = self.rollouts.response_times.get(&order.pool);
        Progress {
            pool: order.pool.clone(),
            counts: trial
                .map(|trial| trial.counts().clone())
                .unwrap_or_default(),
            loads: pool.map(|pool| pool.version_loads()).unwrap_or_default(),
            is_serving: pool.is_some_and(|pool| pool.serving().baseline() == Some(&order.to)),
            longest_response: response_time.map(ResponseTime::longest).unwrap_or_default(),
        }
    }
}
