//! The choice of the router that connects to servers for this one.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use units::{availability, backend, host, time::Instant};
use xxhash_rust::xxh3;

use crate::source::Member;

/// How long a router that did not provide a connection is not asked again; doubled each time.
const BASE_BACKOFF: Duration = Duration::from_secs(1);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// One choice in this many is a router that is not known to provide connections, although others
/// are: without that, the first few that were found would bear all requests.
const EXPLORE_EVERY: u32 = 4;

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
    /// Its place in the order of turns, which differs from router to router.
    turn: u64,
    is_near: bool,
    /// Whether it has stopped sending heartbeats.
    is_silent: bool,
    /// Whether the last connection that it was asked for was established.
    is_providing: bool,
    /// Consecutive failures.
    failures: u32,
    retry_at: Instant,
}

impl Candidate {
    fn is_usable(&self, now: Instant) -> bool {
        !self.is_silent && now >= self.retry_at
    }
}

/// The other routers, as providers of connections.
#[derive(Clone, Debug, Default)]
pub struct Egresses {
    candidates: BTreeMap<host::Id, Candidate>,
    /// This router, once it is registered.
    own: Option<Egress>,
    /// The turn of the router that was chosen last. The others come first.
    last: u64,
    choices: u32,
}

impl Egresses {
    /// Replaces the routers, of which `own` is this one.
    pub fn set_members(&mut self, members: &[Member], own: &host::Id, zone: &availability::Zone) {
        let mut old = std::mem::take(&mut self.candidates);
        self.own = None;
        let seed = xxh3::xxh3_64(own.as_str().as_bytes());
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
                turn: xxh3::xxh3_64_with_seed(member.host.as_str().as_bytes(), seed),
                is_near: member.zone == *zone,
                is_silent: known.as_ref().is_some_and(|known| known.is_silent),
                is_providing: known.as_ref().is_some_and(|known| known.is_providing),
                failures: known.as_ref().map_or(0, |known| known.failures),
                retry_at: known.map_or(Instant::ZERO, |known| known.retry_at),
            };
            self.candidates.insert(member.host.clone(), candidate);
        }
    }

    /// Chooses a router: one that is known to provide connections, of the own zone, if possible.
    /// Routers of the same kind take turns, so that none bears all requests of this one.
    pub fn choose(&mut self, now: Instant) -> Option<Egress> {
        self.choices = self.choices.wrapping_add(1);
        let explores = self.choices.is_multiple_of(EXPLORE_EVERY);
        let candidates = self.candidates.values();
        let usable = candidates.filter(|candidate| candidate.is_usable(now));
        let next = usable.max_by_key(|candidate| {
            let is_wanted = candidate.is_providing != explores;
            let is_next = candidate.turn > self.last;
            (
                is_wanted,
                candidate.is_near,
                is_next,
                Reverse(candidate.turn),
            )
        })?;
        self.last = next.turn;
        Some(next.egress.clone())
    }

    /// The router that counts the slots of `server`, the same one at all routers that agree on
    /// which others are alive. It may be this one unless it has lost its paths.
    pub fn gatekeeper(
        &self,
        server: &backend::Server,
        is_lost: bool,
        now: Instant,
    ) -> Option<Egress> {
        let others = self.candidates.values();
        let others = others.filter(|candidate| candidate.is_usable(now));
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
        candidates.any(|candidate| candidate.is_usable(now))
    }

    /// Records that a router did not provide a connection.
    pub fn record_failure(&mut self, host: &host::Id, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            let factor = 1_u32.checked_shl(candidate.failures).unwrap_or(u32::MAX);
            candidate.retry_at = now + BASE_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
            candidate.failures = candidate.failures.saturating_add(1);
            candidate.is_providing = false;
        }
    }

    /// A router that provides connections for this one.
    pub fn provider(&self, now: Instant) -> Option<host::Id> {
        let mut candidates = self.candidates.values();
        let provider =
            candidates.find(|candidate| candidate.is_providing && candidate.is_usable(now));
        provider.map(|candidate| candidate.egress.host.clone())
    }

    /// Records that a router provides connections for another one.
    pub fn record_hint(&mut self, host: &host::Id) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            candidate.is_providing = true;
            candidate.retry_at = Instant::ZERO;
        }
    }

    /// Records that a router has provided a connection.
    pub fn record_success(&mut self, host: &host::Id) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            candidate.failures = 0;
            candidate.is_providing = true;
        }
    }

    /// Records whether a router sends heartbeats.
    pub fn set_silent(&mut self, host: &host::Id, is_silent: bool) {
        if let Some(candidate) = self.candidates.get_mut(host) {
            candidate.is_silent = is_silent;
        }
    }
}
