//! Where a prompt is copied from.

use std::net::SocketAddr;

use units::{backend, time::Instant};

use super::{Demand, Pool, cost};

/// Fewer tokens than this are read anew rather than copied: an engine reads them
/// in the time that setting up a copy takes.
const MIN_COPY_TOKENS: u64 = 200;

impl Pool {
    /// A server whose cache `choice` should copy the prompt from, rather than read it anew.
    ///
    /// Copying takes a third of the time of reading and leaves the engine to
    /// others. A source that keeps nothing of the prompt costs nothing, so the
    /// likeliest one is named also where none is known to have it: the first in
    /// the prompt's order, and it may be leaving. A server that this router
    /// knows to have a part of the prompt gives way to it.
    ///
    /// None is named in a zone that cannot be reached from here: the chosen
    /// server would wait for it.
    pub(super) fn source(
        &self,
        choice: &backend::Server,
        demand: &Demand,
        now: Instant,
    ) -> Option<SocketAddr> {
        let parts = &demand.parts;
        let shared = &parts[..parts.len().saturating_sub(1)];
        let chosen = self.servers.get(choice)?;
        let uncached = chosen.uncached(shared, now);
        if uncached < MIN_COPY_TOKENS {
            return None;
        }
        let sources = || {
            let servers = self.servers.values();
            servers
                .filter(|server| server.name() != choice && server.is_reachable(now))
                .filter(|server| !self.zone_tracker.is_unknown(server.zone(), now))
        };
        let ranking = cost::Ranking::new(parts, sources())?;
        let best = sources().min_by_key(|server| ranking.source_key(server, shared, now))?;
        Some(best.address())
    }
}
