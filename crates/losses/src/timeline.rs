//! Request counts and router events over time, in bounded memory.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;

use crate::{cause::Outcome, line::Line, tally::Count};

/// Maximum number of spans; when more are needed, the length of every span is doubled.
const MAX_SPANS: usize = 7_200;
/// Maximum number of event descriptions that one span keeps.
const MAX_EVENT_LINES: usize = 8;

/// Events that are shown: changes to a router's view of servers, zones, peers and the store,
/// to its configuration and to its lifecycle.
const SHOWN_EVENTS: [&str; 14] = [
    "started",
    "leaving",
    "closed",
    "paused",
    "configuration_in_force",
    "zones_out",
    "zone_away",
    "zone_reached",
    "server_standing",
    "server_judged",
    "server_died",
    "store_lost",
    "store_returned",
    "peer_lost",
];

/// Requests and events within one span of time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Span {
    /// Requests that ended within the span.
    pub requests: Count,
    /// Sum of the times to first byte of the served requests, in milliseconds.
    pub first_ms: u64,
    /// Longest time to first byte of a served request, in milliseconds.
    pub longest_first_ms: u64,
    /// Number of occurrences of each shown event.
    pub events: BTreeMap<String, u64>,
    /// Short descriptions of the first few of these events.
    pub lines: Vec<String>,
}

impl Span {
    /// Mean time to first byte of the served requests, in milliseconds.
    pub fn mean_first_ms(&self) -> f64 {
        self.first_ms as f64 / self.requests.served.max(1) as f64
    }

    fn merge(&mut self, other: Self) {
        self.requests.merge(&other.requests);
        self.first_ms += other.first_ms;
        self.longest_first_ms = self.longest_first_ms.max(other.longest_first_ms);
        for (event, count) in other.events {
            *self.events.entry(event).or_default() += count;
        }
        self.lines.extend(other.lines);
        self.lines.truncate(MAX_EVENT_LINES);
    }
}

/// Spans of equal length that cover the log lines read; spans without requests or shown events
/// are absent.
#[derive(Clone, Debug, PartialEq)]
pub struct Timeline {
    /// Length of a span, in seconds.
    seconds: u64,
    spans: BTreeMap<u64, Span>,
}

impl Default for Timeline {
    fn default() -> Self {
        Self {
            seconds: 1,
            spans: BTreeMap::new(),
        }
    }
}

impl Timeline {
    /// Adds a request that ended at `time`, with its time to first byte in milliseconds.
    pub fn add_request(&mut self, time: SystemTime, outcome: Outcome, first_ms: Option<u64>) {
        let span = self.span(time);
        span.requests.add(outcome);
        if outcome == Outcome::Served {
            let first_ms = first_ms.unwrap_or(0);
            span.first_ms += first_ms;
            span.longest_first_ms = span.longest_first_ms.max(first_ms);
        }
    }

    /// Adds the event of a log line if it is one of the shown events.
    pub fn add_event(&mut self, line: &Line<'_>, origin: &str) {
        if !SHOWN_EVENTS.contains(&line.event.as_ref()) {
            return;
        }
        let text = event_text(line, origin);
        let span = self.span(line.time);
        *span.events.entry(line.event.to_string()).or_default() += 1;
        if span.lines.len() < MAX_EVENT_LINES {
            span.lines.push(text);
        }
    }

    fn span(&mut self, time: SystemTime) -> &mut Span {
        let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let mut index = since_epoch.as_secs() / self.seconds;
        while self.spans.len() >= MAX_SPANS && !self.spans.contains_key(&index) {
            self.double_span_length();
            index = since_epoch.as_secs() / self.seconds;
        }
        self.spans.entry(index).or_default()
    }

    fn double_span_length(&mut self) {
        self.seconds = self.seconds.saturating_mul(2);
        for (index, span) in std::mem::take(&mut self.spans) {
            self.spans.entry(index / 2).or_default().merge(span);
        }
    }

    /// Length of a span, in seconds.
    pub fn seconds(&self) -> u64 {
        self.seconds
    }

    /// The spans in order of time, each with its start in seconds since the Unix epoch.
    pub fn spans(&self) -> impl Iterator<Item = (u64, &Span)> {
        let seconds = self.seconds;
        self.spans
            .iter()
            .map(move |(index, span)| (index * seconds, span))
    }

    /// Up to `limit` spans with the most losses, in descending order; omits spans without losses.
    pub fn worst(&self, limit: usize) -> Vec<(u64, &Span)> {
        let lost = self.spans().filter(|(_, span)| span.requests.lost > 0);
        let mut worst: Vec<_> = lost.collect();
        worst.sort_by_key(|(_, span)| std::cmp::Reverse(span.requests.lost));
        worst.truncate(limit);
        worst
    }

    /// Descriptions of the events in the span that starts at `start` and in the two adjacent spans.
    pub fn events_near(&self, start: u64) -> Vec<&str> {
        let index = start / self.seconds;
        let near = self.spans.range(index.saturating_sub(1)..=index + 1);
        let lines = near.flat_map(|(_, span)| span.lines.iter());
        lines.map(String::as_str).collect()
    }
}

/// Short description of a shown event: router, event and selected keys.
fn event_text(line: &Line<'_>, origin: &str) -> String {
    const SHOWN_KEYS: [&str; 8] = [
        "zone", "zones", "server", "standing", "outcome", "config", "topic", "peer",
    ];
    let pairs = line.pairs().filter(|(key, _)| SHOWN_KEYS.contains(key));
    let pairs: Vec<String> = pairs.map(|(key, value)| format!("{key}={value}")).collect();
    format!("{origin} {} {}", line.event, pairs.join(" "))
}
