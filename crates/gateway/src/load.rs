//! Requests at servers, as routers tell each other of them.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use units::{backend, time::Instant};
use xxhash_rust::xxh3;

use crate::outlier::OutcomeCounts;

/// How often all ends are told, and not only those with new failures.
///
/// Requests that ended count for seconds, so at each router nearly all servers
/// have some. Told in each round they would be half of what routers tell each other.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// How much the failures at a server have to grow to be told at once: by half
/// a request, in sixteenths. Failures are rare, and callers meet the server
/// again until it is found out.
const MIN_NEW_FAILURES: u16 = 8;
/// The most servers with new failures that one change tells of, so that it fits
/// a datagram; all are told with the next whole report.
const MAX_FAILING: usize = 20;

/// Requests that a router has, or lately had, at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// A hash of the server's name.
    pub server: u32,
    /// Requests in flight.
    pub running: u16,
    /// How requests there lately ended.
    pub outcomes: OutcomeCounts,
}

impl Load {
    /// The hash that stands for a server, of 24 bits.
    ///
    /// Of two servers with the same each counts with the load of both, which keeps
    /// every bound.
    pub fn hash(server: &backend::Server) -> u32 {
        Self::short_hash(xxh3::xxh3_64(server.as_str().as_bytes()))
    }

    /// The part of the hash of a server's name that stands for it between routers.
    pub fn short_hash(name_hash: u64) -> u32 {
        (name_hash >> 40) as u32
    }
}

/// The `most` servers with most requests.
pub fn busiest(mut loads: Vec<Load>, max_servers: usize) -> Vec<Load> {
    if loads.len() > max_servers {
        loads.sort_by_key(|load| Reverse(load.running));
        loads.truncate(max_servers);
    }
    loads
}

/// What one datagram tells of loads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// All of them; other servers have neither requests nor ends.
    Full(Vec<Load>),
    /// All requests in flight, and ends that say something new since the last report.
    Delta {
        /// Servers with requests in flight, and how many; all others have none.
        ///
        /// In the order of their hashes, each as the step from the one before, which
        /// takes fewer bytes.
        running: Vec<(u32, u16)>,
        /// How requests ended at servers with new failures.
        outcomes: Vec<(u32, OutcomeCounts)>,
    },
}

/// Decides what of the loads is told next.
///
/// All who are told have to be told each report, or to be told a whole one soon.
#[derive(Clone, Debug, Default)]
pub struct ReportEncoder {
    /// The failures told last at each server.
    sent_failures: BTreeMap<u32, u16>,
    full_report_at: Instant,
}

impl ReportEncoder {
    /// The next report of these loads.
    pub fn next(&mut self, loads: &[Load], now: Instant) -> Report {
        if now >= self.full_report_at {
            self.full_report_at = now + FULL_REPORT_INTERVAL;
            self.sent_failures.clear();
            self.record_sent(loads.iter().map(|load| (load.server, load.outcomes)));
            return Report::Full(loads.to_vec());
        }
        let failing = loads.iter().filter(|load| self.has_new_failures(load));
        let outcomes: Vec<_> = failing
            .map(|load| (load.server, load.outcomes))
            .take(MAX_FAILING)
            .collect();
        self.record_sent(outcomes.iter().copied());
        Report::Delta {
            running: delta_encode(loads),
            outcomes,
        }
    }

    fn record_sent(&mut self, sent: impl Iterator<Item = (u32, OutcomeCounts)>) {
        self.sent_failures
            .extend(sent.map(|(server, outcomes)| (server, outcomes.failed)));
    }

    fn has_new_failures(&self, load: &Load) -> bool {
        let sent = self.sent_failures.get(&load.server).copied().unwrap_or(0);
        load.outcomes.failed >= sent.saturating_add(MIN_NEW_FAILURES)
    }
}

/// Servers with requests in flight, as steps from hash to hash.
fn delta_encode(loads: &[Load]) -> Vec<(u32, u16)> {
    let running = loads.iter().filter(|load| load.running > 0);
    let mut running: Vec<_> = running.map(|load| (load.server, load.running)).collect();
    running.sort_unstable();
    let mut last = 0;
    for (server, _) in &mut running {
        let step = *server - last;
        last = *server;
        *server = step;
    }
    running
}

/// What one teller has told so far.
#[derive(Clone, Debug, Default)]
pub struct ReportDecoder {
    outcomes: BTreeMap<u32, OutcomeCounts>,
}

impl ReportDecoder {
    /// Takes in a report, and returns all loads as they stand with it.
    pub fn apply(&mut self, report: Report) -> Vec<Load> {
        let (running, outcomes) = match report {
            Report::Full(loads) => {
                self.outcomes = loads
                    .iter()
                    .map(|load| (load.server, load.outcomes))
                    .collect();
                return loads;
            }
            Report::Delta { running, outcomes } => (running, outcomes),
        };
        self.outcomes.extend(outcomes);
        let ended = self.outcomes.iter().map(|(&server, &outcomes)| Load {
            server,
            running: 0,
            outcomes,
        });
        let mut loads: BTreeMap<u32, Load> = ended.map(|load| (load.server, load)).collect();
        let mut server: u32 = 0;
        for (step, running) in running {
            // Whatever comes from outside, a sum too large is a server that is not known.
            server = server.saturating_add(step);
            let load = loads.entry(server).or_insert(Load {
                server,
                running,
                outcomes: OutcomeCounts::default(),
            });
            load.running = running;
        }
        loads.into_values().collect()
    }
}
