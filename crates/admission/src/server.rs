//! Admission control of one backend server: combines limit, load and queue.

use std::collections::{BTreeMap, BTreeSet};

use units::{cost::Cost, request, time::Instant, workspace};

use crate::{
    Action, Actions, Bound, Decision, Handover, Limit, Offered, Outcome, Phase, Report, Settings,
    Snapshot, State, Ticket,
    estimate::RunTimeEstimator,
    load::Load,
    queue::{Queue, Waiting},
    share::Shares,
    suspect_queue::SuspectQueue,
};

mod capacity;
mod offer;
mod running;

use capacity::{Capacity, NextQueued};
use running::{FirstTokenState, Running};

/// Ownership of the server, as seen by this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ownership {
    /// No other router admits requests.
    Settled,
    /// Until the instant, an earlier owner may not have learned of the change and
    /// may still admit requests.
    Takeover(Instant),
    /// This router admits no more requests.
    Stopped,
}

/// Admission control of one backend server, run by its owner.
#[derive(Clone, Debug)]
pub struct Server {
    settings: Settings,
    ownership: Ownership,
    bound: Bound,
    limit: Limit,
    load: Load,
    run_times: RunTimeEstimator,
    shares: Shares,
    queue: Queue,
    suspects: SuspectQueue,
    running: BTreeMap<request::Attempt, Running>,
    running_cost: Cost,
    /// Running attempts without a first token, by the instant at which its absence
    /// shows that the server is cold.
    inflated_timers: BTreeSet<(Instant, request::Attempt)>,
    /// Running attempts whose first token is not slow yet, by the instant at which
    /// it becomes slow.
    slow_timers: BTreeSet<(Instant, request::Attempt)>,
    /// Running attempts whose first token is slow.
    slow_attempts: BTreeSet<request::Attempt>,
    /// Admission time of the latest attempt whose first token was on time.
    last_on_time_admission: Instant,
    /// Whether the owner reports first tokens, so that a missing one is evidence.
    observes_first_tokens: bool,
    /// The limit at the last check for tickets that can no longer start in time.
    last_seen_limit: u32,
}

impl Server {
    /// Creates the state of a server without an earlier owner.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            run_times: RunTimeEstimator::new(settings.initial_run_time_per_cost),
            ownership: Ownership::Settled,
            bound: Bound::default(),
            limit: Limit::new(&settings, now),
            load: Load::default(),
            shares: Shares::default(),
            queue: Queue::default(),
            suspects: SuspectQueue::default(),
            running: BTreeMap::new(),
            running_cost: Cost(0),
            inflated_timers: BTreeSet::new(),
            slow_timers: BTreeSet::new(),
            slow_attempts: BTreeSet::new(),
            last_on_time_admission: now,
            observes_first_tokens: false,
            last_seen_limit: 0,
            settings,
        }
    }

    /// Creates the state of a server to which an earlier owner may admit requests
    /// until `until`.
    ///
    /// Routers may disagree for seconds about the owner of a server. Two owners
    /// that each fill it would put twice its limit on it. The new owner therefore
    /// uses only the share that a settled owner leaves free, until the earlier
    /// owner hands over or `until` has passed. By `until` the earlier owner must
    /// have stopped, and a load report from after that must have arrived.
    pub fn taking_over(settings: Settings, until: Instant, now: Instant) -> Self {
        Self {
            ownership: Ownership::Takeover(until),
            ..Self::new(settings, now)
        }
    }

    /// Applies the handover of an earlier owner that has stopped admitting.
    pub fn apply_handover(&mut self, handover: Handover, now: Instant) -> Actions {
        if matches!(self.ownership, Ownership::Takeover(_)) {
            self.ownership = Ownership::Settled;
        }
        self.limit.inherit(handover.limit, now);
        self.load.inherit(handover.in_flight, &self.settings, now);
        self.dispatch(now)
    }

    /// The handover for the next owner, to be taken after [`Self::stop`].
    pub fn handover(&self) -> Handover {
        Handover {
            limit: self.limit.get(&self.settings),
            in_flight: self.load.own(),
        }
    }

    /// Decides immediately whether a ticket is admitted, queued or refused.
    pub fn offer(&mut self, ticket: Ticket, now: Instant) -> Offered {
        let mut others = self.tick(now);
        let weight = self.queue.weight_of(&ticket.workspace);
        self.shares
            .offered(&ticket.workspace, weight, &self.settings, now);
        let decision = match self.validate(&ticket, now) {
            Ok(()) => self.admit_or_queue(ticket, &mut others, now),
            Err(refusal) => Decision::Refused(refusal),
        };
        Offered { decision, others }
    }

    /// Records the end of an admitted attempt. Unknown attempts are ignored.
    pub fn finish(&mut self, attempt: request::Attempt, outcome: Outcome, now: Instant) -> Actions {
        let is_in_use = self.is_in_use(now);
        if let Outcome::Completed { first_token_at, .. } = outcome {
            self.judge_first_token(attempt, first_token_at, now);
        }
        let Some(running) = self.running.remove(&attempt) else {
            return self.tick(now);
        };
        self.inflated_timers.remove(&(running.inflated_at, attempt));
        self.slow_timers.remove(&(running.slow_at, attempt));
        self.slow_attempts.remove(&attempt);
        self.running_cost -= running.cost;
        let weight = self.queue.weight_of(&running.workspace);
        self.shares
            .finished(&running.workspace, weight, &self.settings, now);
        self.load.remove(now);
        self.suspects.finished(attempt);
        match outcome {
            Outcome::Completed {
                first_token_at,
                ended_at,
            } => {
                let run_time = ended_at.since(running.admitted_at);
                if running.first_token_state == FirstTokenState::NonStreaming {
                    self.finish_non_streaming(&running, run_time, is_in_use, now);
                } else {
                    let token = running.first_token(first_token_at);
                    self.limit.completed(token, is_in_use, &self.settings, now);
                }
                self.run_times.record(running.cost, run_time);
            }
            Outcome::Failed => self.limit.failed(now),
            Outcome::Cancelled => {}
        }
        self.tick(now)
    }

    /// Cancels a queued or running attempt on behalf of its caller.
    pub fn cancel(&mut self, attempt: request::Attempt, now: Instant) -> Actions {
        if self.running.contains_key(&attempt) {
            return self.finish(attempt, Outcome::Cancelled, now);
        }
        self.queue.remove(attempt);
        self.suspects.remove(attempt);
        self.tick(now)
    }

    /// Applies a load report of the server.
    pub fn report(&mut self, report: Report, now: Instant) -> Actions {
        let restarted = self.limit.report(&report, now);
        let is_takeover = matches!(self.ownership, Ownership::Takeover(_));
        self.load.report(&report, is_takeover, &self.settings, now);
        if !restarted && report.waiting == 0 {
            self.limit.raise_above_foreign(self.load.foreign(now));
        }
        self.tick(now)
    }

    /// Sets the bound on the server's load, derived from the mean load of its pool.
    pub fn set_bound(&mut self, bound: Bound, now: Instant) -> Actions {
        self.bound = bound;
        self.tick(now)
    }

    /// Sets the weights of workspaces. Workspaces without an entry have weight one.
    pub fn set_weights(&mut self, weights: BTreeMap<workspace::Id, u32>) {
        self.queue.set_weights(weights);
    }

    /// Stops admission and refuses all queued tickets. Running requests continue.
    pub fn stop(&mut self) -> Actions {
        self.ownership = Ownership::Stopped;
        let mut actions = Actions::new();
        while let Some(waiting) = self.suspects.pop_unstarted() {
            actions.push(Action::Refuse(
                waiting.ticket.attempt,
                offer::moved_refusal(),
            ));
        }
        for waiting in self.queue.extract_if(|_, _| true) {
            actions.push(Action::Refuse(
                waiting.ticket.attempt,
                offer::moved_refusal(),
            ));
        }
        actions
    }

    /// Resumes admission after [`Self::stop`], with a limit of one.
    pub fn start(&mut self, now: Instant) -> Actions {
        if self.ownership == Ownership::Stopped {
            self.ownership = Ownership::Settled;
            self.limit = Limit::new(&self.settings, now);
        }
        self.tick(now)
    }

    /// Advances to the instant `now`: checks for missing first tokens, expires old
    /// state, refuses tickets that can no longer meet their deadline and admits
    /// queued tickets for which there is capacity.
    pub fn tick(&mut self, now: Instant) -> Actions {
        if let Ownership::Takeover(until) = self.ownership
            && now >= until
        {
            self.ownership = Ownership::Settled;
        }
        self.check_first_tokens(now);
        self.load.expire(now);
        self.shares.expire(now);
        self.limit.decay(&self.settings, now);
        let mut actions = self.refuse_expired(now);
        actions.extend(self.refuse_after_decrease(now));
        actions.extend(self.dispatch(now));
        actions
    }

    /// The next instant at which [`Self::tick`] must be called.
    pub fn next_tick(&self) -> Option<Instant> {
        let first_token_timers = [self.inflated_timers.first(), self.slow_timers.first()];
        let first_token_timers = first_token_timers
            .into_iter()
            .flatten()
            .map(|&(instant, _)| instant);
        let first_token_timers = first_token_timers
            .min()
            .filter(|_| self.observes_first_tokens);
        let takeover = match self.ownership {
            Ownership::Takeover(until) => Some(until),
            Ownership::Settled | Ownership::Stopped => None,
        };
        let queue_timers = [self.queue.next_expiry(), self.suspects.next_expiry()];
        let others = [first_token_timers, takeover, self.load.expires_at()];
        let instants = queue_timers.into_iter().chain(others);
        instants.flatten().min()
    }

    /// Values for the status page and the metrics.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let state = match (self.ownership, self.limit.phase()) {
            (Ownership::Stopped, _) => State::Stopped,
            (Ownership::Takeover(_), _) => State::Takeover,
            (Ownership::Settled, _) if self.is_in_doubt() => State::Doubt,
            (Ownership::Settled, Phase::Cold) => State::Cold,
            (Ownership::Settled, Phase::Warm) => State::Warm,
        };
        let queued = self.queue.len() + self.suspects.len();
        Snapshot {
            state,
            in_flight: self.load.own(),
            in_flight_cost: self.running_cost,
            foreign: self.load.foreign(now),
            limit: self.allowed(now),
            queued: u32::try_from(queued).unwrap_or(u32::MAX),
            queued_cost: self.queue.cost() + self.suspects.cost(),
        }
    }

    /// Admits queued tickets in fair order while there is capacity.
    fn dispatch(&mut self, now: Instant) -> Actions {
        let mut actions = Actions::new();
        while let Some(ticket) = self.next_suspect(now).or_else(|| self.next_regular(now)) {
            self.admit(&ticket, now);
            actions.push(Action::Admit(ticket.attempt));
        }
        actions
    }

    /// Removes and returns the next suspect ticket, if it may run now.
    fn next_suspect(&mut self, now: Instant) -> Option<Ticket> {
        let next = self.suspects.next_runnable(!self.queue.is_empty())?;
        if self.capacity(&next.ticket, now) != Capacity::Available {
            return None;
        }
        let next = self.suspects.start_next()?.ticket;
        self.queue.charge(&next.workspace, next.cost);
        Some(next)
    }

    /// Removes and returns the next ticket of the regular queue, if it may run now.
    fn next_regular(&mut self, now: Instant) -> Option<Ticket> {
        let NextQueued::Ready(attempt) = self.next_queued(now) else {
            return None;
        };
        self.suspects.regular_admitted();
        self.queue.serve(attempt).map(|waiting| waiting.ticket)
    }

    /// Refuses the tickets whose latest start has passed.
    fn refuse_expired(&mut self, now: Instant) -> Actions {
        let mut actions = Actions::new();
        while let Some(waiting) = self.suspects.pop_expired(now) {
            let refusal = self.missed_start_refusal(&waiting, now);
            actions.push(Action::Refuse(waiting.ticket.attempt, refusal));
        }
        while let Some(waiting) = self.queue.pop_expired(now) {
            let refusal = self.missed_start_refusal(&waiting, now);
            actions.push(Action::Refuse(waiting.ticket.attempt, refusal));
        }
        actions
    }

    /// Refuses the tickets that can no longer start in time after a decrease of the
    /// limit.
    ///
    /// Otherwise they would be refused only at their latest start, and their
    /// callers would lose the time for a retry on another server.
    fn refuse_after_decrease(&mut self, now: Instant) -> Actions {
        let limit = self.allowed(now);
        let decreased = limit < self.last_seen_limit;
        self.last_seen_limit = limit;
        if !decreased || self.queue.is_empty() {
            return Actions::new();
        }
        let earliest_start = self.estimated_start(Cost(0), now);
        let slots = self.slots(now);
        let run_times = &self.run_times;
        let missed_starts = self.queue.extract_if(|waiting, ahead| {
            earliest_start + run_times.drain_time(ahead, slots) > waiting.latest_start
        });
        let refuse = |waiting: Waiting| {
            let refusal = self.missed_start_refusal(&waiting, now);
            Action::Refuse(waiting.ticket.attempt, refusal)
        };
        missed_starts.into_iter().map(refuse).collect()
    }
}
