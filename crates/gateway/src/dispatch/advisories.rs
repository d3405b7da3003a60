//! What servers announce in their responses.

use tokio::sync::watch;
use units::{pool, time::Instant};

use super::{Announcement, Dispatch, Ticket};
use crate::{
    advisory::Advisory,
    pool::{Server, Standing},
};

impl Dispatch {
    /// Receives what the server of a request announces.
    pub(super) fn announcements(&self, ticket: &Ticket) -> watch::Receiver<Advisory> {
        let queue = self.queues.get(&ticket.pool);
        let server = queue.and_then(|queue| queue.pool().server(&ticket.server));
        server.map_or_else(
            || watch::Sender::default().subscribe(),
            Server::announcements,
        )
    }

    /// When the first server of a service may receive requests again, if all have asked for a
    /// pause.
    pub(super) fn throttled_until(&self, pool: &pool::Id, now: Instant) -> Option<Instant> {
        let queue = self.queues.get(pool)?;
        queue.pool().throttled_until(now)
    }

    /// Ends the shutdowns that may have been of former processes, once their time is up.
    pub(super) fn expire_shutdowns(&mut self, now: Instant) {
        for (name, queue) in &mut self.queues {
            for server in queue.pool_mut().expire_shutdowns(now) {
                logging::event!(info, "shutdown_expired", server = server, pool = name);
            }
        }
    }

    /// Records what a server has announced.
    pub(super) fn announced(&mut self, announcement: &Announcement, now: Instant) {
        let Some(queue) = self.queues.get_mut(&announcement.pool) else {
            return;
        };
        let (server, advisory) = (&announcement.server, announcement.advisory);
        let pool = queue.pool_mut();
        if let Some(max_rejections) = advisory.max_rejections {
            pool.record_brittle(max_rejections, now);
        }
        if pool.record_advisory(server, announcement.incarnation, advisory, now) {
            if advisory.is_throttled(now) {
                self.metrics.standing_changed(Standing::Throttled);
            }
            logging::event!(
                info,
                "server_announced",
                server = server,
                pool = announcement.pool,
                request = announcement.request,
                leaving = advisory.is_leaving,
                max_rejections = advisory.max_rejections.unwrap_or_default(),
                throttled_ms = advisory.throttled_until.since(now).as_millis()
            );
        }
    }
}
