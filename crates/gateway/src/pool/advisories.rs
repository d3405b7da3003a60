//! What the servers of a service have announced to this router.

use units::{backend, time::Instant};

use super::{Pool, Server};
use crate::advisory::Advisory;

/// The maximum number of servers without an entry whose advisories are kept.
const MAX_UNLISTED: usize = 1024;

/// What an incarnation of a server without an entry has announced.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unlisted {
    pub(super) incarnation: u64,
    pub(super) advisory: Advisory,
    pub(super) announced_at: Instant,
}

impl Pool {
    /// Records what an incarnation of a server has announced. Returns whether that was news.
    pub fn record_advisory(
        &mut self,
        name: &backend::Server,
        incarnation: u64,
        advisory: Advisory,
        now: Instant,
    ) -> bool {
        let Some(server) = self.servers.get_mut(name) else {
            return self.keep_unlisted(name.clone(), incarnation, advisory, now);
        };
        let was_leaving = server.is_leaving();
        let is_news = server.record_advisory(incarnation, advisory, now);
        if server.is_leaving() != was_leaving {
            self.update_usable();
        }
        is_news
    }

    /// Keeps what a server without an entry has announced. Returns whether that was news.
    pub(super) fn keep_unlisted(
        &mut self,
        name: backend::Server,
        incarnation: u64,
        advisory: Advisory,
        announced_at: Instant,
    ) -> bool {
        let known = self.unlisted.get(&name).copied().unwrap_or_default();
        let before = if known.incarnation == incarnation {
            known.advisory
        } else {
            known.advisory.after_restart()
        };
        let merged = before.merge(advisory);
        if merged == known.advisory {
            return false;
        }
        let unlisted = Unlisted {
            incarnation,
            advisory: merged,
            announced_at,
        };
        self.unlisted.insert(name, unlisted);
        while self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.pop_first();
        }
        true
    }

    /// Ends the shutdowns that may have been of former processes, once their time is up. Returns
    /// the names of these servers.
    pub fn expire_shutdowns(&mut self, now: Instant) -> Vec<backend::Server> {
        let servers = self.servers.values_mut();
        let expired = servers.filter_map(|server| {
            let is_over = server.expire_shutdown(now);
            is_over.then(|| server.name().clone())
        });
        let expired: Vec<_> = expired.collect();
        if !expired.is_empty() {
            self.update_usable();
        }
        expired
    }

    /// When the first server that has asked for a pause may receive requests again; `None`
    /// if no server has.
    pub fn next_throttle_end(&self, now: Instant) -> Option<Instant> {
        let servers = self.servers.values();
        first_throttle_end(servers.filter(|server| server.is_throttled(now)))
    }

    /// When the first server may receive requests again, if all have asked for a pause.
    pub fn throttled_until(&self, now: Instant) -> Option<Instant> {
        let mut servers = self.servers.values().filter(|server| !server.is_leaving());
        if !servers.all(|server| server.is_throttled(now)) {
            return None;
        }
        self.next_throttle_end(now)
    }
}

/// The end of the first pause among those that `servers` have asked for.
pub(super) fn first_throttle_end<'a>(servers: impl Iterator<Item = &'a Server>) -> Option<Instant> {
    servers
        .map(|server| server.advisory().throttled_until)
        .min()
}
