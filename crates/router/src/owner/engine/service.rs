//! Opens and closes one backend server for new requests, and keeps its state
//! while it is closed.

use std::{mem, time::Duration};

use admission::{Action, Actions};
use placement::topology;
use units::time;
use wire::hop;

use super::Engine;
use crate::{owner::unreachable, view::Target};

/// How long the state of a lost server is kept for its next owner.
const RETENTION: Duration = Duration::from_secs(5);
/// How long a server without load reports counts as unreachable after a failed
/// connection.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);

/// Whether the server accepts connections, as last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reachability {
    /// It accepts connections, or has not been tried yet.
    Reachable,
    /// It refused a connection; it is tried again at this instant.
    Unreachable(time::Instant),
}

/// Whether this router admits requests to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// The server gets new requests.
    Open,
    /// The server gets no new requests: it is drained, leaving, or in a zone that
    /// is out of service.
    Closed,
    /// The server gets none from this router: another router owns it, or it is
    /// gone.
    Lost,
}

/// State of a server, saved when it is closed.
#[derive(Clone, Debug)]
pub(super) struct Learned {
    limit: u32,
    boot: Option<String>,
}

impl Engine {
    /// Opens or closes the server for new requests; a `target` of `None` means
    /// that this router no longer owns it.
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

    /// Admits requests again to a server that was drained, or whose zone was
    /// out of service.
    ///
    /// A server that kept running is as warm as before. Growing its limit from
    /// one again would leave it almost idle beside loaded servers. A server
    /// that was restarted is cold.
    fn reopen(&mut self, now: time::Instant) -> Actions {
        let mut actions = self.admission.start(now);
        let learned = self.learned.take();
        if let Some(learned) = learned.filter(|learned| learned.boot == self.boot) {
            let handover = admission::Handover {
                limit: learned.limit,
                in_flight: 0,
            };
            actions.extend(self.admission.apply_handover(handover, now));
        }
        actions
    }

    /// Whether this router lost the server and has no request in flight on it
    /// or queued for it.
    ///
    /// If this router acquires the server again, it starts with new state:
    /// another router may have admitted requests meanwhile, and may still do
    /// so.
    pub fn is_released(&self) -> bool {
        self.service == Service::Lost && self.in_flight() == 0 && self.waiting.is_empty()
    }

    /// Whether the state of the server can be dropped: the server is released,
    /// and its next owner has had time to request the handover.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        self.is_released() && now >= self.retain_until
    }

    /// Whether the server is listed on the status page.
    pub fn is_shown(&self) -> bool {
        !self.is_released()
    }

    /// The state for the next owner; `None` until this router has stopped
    /// admitting requests.
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

    /// Applies the state learned by the previous owner.
    pub fn apply_handover(&mut self, handover: hop::Handover, now: time::Instant) -> Actions {
        let handover = admission::Handover {
            limit: handover.limit,
            in_flight: handover.in_flight,
        };
        self.admission.apply_handover(handover, now)
    }

    /// Records that the server does not accept connections.
    ///
    /// All queued requests are refused at once. They would otherwise wait until
    /// their deadlines although other servers have capacity.
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

    /// Records that the server accepts connections.
    pub(super) fn mark_reachable(&mut self, now: time::Instant) -> Actions {
        let previous = mem::replace(&mut self.reachability, Reachability::Reachable);
        if previous == Reachability::Reachable || self.service != Service::Open {
            return Actions::new();
        }
        logging::event!(info, "server_back", server = self.target.server);
        self.admission.start(now)
    }
}
