//! Handling of one request: offers, decisions and attempts.

use std::time::Duration;

use placement::{Capacity, Decision, Offer, plan};
use units::{cost::Cost, request, time::Instant};

use super::{Chosen, Event, REQUEST_TIMEOUT};
use crate::{simulation::Core, stats::Status};

/// Output tokens that an owner expects of every request.
const EXPECTED_OUTPUT: u32 = 150;

impl Chosen {
    pub(super) fn offer_next(&mut self, core: &mut Core<Event>, request: usize, now: Instant) {
        let entry = usize::from(core.arrivals[request].router);
        let outlier_detector = &self.routers[entry].outlier_detector;
        let failed = self.failures.get(&request).map_or(&[][..], Vec::as_slice);
        let is_open = |next: &plan::Candidate| {
            let engine = core.engine(&next.server);
            !failed.contains(&engine) && !outlier_detector.is_ejected(&next.server, now)
        };
        let plan = self.plans.get_mut(&request);
        let next = plan.and_then(|plan| plan.find(is_open));
        let Some(candidate) = next else {
            self.give_up(core, request);
            return;
        };
        let owner = self.owned[core.engine(&candidate.server)].owner;
        let latency = self.latency(core, entry, owner);
        core.record_hops(request, u32::from(entry != owner));
        self.send_load(core, entry, owner, now);
        core.push(now + latency, Event::Offer(request, candidate));
    }

    pub(super) fn latency(&self, core: &Core<Event>, from: usize, to: usize) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        core.latency(core.router_zone(from), core.router_zone(to))
    }

    pub(super) fn give_up(&mut self, core: &mut Core<Event>, request: usize) {
        self.plans.remove(&request);
        self.failures.remove(&request);
        let may_have_run = core.stats.requests[request].may_have_run;
        core.set_status(
            request,
            if may_have_run {
                Status::Lost
            } else {
                Status::Refused
            },
        );
    }

    pub(super) fn handle_offer(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        candidate: &plan::Candidate,
        now: Instant,
    ) {
        let engine = core.engine(&candidate.server);
        let actions = self.update_bound(engine, now);
        self.apply_actions(core, engine, actions, now);
        let decide_offer = self.decide_offer(core, engine, request, candidate.terms, now);
        if decide_offer == Decision::Decline {
            self.decline(core, request, engine, now);
            return;
        }
        let ticket = self.ticket(core, request, engine, now);
        let attempt = ticket.attempt;
        self.offered.insert(attempt, engine);
        let offered = self.owned[engine].admission.offer(ticket, now);
        self.apply_actions(core, engine, offered.others, now);
        match offered.decision {
            admission::Decision::Admitted => self.send(core, attempt, engine, now),
            admission::Decision::Queued => {
                if let Decision::AcceptUntil(instant) = decide_offer {
                    core.push(instant, Event::QueueTimeout(attempt, engine));
                }
            }
            admission::Decision::Refused(_) => {
                self.offered.remove(&attempt);
                self.decline(core, request, engine, now);
            }
        }
    }

    /// The owner's decision on an offer.
    fn decide_offer(
        &self,
        core: &Core<Event>,
        engine: usize,
        request: usize,
        terms: plan::Terms,
        now: Instant,
    ) -> Decision {
        let owned = &self.owned[engine];
        let topology = self.routers[owned.owner].history.current();
        if !topology.is_eligible(&core.names[engine]) || now < owned.avoided_until {
            return Decision::Decline;
        }
        let snapshot = owned.admission.snapshot(now);
        let offer = Offer {
            terms,
            cache_status: owned.cache_index.status(core.arrivals[request].chat, now),
            capacity: Capacity {
                load: snapshot.in_flight + snapshot.foreign,
                limit: snapshot.limit,
                queued: snapshot.queued,
            },
            weight: 1,
            total: self.total_load(owned.owner),
        };
        offer.decide(&self.settings.placement, &self.bound, now)
    }

    /// Handles an expired queue timeout: an attempt that is still queued is cancelled
    /// and declined, so that the entry offers it to the next engine.
    pub(super) fn queue_timed_out(
        &mut self,
        core: &mut Core<Event>,
        attempt: request::Attempt,
        engine: usize,
        now: Instant,
    ) {
        let is_waiting =
            self.offered.get(&attempt) == Some(&engine) && !self.sent.contains(&attempt);
        if !is_waiting {
            return;
        }
        self.offered.remove(&attempt);
        let actions = self.owned[engine].admission.cancel(attempt, now);
        self.apply_actions(core, engine, actions, now);
        self.decline(core, Core::<Event>::request(attempt), engine, now);
    }

    fn ticket(
        &self,
        core: &mut Core<Event>,
        request: usize,
        engine: usize,
        now: Instant,
    ) -> admission::Ticket {
        let arrival = core.arrivals[request];
        let cached = self.owned[engine]
            .cache_index
            .cached_tokens(arrival.chat, now);
        let prefill = arrival.prompt.saturating_sub(cached.unwrap_or(0));
        admission::Ticket {
            attempt: core.attempt(request),
            workspace: self.workspaces[usize::from(arrival.workspace)].clone(),
            cost: Cost(u64::from(prefill + EXPECTED_OUTPUT)),
            priority: request::Priority::Normal,
            standing: admission::Standing::Clear,
            deadline: arrival.at + REQUEST_TIMEOUT,
        }
    }

    pub(super) fn decline(
        &mut self,
        core: &mut Core<Event>,
        request: usize,
        engine: usize,
        now: Instant,
    ) {
        let entry = usize::from(core.arrivals[request].router);
        let owner = self.owned[engine].owner;
        self.send_load(core, owner, entry, now);
        let latency = self.latency(core, owner, entry);
        core.push(now + latency, Event::Declined(request));
    }

    pub(super) fn send(
        &mut self,
        core: &mut Core<Event>,
        attempt: request::Attempt,
        engine: usize,
        now: Instant,
    ) {
        let owner = self.owned[engine].owner;
        let latency = core.latency(core.router_zone(owner), core.engine_zone(engine));
        core.record_hops(Core::<Event>::request(attempt), 1);
        self.sent.insert(attempt);
        let entry = usize::from(core.arrivals[Core::<Event>::request(attempt)].router);
        self.send_load(core, owner, entry, now);
        core.send(attempt, engine, now + latency);
    }

    pub(super) fn apply_actions(
        &mut self,
        core: &mut Core<Event>,
        engine: usize,
        actions: admission::Actions,
        now: Instant,
    ) {
        for action in actions {
            match action {
                admission::Action::Admit(attempt) => self.send(core, attempt, engine, now),
                admission::Action::Refuse(attempt, _) => {
                    self.offered.remove(&attempt);
                    self.decline(core, Core::<Event>::request(attempt), engine, now);
                }
            }
        }
    }
}
