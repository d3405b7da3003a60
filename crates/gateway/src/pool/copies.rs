//! Selection of the server from which a cached prompt is copied.

use std::net::SocketAddr;

use rollout::Role;
use units::{backend, time::Instant};

use super::{Demand, Pool, cost};

/// The fewest uncached tokens for which a copy is made: an engine computes fewer in the
/// time that setting up a copy takes.
const MIN_COPY_TOKENS: u64 = 200;

impl Pool {
    /// The server from whose cache `choice` should copy the prompt instead of computing
    /// it.
    ///
    /// A copy takes a third of the prefill time and leaves the engine free for other
    /// requests. Naming a source that does not hold the prompt costs nothing. So if no
    /// server is known to hold it, the most likely one is named: the first in the
    /// prompt's ranking, even if it is leaving. That server is also preferred to one
    /// that is known to hold only a part of the prompt.
    ///
    /// Servers that receive no requests or only those of a canary hold few prompts. A server
    /// that has asked for a pause would work for the copy.
    /// Servers in unreachable zones are skipped, since the chosen server would wait for
    /// them.
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
                .filter(|server| server.role() == Role::Serving)
                .filter(|server| server.name() != choice && server.is_reachable(now))
                .filter(|server| !server.is_throttled(now))
                .filter(|server| !self.zone_tracker.is_unknown(server.zone(), now))
        };
        let ranking = cost::Ranking::new(parts, sources())?;
        let best = sources().min_by_key(|server| ranking.source_key(server, shared, now))?;
        Some(best.address())
    }
}
