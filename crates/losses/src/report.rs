//! What all lines together say.

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

/// The longest time that is told apart, in milliseconds: an hour.
const MAX_MS: u64 = 3_600_000;
/// How exactly times are kept, in significant digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The most routes whose times are kept apart.
const MAX_ROUTES: usize = 200;

/// How many lines were read, and of what kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Lines {
    /// Lines of routers.
    pub read: u64,
    /// Other text.
    pub foreign: u64,
    /// Lines of routers that cannot be read.
    pub malformed: u64,
    /// Lines that are longer than any router writes.
    pub long: u64,
    /// Last lines without their end.
    pub cut: u64,
    /// Lines that routers say they left out.
    pub dropped: u64,
}

/// Times of one route, in milliseconds.
#[derive(Clone, Debug)]
pub struct Times {
    /// To the first byte.
    pub first_byte: Histogram<u32>,
    /// To the last.
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

/// What all lines together say.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// How many there were.
    pub lines: Lines,
    /// All requests.
    pub requests: Count,
    /// Requests by route.
    pub routes: Tally,
    /// By the zone of the server that had them last.
    pub zones: Tally,
    /// By workspace.
    pub workspaces: Tally,
    /// By the server that had them last.
    pub servers: Tally,
    /// By router.
    pub routers: Tally,
    /// Attempts that did not lead to an answer, by outcome.
    pub attempts: BTreeMap<String, u64>,
    /// Times of requests that were served, by route.
    pub times: BTreeMap<String, Times>,
    /// All over time.
    pub timeline: Timeline,
}

impl Report {
    /// Adds all lines of one input, which `name` stands for where lines do not
    /// name their router.
    ///
    /// # Errors
    ///
    /// When the input cannot be read; what was read until then is kept.
    pub fn add(&mut self, mut input: impl BufRead, name: &str) -> io::Result<()> {
        let mut bytes = Vec::new();
        loop {
            match reader::next(&mut input, &mut bytes)? {
                Next::End => return Ok(()),
                Next::TooLong => self.lines.long += 1,
                Next::Line => self.add_line(&String::from_utf8_lossy(&bytes), name),
                // What is left of it may name the wrong route or server.
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

    /// Requests that were lost by `cause`.
    pub fn lost_by(&self, cause: Cause) -> u64 {
        self.requests.causes.get(&cause).copied().unwrap_or(0)
    }
}

/// The most outcomes that are counted apart; routers know fewer.
const MAX_OUTCOMES: usize = 32;

fn increment(counts: &mut BTreeMap<String, u64>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count += 1;
    } else if counts.len() < MAX_OUTCOMES {
        counts.insert(String::from(name), 1);
    }
}
