//! Totals over all log lines read.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    cause::{self, Cause, Outcome},
    line::{self, Line},
    reader::{self, Next},
    tally::{Count, Tally},
    timeline::Timeline,
};

/// Largest time that a histogram records, one hour; longer times count as this.
const MAX_MS: u64 = 3_600_000;
/// Precision of the histograms of times, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of routes with their own histograms; times of further routes are dropped.
const MAX_ROUTES: usize = 200;

/// Numbers of lines in the input, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lines {
    /// Valid log lines of routers.
    pub read: u64,
    /// Lines that are not log lines of a router.
    pub foreign: u64,
    /// Log lines of routers that cannot be parsed.
    pub malformed: u64,
    /// Lines that exceed the maximum length, which no log line of a router does.
    pub long: u64,
    /// Truncated lines at the end of an input.
    pub cut: u64,
    /// Log lines that routers reported as dropped.
    pub dropped: u64,
}

/// Response times of one route, in milliseconds.
#[derive(Clone, Debug)]
pub struct Times {
    /// Times to first byte.
    pub first_byte: Histogram<u32>,
    /// Times to last byte.
    pub total: Histogram<u32>,
}

impl Times {
    fn new() -> Option<Self> {
        let empty = Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            first_byte: empty.clone(),
            total: empty,
        })
    }
}

/// Totals over all log lines read.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Numbers of lines read.
    pub lines: Lines,
    /// Counts over all requests.
    pub requests: Count,
    /// Requests by route.
    pub routes: Tally,
    /// Requests by the availability zone of the server that handled them last.
    pub zones: Tally,
    /// Requests by workspace.
    pub workspaces: Tally,
    /// Requests by the server that handled them last.
    pub servers: Tally,
    /// Requests by router.
    pub routers: Tally,
    /// Failed attempts by outcome.
    pub attempts: BTreeMap<String, u64>,
    /// Response times of served requests by route.
    pub times: BTreeMap<String, Times>,
    /// Requests and events over time.
    pub timeline: Timeline,
}

impl Report {
    /// Adds all lines of one input. `name` is used as the router of lines without an origin.
    ///
    /// # Errors
    ///
    /// Returns an error if reading the input fails; lines read before that stay in the report.
    pub fn add(&mut self, mut input: impl BufRead, name: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            match reader::next(&mut input, &mut bytes)? {
                Next::End => return Ok(()),
                Next::TooLong => self.lines.long += 1,
                Next::Line => self.add_line(&String::from_utf8_lossy(&bytes), name),
                // A truncated line may contain a truncated name of a route or server.
                Next::Truncated => self.lines.cut += 1,
            }
        }
    }

    fn add_line(&mut self, text: &str, name: &str) {
        match Line::parse(text) {
            Ok(line) => {
                self.lines.read += 1;
                self.add_parsed(&line, name);
            }
            Err(line::Error::Foreign) => self.lines.foreign += 1,
            Err(line::Error::Malformed) => self.lines.malformed += 1,
        }
    }

    fn add_parsed(&mut self, line: &Line<'_>, name: &str) {
        let origin = line.origin.unwrap_or(name);
        self.timeline.add_event(line, origin);
        match line.event.as_ref() {
            "attempt_failed" => {
                let outcome = line.get("outcome").unwrap_or("unknown");
                increment(&mut self.attempts, outcome);
            }
            "log_lines_dropped" => self.lines.dropped += line.number("count").unwrap_or(0),
            _ => {}
        }
        if let Some(outcome) = cause::outcome(line) {
            self.add_request(line, origin, outcome);
        }
    }

    fn add_request(&mut self, line: &Line<'_>, origin: &str, outcome: Outcome) {
        self.requests.add(outcome);
        let value_or_none = |key: &str| line.get(key).unwrap_or("none");
        self.routes.add(value_or_none("route"), outcome);
        self.zones.add(value_or_none("zone"), outcome);
        self.workspaces.add(value_or_none("workspace"), outcome);
        self.servers.add(value_or_none("server"), outcome);
        self.routers.add(origin, outcome);
        let first_ms = line.number("first_ms");
        self.timeline.add_request(line.time, outcome, first_ms);
        if outcome == Outcome::Served {
            self.add_times(value_or_none("route"), first_ms, line.number("total_ms"));
        }
    }

    fn add_times(&mut self, route: &str, first_ms: Option<u64>, total_ms: Option<u64>) {
        if !self.times.contains_key(route) {
            if self.times.len() >= MAX_ROUTES {
                return;
            }
            let Some(times) = Times::new() else {
                return;
            };
            self.times.insert(String::from(route), times);
        }
        let Some(times) = self.times.get_mut(route) else {
            return;
        };
        times.first_byte.saturating_record(first_ms.unwrap_or(0));
        times.total.saturating_record(total_ms.unwrap_or(0));
    }

    /// Number of requests lost by `cause`.
    pub fn lost_by(&self, cause: Cause) -> u64 {
        self.requests.causes.get(&cause).copied().unwrap_or(0)
    }
}

/// Maximum number of attempt outcomes that are counted; routers log fewer. Further ones are
/// ignored.
const MAX_OUTCOMES: usize = 32;

fn increment(counts: &mut BTreeMap<String, u64>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count += 1;
    } else if counts.len() < MAX_OUTCOMES {
        counts.insert(String::from(name), 1);
    }
}
