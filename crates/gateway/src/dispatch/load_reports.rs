//! What servers report of their load.

use std::{cmp::Reverse, time::Duration};

use load_report::Shared;
use units::time::Instant;

use super::{AcquireRequest, Dispatch, LoadReport, Ticket};
use crate::{
    pool::{Effect, Placement, Update},
    queue::Queue,
};

/// The most slowdowns in one message to other routers, about 150 bytes. A router has placed fewer
/// requests since its last message, except in small fleets.
const MAX_SHARED: usize = 16;

impl Dispatch {
    /// Records what a server has reported in a response.
    pub(super) fn record_load_report(&mut self, report: &LoadReport, now: Instant) {
        let Some(queue) = self.queues.get_mut(&report.pool) else {
            return;
        };
        let pool = queue.pool_mut();
        let known = pool.server(&report.server);
        let before = known.map(|server| (server.slowdown(now), server.slowdown_age(now)));
        let effect =
            pool.record_load_report(&report.server, report.incarnation, report.report, now);
        self.metrics.load_reported("server", effect);
        let (Effect::Changed, Some((slowdown, age))) = (effect, before) else {
            return;
        };
        logging::event!(
            info,
            "speed_reported",
            server = report.server,
            pool = report.pool,
            incarnation = report.incarnation,
            percent = report.report.slowdown.unwrap_or_default().percent(),
            running = report.report.running,
            waiting = report.report.waiting,
            slots = report.report.slots,
            before_percent = slowdown.percent(),
            before_age_ms = millis(age)
        );
    }

    /// Records what servers have reported to other routers.
    pub(super) fn record_peer_load_reports(&mut self, reports: &[Shared], now: Instant) {
        let mut sorted = reports.to_vec();
        sorted.sort_unstable_by_key(|report| report.server);
        for (name, queue) in &mut self.queues {
            let pool = queue.pool_mut();
            for server in pool.record_peer_slowdowns(&sorted, now) {
                self.metrics.load_reported("router", Effect::Changed);
                let Some(server) = pool.server(&server) else {
                    continue;
                };
                logging::event!(
                    debug,
                    "speed_heard",
                    server = server.name(),
                    pool = name,
                    percent = server.slowdown(now).percent(),
                    age_ms = millis(server.slowdown_age(now))
                );
            }
        }
    }

    /// Logs what the choice of a server that reports its speed was based on.
    pub(super) fn log_placed(&self, request: &AcquireRequest, placement: &Placement, now: Instant) {
        let queue = self.queues.get(&request.pool);
        let Some(pool) = queue
            .map(Queue::pool)
            .filter(|pool| pool.reports_speed(now))
        else {
            return;
        };
        let Some(server) = pool.server(&placement.server) else {
            return;
        };
        logging::event!(
            info,
            "placed_by_speed",
            fingerprint = request.fingerprint,
            server = placement.server,
            pool = request.pool,
            percent = server.slowdown(now).percent(),
            percent_age_ms = millis(server.slowdown_age(now)),
            reported = server.reported_requests(now),
            reported_age_ms = millis(server.report_age(now)),
            load = placement.load,
            lag_ms = server.lag_us(now) / 1000
        );
    }

    /// The reports that this router passes on to others.
    pub(super) fn shared_load_reports(&mut self, now: Instant) -> Vec<Shared> {
        let queues = self.queues.values();
        let updates = queues.flat_map(|queue| queue.pool().slowdown_updates(now));
        let mut updates: Vec<Update> = updates.collect();
        updates.sort_by_key(|update| (Reverse(update.is_news), update.shared.age));
        updates.truncate(MAX_SHARED);
        updates.into_iter().map(|update| update.shared).collect()
    }

    /// Corrects what is known of the server of a request by the time to its first byte.
    pub(super) fn record_time(&mut self, ticket: &Ticket, usual: Duration, now: Instant) {
        let Some(queue) = self.queues.get_mut(&ticket.pool) else {
            return;
        };
        let pool = queue.pool_mut();
        let waited = now.since(ticket.sent_at);
        let expected = pool.expected_first_byte(&ticket.server, usual, now);
        if let Some(server) = pool.server_mut(&ticket.server) {
            server.record_first_byte(waited, expected, now);
        }
        if pool.record_time(&ticket.server, waited, expected, now) {
            logging::event!(
                warn,
                "speed_contradicted",
                server = ticket.server,
                pool = ticket.pool,
                waited_ms = waited.as_millis(),
                expected_ms = expected.as_millis()
            );
        }
    }
}

/// An age in milliseconds; -1 if there is none.
fn millis(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}
