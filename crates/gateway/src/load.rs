//! Load reports: requests in flight and recent outcomes by server, as exchanged between
//! routers.

pub mod buckets;
pub mod growth;

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use units::{backend, time::Instant};
use xxhash_rust::xxh3;

use crate::outlier::OutcomeCounts;

/// The interval of full reports, which contain all outcomes and not only new failures.
///
/// Outcomes count for several seconds, so a router has some for nearly every server.
/// Sent in each gossip round, they would be half of all gossip traffic.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The growth of a server's failure count that is sent with the next report: half a
/// request, in sixteenths. Failures are rare, and until a failing server is detected it
/// continues to receive requests.
const MIN_NEW_FAILURES: u16 = 8;
/// The most servers with new failures in one delta report, so that it fits a datagram;
/// the next full report contains all.
const MAX_FAILING: usize = 20;

/// The load that a router puts, or has recently put, on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The hash of the server's name.
    pub server: u32,
    /// Requests in flight.
    pub running: u16,
    /// Recent outcomes of requests at the server.
    #[serde(rename = "ends")]
    pub outcomes: OutcomeCounts,
}

impl Load {
    /// The 24-bit hash that identifies a server.
    ///
    /// Two servers with the same hash each count with the load of both, which keeps
    /// every bound.
    pub fn hash(server: &backend::Server) -> u32 {
        Self::short_hash(xxh3::xxh3_64(server.as_str().as_bytes()))
    }

    /// The part of a name's hash that identifies the server in messages between
    /// routers.
    pub fn short_hash(name_hash: u64) -> u32 {
        (name_hash >> 40) as u32
    }
}

/// Divides loads into those of the `max_servers` servers with the most requests in flight and the requests in flight at the
/// others, ordered by server.
pub fn split(loads: Vec<Load>, max_servers: usize) -> (Vec<Load>, Vec<Load>) {
    if loads.len() <= max_servers {
        return (loads, Vec::new());
    }
    let mut loads = loads;
    loads.sort_by_key(|load| Reverse(load.running));
    let mut rest = loads.split_off(max_servers);
    rest.retain(|load| load.running > 0);
    rest.sort_unstable_by_key(|load| load.server);
    (loads, rest)
}

/// The loads in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// All loads; other servers have no requests in flight and no recent outcomes.
    #[serde(rename = "Whole")]
    Full(Vec<Load>),
    /// All requests in flight, and outcomes with new failures since the last report.
    #[serde(rename = "Change")]
    Delta {
        /// The number of requests in flight by server; other servers have none.
        ///
        /// Sorted by server hash and delta-encoded, which takes fewer bytes.
        running: Vec<(u32, u16)>,
        /// Outcomes at servers with new failures.
        #[serde(rename = "ends")]
        outcomes: Vec<(u32, OutcomeCounts)>,
    },
}

/// Encodes loads as full or delta reports.
///
/// Every receiver must get each report, or a full one soon after.
#[derive(Clone, Debug, Default)]
pub struct ReportEncoder {
    /// The failure count last sent for each server.
    sent_failures: BTreeMap<u32, u16>,
    full_report_at: Instant,
}

impl ReportEncoder {
    /// Encodes the next report.
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

/// Servers with requests in flight, sorted by hash and delta-encoded.
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

/// Decodes the reports of one sender.
#[derive(Clone, Debug, Default)]
pub struct ReportDecoder {
    outcomes: BTreeMap<u32, OutcomeCounts>,
}

impl ReportDecoder {
    /// Applies a report and returns the resulting loads.
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
        let idle_loads = self.outcomes.iter().map(|(&server, &outcomes)| Load {
            server,
            running: 0,
            outcomes,
        });
        let mut loads: BTreeMap<u32, Load> = idle_loads.map(|load| (load.server, load)).collect();
        let mut server: u32 = 0;
        for (step, running) in running {
            // Input from the network may overflow; the saturated hash matches no known
            // server.
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
