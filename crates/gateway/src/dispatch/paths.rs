//! The paths of this router to backend servers.

use units::{pool, time::Instant};

use super::{Dispatch, Ticket};
use crate::{
    pool::{Outcome, Server},
    probe::{Probe, Purpose},
};

impl Dispatch {
    /// Records whether the connection of an attempt was established.
    pub(super) fn record_path(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        if let Some(at) = ticket.connected_at {
            self.record_reached(&ticket.pool, at);
        } else if matches!(outcome, Outcome::Refused | Outcome::Unreachable) {
            self.record_connect_failure(ticket, now);
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

    fn record_connect_failure(&mut self, ticket: &Ticket, now: Instant) {
        if self.fleet.members.len() < 2 {
            return;
        }
        let Some(queue) = self.queues.get(&ticket.pool) else {
            return;
        };
        let servers = queue.pool().servers().count();
        let peer_load: u32 = queue.pool().servers().map(Server::peer_load).sum();
        let reach = self.reach.entry(ticket.pool.clone()).or_default();
        if !reach.record_failure(&ticket.server, servers, ticket.sent_at, now) {
            return;
        }
        let reached_ms = now.since(reach.reached_at()).as_millis();
        self.metrics.path_changed(false);
        logging::event!(
            info,
            "paths_lost",
            pool = ticket.pool,
            last = ticket.server,
            servers = servers,
            reached_ms = reached_ms,
            peer_load = peer_load
        );
        self.probe_paths(now);
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
            for server in queue.pool().one_per_zone(round) {
                // The receiver lives as long as this task runs.
                drop(self.probes.send(Probe {
                    purpose: Purpose::Path(name.clone()),
                    server: server.name().clone(),
                    incarnation: server.incarnation(),
                    address: server.address(),
                }));
            }
        }
    }
}
