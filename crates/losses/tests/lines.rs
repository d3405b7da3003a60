//! Parsing of log lines and the outcomes of requests derived from them.

use losses::{
    cause::{self, Cause, Outcome},
    line::{self, Line},
    reader::{self, Next},
    report::Report,
};
use proptest::prelude::*;
use yare::parameterized;

const LINE_START: &str = "time=2026-12-03T00:03:20.151Z level=info process=weir-platform";

fn outcome(pairs: &str) -> Option<Outcome> {
    let text = format!("{LINE_START} {pairs}");
    cause::outcome(&Line::parse(&text).expect("the line is valid"))
}

#[test]
fn line_is_parsed_with_its_origin_and_quoted_values() {
    let text = format!(r#" 1.2 host-1 {LINE_START} event=x reason="a \"b\" = \\c" empty="" n=7"#);
    let line = Line::parse(&text).expect("the line is valid");
    assert_eq!(line.origin, Some("host-1"));
    assert_eq!(line.event, "x");
    assert_eq!(line.get("reason"), Some(r#"a "b" = \c"#));
    assert_eq!(line.get("empty"), None);
    assert_eq!(line.number("n"), Some(7));
}

/// A log contains truncated lines of killed processes and output of other programs. Taken for
/// lines of a router, they would be counted as losses that did not occur.
#[parameterized(
    other_text = { "panicked at somewhere", line::Error::Foreign },
    no_event = { "time=2026-12-03T00:03:20.151Z level=info", line::Error::Malformed },
    no_time = { "time=yesterday event=x", line::Error::Malformed },
    open_quote = { "time=2026-12-03T00:03:20.151Z event=\"x", line::Error::Malformed },
    no_value = { "time=2026-12-03T00:03:20.151Z event=x more", line::Error::Malformed },
)]
fn text_that_is_not_a_line_is_rejected(text: &str, error: line::Error) {
    assert_eq!(Line::parse(text), Err(error));
}

#[parameterized(
    served = { "event=request_done status=200 ending=complete", Outcome::Served },
    not_found_by_the_server = { "event=request_done status=404 ending=complete", Outcome::Served },
    server_error = { "event=request_done status=500 ending=complete", Outcome::Lost(Cause::ServerFailed) },
    response_timed_out = { "event=request_done status=200 ending=late", Outcome::Lost(Cause::ServerSilent) },
    version_gone_within_a_response = { "event=request_done status=200 ending=version_gone", Outcome::Lost(Cause::VersionGone) },
    version_gone = { "event=request_refused code=version_gone verdict=not_run unreachable=0", Outcome::Lost(Cause::VersionGone) },
    version_unknown = { "event=request_refused code=version_unknown verdict=not_run unreachable=0", Outcome::Lost(Cause::VersionUnknown) },
    caller_left = { "event=request_done status=200 ending=\"caller left\"", Outcome::Lost(Cause::CallerLeft) },
    connection_reset = { "event=request_done status=200 ending=\"connection reset\"", Outcome::Lost(Cause::ServerBroke) },
    abandoned = { "event=request_abandoned sends=0", Outcome::Lost(Cause::CallerLeft) },
    no_server = { "event=request_refused code=no_server verdict=not_run unreachable=0", Outcome::Lost(Cause::NoServer) },
    unreachable = { "event=request_refused code=no_server verdict=not_run unreachable=4", Outcome::Lost(Cause::Unreachable) },
    full = { "event=request_refused code=busy verdict=not_run", Outcome::Lost(Cause::Full) },
    cold = { "event=request_refused code=cold verdict=not_run", Outcome::Lost(Cause::Cold) },
    budget = { "event=request_refused code=retry_budget verdict=may_have_run", Outcome::Lost(Cause::Budget) },
    deadline_after_sending = { "event=request_refused code=deadline verdict=may_have_run", Outcome::Lost(Cause::ServerSilent) },
    deadline_before_sending = { "event=request_refused code=deadline verdict=not_run", Outcome::Lost(Cause::Deadline) },
    backend_died = { "event=request_refused code=backend_died verdict=may_have_run", Outcome::Lost(Cause::ServerBroke) },
    router_not_ready = { "event=request_rejected code=not_ready", Outcome::Lost(Cause::Router) },
    bad_key = { "event=request_rejected code=bad_key", Outcome::Rejected },
)]
fn last_line_of_a_request_gives_its_outcome(pairs: &str, expected: Outcome) {
    assert_eq!(outcome(pairs), Some(expected));
}

/// A request whose attempt failed may be served by another server. If the line of the failed
/// attempt counted as its outcome, a served request would be counted as lost.
#[test]
fn failed_attempt_does_not_end_its_request() {
    assert_eq!(outcome("event=attempt_failed outcome=failed"), None);
}

/// A program writes without line breaks. Buffering its line completely would exhaust the memory.
#[test]
fn overlong_line_is_skipped() {
    let mut text = vec![b'x'; 1 << 20];
    text.extend_from_slice(b"\nnext\n");
    let mut input = text.as_slice();
    let mut line = Vec::new();
    assert_eq!(
        reader::next(&mut input, &mut line).ok(),
        Some(Next::TooLong)
    );
    assert!(line.len() <= 1 << 15);
    assert_eq!(reader::next(&mut input, &mut line).ok(), Some(Next::Line));
    assert_eq!(line, b"next");
    assert_eq!(reader::next(&mut input, &mut line).ok(), Some(Next::End));
}

/// Logs of a month contain 100,000 server names and span three million seconds. Counting each
/// name and second separately would take gigabytes.
#[test]
fn names_and_seconds_are_bounded() {
    let mut report = Report::default();
    for index in 0..20_000_u64 {
        let (days, hours) = (1 + index / 1_440 % 28, index / 60 % 24);
        let text = format!(
            "time=2026-12-{days:02}T{hours:02}:{:02}:00.000Z event=request_done server=i-{index} status=200 ending=complete\n",
            index % 60
        );
        report
            .add(text.as_bytes(), "log")
            .expect("the log is readable");
    }
    assert!(report.servers.len() <= 1_001, "{}", report.servers.len());
    assert!(report.timeline.spans().count() <= 7_200);
    let served: u64 = report
        .timeline
        .spans()
        .map(|(_, span)| span.requests.served)
        .sum();
    assert_eq!(served, 20_000);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(2000) })]

    /// Log lines contain arbitrary text sent by callers; parsing must not panic.
    #[test]
    fn any_text_is_parsed_or_rejected(text in "(time=2026-12-03T00:03:20Z )?[a-z=\" \\\\é]{0,60}") {
        drop(Line::parse(&text));
    }
}
