//! Requests that were in flight when a server died.

use std::time::Duration;

use recovery::{Crash, Standing, Strike, Suspects};
use units::{backend, request::Fingerprint, time::Instant};

/// How long a break waits for a sign that its server has died.
///
/// A server that crashed refuses connections at once, and its entry changes
/// within a few heartbeats of about a second.
const CONFIRM_WITHIN: Duration = Duration::from_secs(6);
/// How long a strike is told to other routers: some rounds of datagrams.
const GOSSIP_FOR: Duration = Duration::from_secs(3);
/// The most strikes that one datagram tells.
const MAX_STRIKES_PER_DATAGRAM: usize = 8;
/// Deaths after which a request is refused everywhere.
///
/// Each death takes along all that ran beside the guilty request. Two may
/// happen to an innocent one in a bad minute.
const STRIKE_LIMIT: usize = 3;

/// A request whose server broke off, and which may have caused it.
#[derive(Clone, Debug)]
struct BrokenRequest {
    fingerprint: Fingerprint,
    server: backend::Server,
    born: u64,
    began_at: Instant,
    expires_at: Instant,
}

/// Which requests are suspected of crashing servers.
///
/// A break alone says little: connections are reset for many reasons. It counts
/// once the server refuses connections or starts anew.
#[derive(Debug)]
pub struct CrashTracker {
    suspects: Suspects,
    broken: Vec<BrokenRequest>,
    recent_strikes: Vec<(Strike, Instant)>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        let settings = recovery::Settings {
            strikes: STRIKE_LIMIT,
            ..recovery::Settings::default()
        };
        Self {
            suspects: Suspects::new(settings),
            broken: Vec::new(),
            recent_strikes: Vec::new(),
        }
    }
}

impl CrashTracker {
    /// Whether a request is refused since servers died of it.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        matches!(
            self.suspects.standing(fingerprint, now),
            Standing::Refused(_)
        )
    }

    /// A server broke off in the middle of a request that began at `began_at`.
    pub fn record_broken(
        &mut self,
        fingerprint: Fingerprint,
        server: &backend::Server,
        born: u64,
        began_at: Instant,
        now: Instant,
    ) {
        self.broken.retain(|request| now < request.expires_at);
        self.broken.push(BrokenRequest {
            fingerprint,
            server: server.clone(),
            born,
            began_at,
            expires_at: now + CONFIRM_WITHIN,
        });
    }

    /// A request ran to its end, so it does not crash servers.
    pub fn record_completed(&mut self, fingerprint: Fingerprint) {
        self.suspects.completed(fingerprint);
    }

    /// The start `born` of a server is over. Returns how many requests it counts against.
    pub fn record_death(&mut self, server: &backend::Server, born: u64, now: Instant) -> usize {
        let matches = |request: &BrokenRequest| request.server == *server && request.born == born;
        let (matching, rest): (Vec<_>, Vec<_>) = self.broken.drain(..).partition(matches);
        self.broken = rest;
        let crash = Crash::new(server, born);
        let mut count = 0;
        for request in matching.iter().filter(|request| now < request.expires_at) {
            let strike = Strike {
                fingerprint: request.fingerprint,
                crash,
            };
            if let Some(strike) = self.suspects.struck(strike, request.began_at, now) {
                self.recent_strikes.push((strike, now + GOSSIP_FOR));
                count += 1;
            }
        }
        count
    }

    /// Takes in what another router tells.
    pub fn merge(&mut self, strikes: &[Strike], now: Instant) {
        for &strike in strikes {
            if self.suspects.learn(strike, now) {
                self.recent_strikes.push((strike, now + GOSSIP_FOR));
            }
        }
    }

    /// The strikes to tell other routers.
    pub fn strikes_to_send(&mut self, now: Instant) -> Vec<Strike> {
        self.recent_strikes.retain(|&(_, until)| now < until);
        let latest = self
            .recent_strikes
            .iter()
            .rev()
            .take(MAX_STRIKES_PER_DATAGRAM);
        latest.map(|&(strike, _)| strike).collect()
    }
}
