//! The paths of this router to backend servers.

use units::{
    backend, pool,
    time::{Instant, Millis},
};

use super::{AcquireRequest, Dial, Dispatch, Location, Ticket};
use crate::{
    connector::Path,
    dial,
    pool::{Outcome, Placement, Server},
    probe::{Probe, Purpose},
    reach,
    source::Member,
    tunnel,
};

impl Dispatch {
    pub(super) fn set_members(&mut self, members: &[Member]) {
        let hosts = members.iter().map(|member| member.host.clone());
        self.fleet.members = hosts.collect();
        self.egresses
            .set_members(members, &self.settings.host, &self.settings.zone);
    }

    fn is_lost(&self, pool: &pool::Id) -> bool {
        let reach = self.reach.get(pool);
        reach.is_some_and(reach::Tracker::is_lost)
    }

    /// Chooses the way to the server of `placement`.
    pub(super) fn choose_path(&mut self, pool: &pool::Id, placement: &mut Placement, now: Instant) {
        let queue = self.queues.get(pool);
        placement.is_gated = queue.is_some_and(|queue| queue.pool().is_gated(now));
        let egress = if placement.is_gated {
            let is_lost = self.is_lost(pool);
            self.egresses.gatekeeper(&placement.server, is_lost, now)
        } else if self.is_lost(pool) {
            self.egresses.choose(now)
        } else {
            None
        };
        let Some(egress) = egress else {
            return;
        };
        self.metrics.tunnelled();
        placement.path = Path::Tunnel(egress);
        placement.connect_deadline = now + tunnel::TIMEOUT;
    }

    /// Until when a request is refused because there is no path to the servers of its service.
    /// One request at a time may try to connect once, to find out whether there is one again.
    pub(super) fn no_path_until(
        &mut self,
        request: &AcquireRequest,
        now: Instant,
    ) -> Option<Instant> {
        if self.egresses.is_any_usable(now) {
            return None;
        }
        let reach = self.reach.get_mut(&request.pool)?;
        if request.unreached.is_empty() {
            reach.take_trial(now).err()
        } else {
            reach.next_trial()
        }
    }

    /// Leaves out the servers that this router could not connect to, unless another router
    /// connects from now on.
    pub(super) fn exclude_unreached(&self, request: &mut AcquireRequest) {
        if !self.is_lost(&request.pool) {
            let unreached = request.unreached.drain(..);
            request.demand.tried.extend(unreached);
        }
    }

    /// Records whether the connection of an attempt was established.
    pub(super) fn record_path(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        if let Some(at) = ticket.connected_at {
            self.record_connection(ticket, at);
            return;
        }
        if matches!(outcome, Outcome::Refused | Outcome::Unreachable)
            && let Some(server) = self.server_of(ticket)
        {
            server.record_connect_failure(ticket.sent_at, now);
        }
        match (&ticket.egress, outcome) {
            (None, Outcome::Refused | Outcome::Unreachable) => {
                self.record_connect_failure(&ticket.pool, &ticket.server, ticket.sent_at, now);
            }
            (Some(egress), Outcome::NoPath) => {
                self.egresses.record_failure(egress, now);
                if let Some(provider) = &ticket.provider {
                    self.egresses.record_hint(provider);
                }
            }
            _ => {}
        }
    }

    /// Records that a response has begun on a connection that was established at `at`.
    pub(super) fn record_connected(&mut self, ticket: &Ticket, at: Instant) {
        self.record_connection(ticket, at);
        self.record_survival(ticket, at);
    }

    /// Ends the outage of a server that responds to a request from before it. Only the begin of a
    /// response shows that: the rest may have waited in buffers since before a crash.
    fn record_survival(&mut self, ticket: &Ticket, connected_at: Instant) {
        let Some(at) = ticket.last_byte_at else {
            return;
        };
        let (server, incarnation) = (&ticket.server, ticket.incarnation);
        let is_pause = self
            .crashes
            .record_survival(server, incarnation, connected_at, at);
        let has_survived = self
            .server_of(ticket)
            .is_some_and(|server| server.record_response(connected_at, at));
        if is_pause || has_survived {
            logging::event!(
                info,
                "server_resumed",
                server = ticket.server,
                incarnation = ticket.incarnation,
                sent_ms = at.since(connected_at).as_millis()
            );
            self.dequeue(&ticket.pool);
        }
    }

    /// The process to which the request of `ticket` was sent, if it is still the present one.
    fn server_of(&mut self, ticket: &Ticket) -> Option<&mut Server> {
        let queue = self.queues.get_mut(&ticket.pool)?;
        let server = queue.pool_mut().server_mut(&ticket.server)?;
        (server.incarnation() == ticket.incarnation).then_some(server)
    }

    /// Records that the connection of an attempt was established at `at`.
    fn record_connection(&mut self, ticket: &Ticket, at: Instant) {
        match &ticket.egress {
            Some(egress) => self.egresses.record_success(egress),
            None => self.record_reached(&ticket.pool, at),
        }
    }

    /// The outcome for the server: a connection that failed because this router has lost its
    /// paths is not held against it.
    pub(super) fn attribute(&self, ticket: &Ticket, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::Refused | Outcome::Unreachable
                if ticket.egress.is_none() && self.is_lost(&ticket.pool) =>
            {
                Outcome::NoPath
            }
            other => other,
        }
    }

    /// Records that this router has connected to a server of the service.
    pub(super) fn record_reached(&mut self, pool: &pool::Id, at: Instant) {
        let reach = self.reach.entry(pool.clone()).or_default();
        let Some(lost_at) = reach.record_reached(at) else {
            return;
        };
        self.metrics.path_changed(true);
        logging::event!(
            info,
            "paths_restored",
            pool = pool,
            lost_ms = at.since(lost_at).as_millis()
        );
    }

    fn record_connect_failure(
        &mut self,
        pool: &pool::Id,
        server: &backend::Server,
        begun_at: Instant,
        now: Instant,
    ) {
        if self.fleet.members.len() < 2 {
            return;
        }
        let Some(queue) = self.queues.get(pool) else {
            return;
        };
        let servers = queue.pool().servers().count();
        let peer_load: u32 = queue.pool().servers().map(Server::peer_load).sum();
        let reach = self.reach.entry(pool.clone()).or_default();
        if !reach.record_failure(server, servers, begun_at, now) {
            return;
        }
        let reached_ms = now.since(reach.reached_at()).as_millis();
        self.metrics.path_changed(false);
        logging::event!(
            info,
            "paths_lost",
            pool = pool,
            last = server,
            servers = servers,
            reached_ms = reached_ms,
            peer_load = peer_load
        );
        self.probe_paths(now);
    }

    /// Forgets connection failures once it is certain that this router had lost its paths. Until
    /// then two crashed servers may be the reason, and would be tried again at once.
    pub(super) fn forget_failures(&mut self, now: Instant) {
        let is_certain = |(name, reach): (&pool::Id, &mut reach::Tracker)| {
            reach.take_certainty(now).then(|| name.clone())
        };
        let certain: Vec<pool::Id> = self.reach.iter_mut().filter_map(is_certain).collect();
        for name in certain {
            if let Some(queue) = self.queues.get_mut(&name) {
                queue.pool_mut().forget_connect_failures();
            }
            self.dequeue(&name);
        }
    }

    /// Probes one server of each zone for each service whose paths are lost, if that is due.
    pub(super) fn probe_paths(&mut self, now: Instant) {
        let routers = self.fleet.members.len();
        for (name, reach) in &mut self.reach {
            let Some(round) = reach.start_probes(routers, now) else {
                continue;
            };
            let Some(queue) = self.queues.get(name) else {
                continue;
            };
            for server in queue.pool().one_per_zone(round, reach.failed()) {
                // The receiver lives as long as this task runs.
                drop(self.probes.send(Probe {
                    purpose: Purpose::Path(name.clone()),
                    server: server.name().clone(),
                    incarnation: server.incarnation(),
                    address: server.address(),
                    controls: dial::Controls::new(),
                    is_alone: false,
                    egress: None,
                }));
            }
        }
    }

    /// Tells another router where a server is.
    pub(super) fn locate(
        &self,
        name: &backend::Server,
        incarnation: u64,
        now: Instant,
    ) -> Result<Location, tunnel::Rejection> {
        let mut queues = self.queues.iter();
        let found =
            queues.find_map(|(pool, queue)| Some((pool, queue, queue.pool().server(name)?)));
        let Some((pool, queue, server)) = found else {
            return Err(tunnel::Refusal::Unknown.into());
        };
        if server.incarnation() != incarnation {
            return Err(tunnel::Refusal::Unknown.into());
        }
        if self.is_lost(pool) {
            return Err(tunnel::Rejection {
                refusal: tunnel::Refusal::Isolated,
                provider: self.egresses.provider(now),
            });
        }
        Ok(Location {
            pool: pool.clone(),
            address: server.address(),
            slots: server.slots(),
            connect_timeout: Millis::from(queue.pool().connect_timeout(server)),
            controls: queue.pool().controls(name, now),
        })
    }

    /// Records a connection that was attempted for another router.
    pub(super) fn record_dial(&mut self, dial: &Dial, now: Instant) {
        if dial.is_established {
            self.record_reached(&dial.pool, now);
        } else {
            self.record_connect_failure(&dial.pool, &dial.server, dial.begun_at, now);
        }
    }
}
