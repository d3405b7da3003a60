//! The choice of the router that connects to servers for this one.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use units::{availability, backend, host, time::Instant};
use xxhash_rust::xxh3;

use crate::source::Member;

/// How long a router that did not provide a connection is not asked again.
///
/// Routers that have lost their paths as well say so at once, so that asking is cheap.
const BACKOFF: Duration = Duration::from_secs(1);

/// A router that connects to servers for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Egress {
    /// Its host.
    pub host: host::Id,
    /// The address on which it accepts tunnels.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Candidate {
    egress: Egress,
    is_near: bool,
    /// Whether it has stopped sending heartbeats.
    is_silent: bool,
    retry_at: Instant,
}

/// The other routers, as providers of connections.
#[derive(Clone, Debug, Default)]
pub struct Egresses {
    candidates: BTreeMap<host::Id, Candidate>,
    /// This router, once it is registered.
    own: Option<Egress>,
    /// The host that was chosen last. The others have their turns first.
    last: Option<host::Id>,
}

impl Egresses {
    /// Replaces the routers, of which `own` is this one.
    pub fn set_members(&mut self, members: &[Member], own: &host::Id, zone: &availability::Zone) {
        let mut old = std::mem::take(&mut self.candidates);
        self.own = None;
        for member in members {
            let Some(address) = member.tunnels else {
                continue;
            };
            if member.host == *own {
                self.own = Some(Egress {
                    host: own.clone(),
                    address,
                });
                continue;
            }
            let known = old.remove(&member.host);
            let candidate = Candidate {
                egress: Egress {
                    host: member.host.clone(),
                    address,
                },
                is_near: member.zone == *zone,
                is_silent: known.as_ref().is_some_and(|known| known.is_silent),
                retry_at: known.map_or(Instant::ZERO, |known| known.retry_at),
            };
            self.candidates.insert(member.host.clone(), candidate);
        }
    }

    /// Chooses a router, of the own zone if possible. The routers of a zone take turns, so that
    /// none bears all requests of a router that has lost its paths.
    pub fn choose(&mut self, now: Instant) -> Option<Egress> {
        let is_usable = |candidate: &&Candidate| !candidate.is_silent && now >= candidate.retry_at;
        let is_after_last = |candidate: &Candidate| {
            let last = self.last.as_ref();
            last.is_none_or(|last| candidate.egress.host > *last)
        };
        let usable = self.candidates.values().filter(is_usable);
        let next = usable.max_by_key(|candidate| {
            let order = std::cmp::Reverse(&candidate.egress.host);
            (candidate.is_near, is_after_last(candidate), order)
        });
        let egress = next?.egress.clone();
        self.last = Some(egress.host.clone());
        Some(egress)
    }

    /// The router that counts the slots of `server`, the same one at all routers that agree on
    /// which others are alive. It may be this one unless it has lost its paths.
    pub fn gatekeeper(
        &self,
        server: &backend::Server,
        is_lost: bool,
        now: Instant,
    ) -> Option<Egress> {
        let is_usable = |candidate: &&Candidate| !candidate.is_silent && now >= candidate.retry_at;
        let others = self.candidates.values().filter(is_usable);
        let others = others.map(|candidate| &candidate.egress);
        let score = |egress: &&Egress| {
            let seed = xxh3::xxh3_64(egress.host.as_str().as_bytes());
            xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), seed)
        };
        let own = self.own.iter().filter(|_| !is_lost);
        others.chain(own).min_by_key(score).cloned()
    }

    /// Whether any router may be asked at `now`.
    pub fn is_any_usable(&self, now: Instant) -> bool {
        let mut candidates = self.candidates.values();
        candidates.any(|candidate| !candidate.is_silent && now >= candidate.retry_at)
    }

    /// Records that a router did not provide a connection.
    pub fn record_failure(&mut self, host: &host::Id, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            candidate.retry_at = now + BACKOFF;
        }
    }

    /// Records whether a router sends heartbeats.
    pub fn set_silent(&mut self, host: &host::Id, is_silent: bool) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            candidate.is_silent = is_silent;
        }
    }
}
