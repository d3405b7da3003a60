//! Whether one backend server gets new work, and what is kept while it does not.

use std::{mem, time::Duration};

use admission::{Action, Actions};
use placement::topology;
use units::time;
use wire::hop;

use super::Engine;
use crate::{owner::unreachable, view::Target};

/// How long a server that was lost is remembered for its next owner.
const RETENTION: Duration = Duration::from_secs(5);
/// How long a server that does not report its load counts as away.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Whether the server accepts connections, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reachability {
    /// It does.
    Reachable,
    /// It did not; it is tried again at this instant.
    Unreachable(time::Instant),
}

/// Whether this router admits work to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// It does.
    Open,
    /// It does not: the server gets no new work.
    Closed,
    /// It does not: another router owns the server, or it is gone.
    Lost,
}

/// What was learned of a server before it was closed.
#[derive(Clone, Debug)]
pub(super) struct Learned {
    limit: u32,
    boot: Option<String>,
}

impl Engine {
    /// Opens or closes the server for new work; `None`: it is no longer owned.
    pub fn set_service(&mut self, target: Option<&Target>, now: time::Instant) -> Actions {
        let service = match target.map(|target| target.state) {
            Some(topology::State::Eligible) => Service::Open,
            Some(topology::State::Excluded) => Service::Closed,
            None => Service::Lost,
        };
        if service == self.service {
            return Actions::new();
        }
        logging::event!(
            info,
            "server_service",
            server = self.target.server,
            state = self.state_name(service)
        );
        self.service = service;
        self.retain_until = now + RETENTION;
        match service {
            Service::Open => self.reopen(now),
            Service::Closed | Service::Lost => {
                self.learned = Some(Learned {
                    limit: self.admission.handover().limit,
                    boot: self.boot.clone(),
                });
                self.admission.stop()
            }
        }
    }

    /// Admits work again to a server that was drained, or whose zone was out.
    ///
    /// A server that ran on meanwhile is as warm as before. Learning its limit
    /// from one again would hold it almost idle beside loaded ones; one that
    /// was started anew is cold.
    fn reopen(&mut self, now: time::Instant) -> Actions {
        let mut actions = self.admission.start(now);
        let learned = self.learned.take();
        if let Some(learned) = learned.filter(|learned| learned.boot == self.boot) {
            let handover = admission::Handover {
                limit: learned.limit,
                in_flight: 0,
            };
            actions.extend(self.admission.handed_over(handover, now));
        }
        actions
    }

    /// Whether nothing keeps this router busy with a server that it lost.
    ///
    /// If it comes to own the server again, it begins anew: another router may
    /// have admitted work meanwhile, and may still do so.
    pub fn is_released(&self) -> bool {
        self.service == Service::Lost && self.in_flight() == 0 && self.waiting.is_empty()
    }

    /// Whether the server can be forgotten, and its next owner has had time to
    /// ask for it.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        self.is_released() && now >= self.retain_until
    }

    /// Whether the server belongs on the status page.
    pub fn is_shown(&self) -> bool {
        !self.is_released()
    }

    /// What the next owner is to know, once this router has stopped admitting.
    pub fn handover(&self) -> Option<hop::Handover> {
        if self.service != Service::Lost {
            return None;
        }
        let handover = self.admission.handover();
        Some(hop::Handover {
            limit: handover.limit,
            in_flight: handover.in_flight,
        })
    }

    /// Takes over what the earlier owner learned.
    pub fn apply_handover(&mut self, handover: hop::Handover, now: time::Instant) -> Actions {
        let handover = admission::Handover {
            limit: handover.limit,
            in_flight: handover.in_flight,
        };
        self.admission.handed_over(handover, now)
    }

    /// Notes that the server does not accept connections.
    ///
    /// Whoever waits for it would wait until its deadline although other
    /// servers have room, so all that waits is refused at once.
    pub(super) fn mark_unreachable(&mut self, now: time::Instant) -> Actions {
        let previous = mem::replace(
            &mut self.reachability,
            Reachability::Unreachable(now + UNREACHABLE_TIME),
        );
        self.idle.clear();
        if previous != Reachability::Reachable {
            return Actions::new();
        }
        logging::event!(warn, "server_away", server = self.target.server);
        let refusals = self.admission.stop().into_iter();
        refusals
            .map(|action| match action {
                Action::Refuse(attempt, _) => {
                    Action::Refuse(attempt, unreachable(&self.target.server, now))
                }
                admit @ Action::Admit(_) => admit,
            })
            .collect()
    }

    /// Notes that the server accepts connections.
    pub(super) fn mark_reachable(&mut self, now: time::Instant) -> Actions {
        let previous = mem::replace(&mut self.reachability, Reachability::Reachable);
        if previous == Reachability::Reachable || self.service != Service::Open {
            return Actions::new();
        }
        logging::event!(info, "server_back", server = self.target.server);
        self.admission.start(now)
    }
}
