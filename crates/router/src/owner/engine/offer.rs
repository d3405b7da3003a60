//! Offers to one backend server, and its queue.

use std::time::Duration;

use admission::{Action, Actions, Decision};
use placement::{TotalLoad, cache::CacheStatus, plan};
use units::{request, time};
use verdict::{Code, Refusal};
use wire::hop;

use super::{Context, Engine, Reachability, Sender, Service};
use crate::{
    clock::Clock,
    owner::{
        Delivery, Offer, Permit, RETRY_AFTER_MS, Rejected, Reply, Slot, not_owned, unreachable,
    },
    view::Target,
};

/// An offer that waits in the queue.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) reply: Reply,
    context: Context,
    offered_at: time::Instant,
    /// When the offer is refused if it still waits; the request is then offered
    /// to the next server.
    pub(super) queue_deadline: time::Instant,
}

impl Engine {
    /// Decides whether an offer is passed to admission, and until when it may
    /// wait in the queue.
    ///
    /// The entry router may have an older view. Without the first check, a
    /// server that is drained, or whose zone is out of service, would get new
    /// requests until every entry router has applied the change.
    ///
    /// # Errors
    ///
    /// The refusal of an offer that is not passed to admission.
    pub fn evaluate(
        &mut self,
        offer: &Offer,
        total: TotalLoad,
        now: time::Instant,
    ) -> Result<time::Instant, Refusal> {
        if self.service != Service::Open {
            return Err(not_owned(&self.target.server));
        }
        if let Reachability::Unreachable(until) = self.reachability {
            if now < until {
                return Err(unreachable(&self.target.server, now));
            }
            // A server without load reports is not probed, so the next request
            // tries it.
            self.mark_reachable(now);
        }
        let snapshot = self.admission.snapshot(now);
        let offered = placement::Offer {
            terms: terms(offer.terms),
            cache_status: offer.chat.map_or(CacheStatus::Unknown, |chat| {
                self.cache_index.status(chat, now)
            }),
            capacity: placement::Capacity {
                load: snapshot.in_flight + snapshot.foreign,
                limit: snapshot.limit,
                queued: snapshot.queued,
            },
            weight: self.target.weight,
            total,
        };
        match offered.decide(&self.placement, &self.bound, now) {
            placement::Decision::Accept => Ok(time::Instant::NEVER),
            placement::Decision::AcceptUntil(until) => Ok(until),
            placement::Decision::Decline => Err(busy(&self.target, now)),
        }
    }

    /// Passes an offer to admission.
    pub fn offer(
        &mut self,
        offer: Offer,
        queue_deadline: time::Instant,
        clock: Clock,
        owner: &Sender,
    ) -> Actions {
        let attempt = offer.ticket.attempt;
        let context = Context {
            chat: offer.chat,
            tokens: u32::try_from(offer.ticket.cost.0).unwrap_or(u32::MAX),
            delivery: offer.delivery,
        };
        let waiting = Waiter {
            reply: offer.reply,
            context,
            offered_at: clock.now(),
            queue_deadline,
        };
        let offered = self.admission.offer(offer.ticket, clock.now());
        match offered.decision {
            Decision::Admitted => self.grant(attempt, waiting, clock, owner),
            Decision::Queued => {
                self.waiting.insert(attempt, waiting);
            }
            Decision::Refused(refusal) => self.refuse(waiting, refusal),
        }
        offered.others
    }

    /// Grants a permit for an admitted attempt.
    fn grant(&mut self, attempt: request::Attempt, waiting: Waiter, clock: Clock, owner: &Sender) {
        self.metrics.waited(clock.now().since(waiting.offered_at));
        self.running.insert(attempt, waiting.context);
        if waiting.context.delivery == Delivery::Buffered {
            self.admission.mark_non_streaming(attempt);
        }
        let slot = Slot {
            server: self.target.server.clone(),
            attempt,
            address: self.target.address,
            boot: self.boot.clone(),
            load: self.pool_load,
        };
        let permit = Permit::new(slot, self.take_idle(), clock, owner.clone());
        // If the requester has dropped the receiver, dropping the permit
        // releases the slot.
        let _ = waiting.reply.send(Ok(permit));
    }

    /// Rejects a queued offer. Its request has not run.
    pub(super) fn refuse(&self, waiting: Waiter, refusal: Refusal) {
        let load = self.pool_load();
        // The requester may have dropped the receiver.
        let _ = waiting.reply.send(Err(Rejected { refusal, load }));
    }

    /// Executes an action, and returns the actions that follow from it.
    pub fn execute(&mut self, action: Action, clock: Clock, owner: &Sender) -> Actions {
        match action {
            Action::Admit(attempt) => match self.waiting.remove(&attempt) {
                Some(waiting) => self.grant(attempt, waiting, clock, owner),
                None => {
                    let cancelled = admission::Outcome::Cancelled;
                    return self.admission.finish(attempt, cancelled, clock.now());
                }
            },
            Action::Refuse(attempt, refusal) => {
                if let Some(waiting) = self.waiting.remove(&attempt) {
                    self.refuse(waiting, refusal);
                }
            }
        }
        Actions::new()
    }
}

fn terms(terms: hop::Terms) -> plan::Terms {
    match terms {
        hop::Terms::Warm => plan::Terms::Warm,
        hop::Terms::Bounded => plan::Terms::Bounded,
        hop::Terms::Queued => plan::Terms::Queued,
    }
}

pub(super) fn busy(target: &Target, now: time::Instant) -> Refusal {
    Refusal::not_run(
        Code::Busy,
        format!("Backend server {} is at its limit.", target.server),
    )
    .retry_at(now + Duration::from_millis(RETRY_AFTER_MS))
}
