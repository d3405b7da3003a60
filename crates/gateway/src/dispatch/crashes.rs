//! Crashes of servers, for the detection of requests that cause them.

use std::{mem, net::SocketAddr, sync::Arc, time::Duration};

use units::{backend, time::Instant};

use super::{AcquireRequest, Dispatch, Refusal, Refused, Ticket, Withdrawals};
use crate::{
    crashes::Sign,
    parts,
    pool::{Outcome, Server},
    probe::{Liveness, Probe, Purpose},
    roster::Roster,
};

/// How long before its last byte a server is assumed to have been alive.
///
/// Intervals of two routers are compared by ages, which are off by the time that a datagram
/// takes. Without this margin, the crashes of one power cut could seem to follow each other.
const LIVENESS_MARGIN: Duration = Duration::from_millis(250);

impl Dispatch {
    /// Records how a request ended for the detection of requests that crash servers.
    pub(super) fn record_crash(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Broken => self.record_sign(Sign::Broken, ticket, now),
            // Another process has the address.
            Outcome::Moved => {
                self.record_death(&ticket.server, ticket.incarnation, now);
            }
            // The network between this router and the server may refuse connections, too.
            Outcome::Refused => self.probe(ticket, now),
            Outcome::Completed => {
                self.crashes.record_completed(ticket.fingerprint, now);
                // A server that rejects a request, or has nothing to continue, has not begun to
                // write.
                if ticket.has_succeeded && ticket.has_first_byte {
                    self.crashes.record_written(&ticket.request(), now);
                }
            }
            // A server with too many connections resets new ones, and packets may be lost.
            Outcome::Unreachable
            | Outcome::Interrupted
            | Outcome::NoPath
            | Outcome::Failed
            | Outcome::Full
            | Outcome::Withdrawn
            | Outcome::Cancelled => {}
        }
    }

    /// Records that a request may have crashed its server, and probes the server.
    pub(super) fn record_sign(&mut self, sign: Sign, ticket: &Ticket, now: Instant) {
        self.crashes.record_sign(
            sign,
            ticket.request(),
            &ticket.server,
            ticket.incarnation,
            alive_at(ticket),
            now,
        );
        self.probe(ticket, now);
    }

    /// Probes the server of a request that broke off, to find out at once whether it has
    /// crashed: its entry lapses only after seconds, in which the request may be repeated.
    fn probe(&mut self, ticket: &Ticket, now: Instant) {
        let key = (ticket.server.clone(), ticket.incarnation);
        let queue = self.queues.get(&ticket.pool);
        let server = queue.and_then(|queue| queue.pool().server(&ticket.server));
        let Some(address) = server.map(Server::address) else {
            return;
        };
        let controls = queue.map(|queue| queue.pool().controls(&ticket.server, now));
        if self.probed.insert(key) {
            let egress = self.egresses.choose(now);
            // The receiver lives as long as this task runs.
            drop(self.probes.send(Probe {
                purpose: Purpose::Crash,
                server: ticket.server.clone(),
                incarnation: ticket.incarnation,
                address,
                controls: controls.unwrap_or_default(),
                is_alone: self.fleet.members.len() < 2,
                egress,
            }));
        }
    }

    /// Records the result of a probe.
    pub(super) fn probed(&mut self, probe: &Probe, liveness: Liveness, now: Instant) {
        if let Purpose::Path(pool) = &probe.purpose {
            if matches!(liveness, Liveness::Accepts | Liveness::Resumed) {
                self.record_reached(pool, now);
            } else if let Some(reach) = self.reach.get_mut(pool) {
                reach.record_probe_failure(&probe.server);
                self.probe_paths(now);
            }
            return;
        }
        self.probed
            .remove(&(probe.server.clone(), probe.incarnation));
        logging::event!(
            info,
            "server_probed",
            server = probe.server,
            incarnation = probe.incarnation,
            controls = list(&probe.controls),
            result = liveness
        );
        self.settle_failures(probe, liveness, now);
        match liveness {
            Liveness::Ended => {
                let confirmed_after = self.record_death(&probe.server, probe.incarnation, now);
                // Nothing contradicts the end of a server at which no request waits.
                let suspected_at = confirmed_after.map_or(Instant::ZERO, |after| now - after);
                self.leave_out(probe, suspected_at, now);
            }
            Liveness::Accepts | Liveness::Resumed => {
                self.crashes.record_alive(&probe.server, probe.incarnation)
            }
            Liveness::AcceptsOthers => {
                self.crashes
                    .record_reachable(&probe.server, probe.incarnation);
            }
            Liveness::Unknown => {}
        }
    }

    /// Sends nothing to a server that has ended, until its entry shows its next process.
    fn leave_out(&mut self, probe: &Probe, suspected_at: Instant, now: Instant) {
        for queue in self.queues.values_mut() {
            if let Some(server) = queue.pool_mut().server_mut(&probe.server)
                && server.incarnation() == probe.incarnation
            {
                server.record_end(suspected_at, now);
            }
        }
    }

    /// Records the end of a process. Returns the time since the first sign of it, if a request
    /// showed one.
    fn record_death(
        &mut self,
        server: &backend::Server,
        incarnation: u64,
        now: Instant,
    ) -> Option<Duration> {
        let suspicions = self.crashes.record_death(server, incarnation, now);
        let after = suspicions.iter();
        let confirmed_after = after.map(|suspicion| suspicion.confirmed_after).max()?;
        let count = suspicions.len();
        logging::event!(info, "server_died", server = server, requests = count);
        for suspicion in suspicions {
            self.metrics.crash_confirmed(suspicion.is_counted);
            logging::event!(
                info,
                "request_suspected",
                fingerprint = suspicion.request.fingerprint,
                parts = parts::List(&suspicion.request.parts),
                server = server,
                incarnation = incarnation,
                confirmed_after_ms = suspicion.confirmed_after.as_millis(),
                counted = suspicion.is_counted,
                strikes = suspicion.strikes
            );
        }
        Some(confirmed_after)
    }

    /// Merges what another router knows of requests that may crash servers.
    pub(super) fn merge_reports(&mut self, reports: &[recovery::Report], now: Instant) {
        for (fingerprint, strikes) in self.crashes.merge(reports, now) {
            logging::event!(
                info,
                "strike_received",
                fingerprint = fingerprint,
                strikes = strikes
            );
        }
    }

    /// Applies news of requests that crash servers: they are sent to other routers, and
    /// requests that are refused by now leave the queues.
    pub(super) fn apply_crash_news(&mut self, now: Instant) {
        self.decide_parts(now);
        if !self.crashes.take_news() {
            return;
        }
        self.crash_news.send_replace(());
        self.update_backlog();
        if !self.update_refused(now) {
            return;
        }
        for (attempt, (request, reply)) in mem::take(&mut self.pending) {
            let Some(refusal) = self.refusal_of(&request, now) else {
                self.pending.insert(attempt, (request, reply));
                continue;
            };
            if let Some(queue) = self.queues.get_mut(&request.pool) {
                queue.cancel(attempt);
            }
            self.refuse(&request, reply, refusal, now);
        }
    }

    /// Why a request is refused, if it or its like crash servers.
    fn refusal_of(&mut self, request: &AcquireRequest, now: Instant) -> Option<Refusal> {
        if self.crashes.is_refused(request.fingerprint, now) {
            return Some(Refusal::Suspect);
        }
        self.is_quarantined(request, now)
            .then_some(Refusal::Quarantined)
    }

    /// Publishes which requests are refused. Returns whether that has changed.
    fn update_refused(&mut self, now: Instant) -> bool {
        let parts = self.crashes.quarantine();
        let refused = Refused {
            requests: self.crashes.refused(now),
            parts: parts.map(|(parts, _)| parts.clone()).collect(),
        };
        let has_changed = **self.refused.borrow() != refused;
        if has_changed {
            self.refused.send_replace(Arc::new(refused));
        }
        has_changed
    }

    /// What may withdraw the request of a ticket before it is sent.
    pub(super) fn withdrawals(&mut self, ticket: &Ticket, now: Instant) -> Withdrawals {
        if self.refused.borrow().contains(ticket) {
            // What counted against it has expired.
            self.update_refused(now);
        }
        Withdrawals {
            announcements: self.announcements(ticket),
            refused: self.refused.subscribe(),
        }
    }

    /// Records the end of incarnations that the roster no longer lists.
    pub(super) fn record_ended_incarnations(&mut self, roster: &Roster) {
        let now = self.clock.now();
        let incarnations = roster.incarnations();
        let servers = self
            .queues
            .values()
            .flat_map(|queue| queue.pool().servers());
        let ended: Vec<_> = servers
            .filter(|server| incarnations.get(server.name()) != Some(&server.incarnation()))
            .map(|server| (server.name().clone(), server.incarnation()))
            .collect();
        for (server, incarnation) in ended {
            self.record_death(&server, incarnation, now);
        }
    }
}

/// A list of addresses for a log line.
fn list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    if addresses.is_empty() {
        return String::from("none");
    }
    addresses.join(",")
}

/// The last sign of life of a request's server, or when the request was sent.
fn alive_at(ticket: &Ticket) -> Instant {
    let last_byte_at = ticket.last_byte_at.unwrap_or(Instant::ZERO);
    let margin = Instant::ZERO + LIVENESS_MARGIN;
    let alive_at = Instant::ZERO + last_byte_at.since(margin);
    alive_at.max(ticket.sent_at)
}
