//! Renders a report as text and as JSON.

use std::{
    fmt::Write,
    time::{Duration, UNIX_EPOCH},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{
    cause::Cause,
    report::{Report, Times},
    tally::{Count, Tally},
    timeline::Span,
};

/// Maximum number of rows of a table.
const MAX_ROWS: usize = 10;
/// Percentiles of response times in the report.
const PERCENTILES: [f64; 3] = [50.0, 95.0, 99.0];

/// Renders the report as text for people to read.
pub fn text(report: &Report) -> String {
    let mut text = String::new();
    write_summary(&mut text, report);
    write_causes(&mut text, report);
    write_table(&mut text, "route", &report.routes);
    write_table(&mut text, "zone", &report.zones);
    write_table(&mut text, "workspace", &report.workspaces);
    write_table(&mut text, "server", &report.servers);
    write_table(&mut text, "router", &report.routers);
    write_times(&mut text, report);
    write_worst_spans(&mut text, report);
    text
}

/// Appends a formatted line. Writing to a `String` cannot fail.
macro_rules! line {
    ($text:expr, $($argument:tt)*) => {
        writeln!($text, $($argument)*).unwrap_or_default()
    };
}

fn write_summary(text: &mut String, report: &Report) {
    let lines = report.lines;
    line!(
        text,
        "lines {} read, {} not from a router, {} malformed, {} too long, {} truncated, {} dropped by routers",
        lines.read,
        lines.foreign,
        lines.malformed,
        lines.long,
        lines.cut,
        lines.dropped
    );
    let requests = &report.requests;
    let loss_ratio = requests.lost as f64 / (requests.served + requests.lost).max(1) as f64;
    line!(
        text,
        "requests {} served, {} lost ({:.1}%), {} rejected",
        requests.served,
        requests.lost,
        loss_ratio * 100.0,
        requests.rejected
    );
    let attempts = report.attempts.iter();
    let attempts: Vec<String> = attempts
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    line!(text, "failed attempts: {}", join_or_none(&attempts));
}

fn join_or_none(texts: &[String]) -> String {
    if texts.is_empty() {
        String::from("none")
    } else {
        texts.join(", ")
    }
}

fn write_causes(text: &mut String, report: &Report) {
    line!(text, "\n{:<16} {:>7}", "cause", "lost");
    let mut causes = Cause::ALL;
    causes.sort_by_key(|&cause| std::cmp::Reverse(report.lost_by(cause)));
    for cause in causes
        .into_iter()
        .filter(|&cause| report.lost_by(cause) > 0)
    {
        line!(text, "{:<16} {:>7}", cause.name(), report.lost_by(cause));
    }
}

fn write_table(text: &mut String, title: &str, tally: &Tally) {
    let worst = tally.worst(MAX_ROWS);
    if worst.is_empty() {
        return;
    }
    line!(
        text,
        "\n{title:<24} {:>7} {:>7}  main cause",
        "served",
        "lost"
    );
    for (name, count) in worst {
        line!(
            text,
            "{name:<24} {:>7} {:>7}  {}",
            count.served,
            count.lost,
            count.most_frequent_cause().map_or("", Cause::name)
        );
    }
}

fn write_times(text: &mut String, report: &Report) {
    if report.times.is_empty() {
        return;
    }
    line!(
        text,
        "\n{:<24} {:>21}  {:>21}",
        "p50 p95 p99 in ms",
        "first byte",
        "last byte"
    );
    for (route, times) in &report.times {
        line!(
            text,
            "{route:<24} {:>21}  {:>21}",
            percentile_text(&times.first_byte),
            percentile_text(&times.total)
        );
    }
}

fn percentile_text(times: &Histogram<u32>) -> String {
    let values = percentiles(times).map(|value| value.to_string());
    values.join(" ")
}

fn percentiles(times: &Histogram<u32>) -> [u64; 3] {
    PERCENTILES.map(|percent| times.value_at_percentile(percent))
}

fn write_worst_spans(text: &mut String, report: &Report) {
    let worst = report.timeline.worst(MAX_ROWS);
    if worst.is_empty() {
        return;
    }
    line!(text, "\nworst spans of {} s", report.timeline.seconds());
    for (start, span) in worst {
        line!(
            text,
            "{} served {} lost {} ({}), first byte mean {:.0} ms, max {} ms",
            format_time(start),
            span.requests.served,
            span.requests.lost,
            causes_text(&span.requests),
            span.mean_first_ms(),
            span.longest_first_ms
        );
        for line in report.timeline.events_near(start) {
            line!(text, "    {line}");
        }
    }
}

fn causes_text(count: &Count) -> String {
    let causes = count.causes.iter();
    let causes: Vec<String> = causes
        .map(|(cause, count)| format!("{cause} {count}"))
        .collect();
    causes.join(", ")
}

/// Formats seconds since the Unix epoch as an RFC 3339 timestamp in UTC.
fn format_time(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string()
}

/// Renders the report as JSON for programs to read.
pub fn json(report: &Report) -> Value {
    let times = report.times.iter();
    let times = times.map(|(route, times)| (route.clone(), times_json(times)));
    let spans = report.timeline.spans();
    json!({
        "lines": report.lines,
        "requests": report.requests,
        "attempts": report.attempts,
        "routes": report.routes,
        "zones": report.zones,
        "workspaces": report.workspaces,
        "servers": report.servers,
        "routers": report.routers,
        "times_ms": times.collect::<serde_json::Map<_, _>>(),
        "span_s": report.timeline.seconds(),
        "spans": spans.map(|(start, span)| span_json(start, span)).collect::<Vec<_>>(),
    })
}

fn times_json(times: &Times) -> Value {
    json!({
        "percentiles": PERCENTILES,
        "first_byte": percentiles(&times.first_byte),
        "whole": percentiles(&times.total),
    })
}

fn span_json(start: u64, span: &Span) -> Value {
    json!({ "at": format_time(start), "span": span })
}
