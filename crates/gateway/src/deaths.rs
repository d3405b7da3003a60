//! Requests that were in flight when a server died.

use std::time::Duration;

use recovery::{Crash, Standing, Strike, Suspects};
use units::{backend, request::Fingerprint, time::Instant};

/// How long a break waits for a sign that its server has died.
///
/// A server that crashed refuses connections at once, and its entry changes
/// within a few heartbeats of about a second.
const SIGN_WITHIN: Duration = Duration::from_secs(6);
/// How long a strike is told to other routers: some rounds of datagrams.
const TOLD_FOR: Duration = Duration::from_secs(3);
/// The most strikes that one datagram tells.
const MOST_TOLD: usize = 8;
/// Deaths after which a request is refused everywhere.
///
/// Each death takes along all that ran beside the guilty request. Two may
/// happen to an innocent one in a bad minute.
const STRIKES: usize = 3;

/// A request whose server broke off, and which may have caused it.
#[derive(Clone, Debug)]
struct Break {
    fingerprint: Fingerprint,
    server: backend::Server,
    born: u64,
    began_at: Instant,
    forgotten_at: Instant,
}

/// Which requests are suspected of crashing servers.
///
/// A break alone says little: connections are reset for many reasons. It counts
/// once the server refuses connections or starts anew.
#[derive(Debug)]
pub struct Deaths {
    suspects: Suspects,
    breaks: Vec<Break>,
    told: Vec<(Strike, Instant)>,
}

impl Default for Deaths {
    fn default() -> Self {
        let settings = recovery::Settings {
            refuse_at_strikes: STRIKES,
            ..recovery::Settings::default()
        };
        Self {
            suspects: Suspects::new(settings),
            breaks: Vec::new(),
            told: Vec::new(),
        }
    }
}

impl Deaths {
    /// Whether a request is refused since servers died of it.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        matches!(
            self.suspects.standing(fingerprint, now),
            Standing::Refused(_)
        )
    }

    /// A server broke off in the middle of a request that began at `began_at`.
    pub fn broke(
        &mut self,
        fingerprint: Fingerprint,
        server: &backend::Server,
        born: u64,
        began_at: Instant,
        now: Instant,
    ) {
        self.breaks.retain(|known| now < known.forgotten_at);
        self.breaks.push(Break {
            fingerprint,
            server: server.clone(),
            born,
            began_at,
            forgotten_at: now + SIGN_WITHIN,
        });
    }

    /// A request ran to its end, so it does not crash servers.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        self.suspects.record_completion(fingerprint);
    }

    /// The start `born` of a server is over. Returns how many requests it counts against.
    pub fn died(&mut self, server: &backend::Server, born: u64, now: Instant) -> usize {
        let is_of = |known: &Break| known.server == *server && known.born == born;
        let (of, rest): (Vec<_>, Vec<_>) = self.breaks.drain(..).partition(is_of);
        self.breaks = rest;
        let crash = Crash::new(server, born);
        let mut count = 0;
        for known in of.iter().filter(|known| now < known.forgotten_at) {
            let strike = Strike {
                fingerprint: known.fingerprint,
                crash,
            };
            if let Some(strike) = self.suspects.record_crash(strike, known.began_at, now) {
                self.told.push((strike, now + TOLD_FOR));
                count += 1;
            }
        }
        count
    }

    /// Takes in what another router tells.
    pub fn learn(&mut self, strikes: &[Strike], now: Instant) {
        for &strike in strikes {
            if self.suspects.apply_strike(strike, now) {
                self.told.push((strike, now + TOLD_FOR));
            }
        }
    }

    /// The strikes to tell other routers.
    pub fn tell(&mut self, now: Instant) -> Vec<Strike> {
        self.told.retain(|&(_, until)| now < until);
        let latest = self.told.iter().rev().take(MOST_TOLD);
        latest.map(|&(strike, _)| strike).collect()
    }
}
