//! Responses without an end in sight.

use framing::Tracker;
use gateway::relay::{Excess, Limit};
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue};
use yare::parameterized;

/// What is held back of an event, in bytes.
const HELD: usize = 64;
const EVENTS: (&str, &str) = ("content-type", "text/event-stream");
const TEXT: (&str, &str) = ("content-type", "text/plain");
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");
const LENGTH: (&str, &str) = ("content-length", "1000000");

/// After how many units of a body it has no end in sight, and how that is called.
fn passed(
    status: u16,
    headers: &[(&'static str, &'static str)],
    unit: &str,
) -> Option<(usize, Excess)> {
    let mut fields = HeaderMap::new();
    for (name, value) in headers {
        fields.insert(*name, HeaderValue::from_static(value));
    }
    let status = StatusCode::from_u16(status).expect("a status");
    let mut tracker = Tracker::new(&Method::GET, status, &fields);
    let limit = Limit::new(status, HELD);
    (1..=100 * HELD).find_map(|count| {
        tracker.record(unit.as_bytes());
        limit.excess(&tracker).map(|excess| (count, excess))
    })
}

/// Guards against responses without end that are read and forwarded until their deadline.
#[parameterized(
    comments = { 200, &[EVENTS, CHUNKED], ": \n", HELD / 3 + 1, Excess::Comments },
    blank_lines = { 200, &[EVENTS, CHUNKED], "\n", HELD + 1, Excess::Comments },
    carriage_returns = { 200, &[EVENTS, CHUNKED], "\r", HELD + 1, Excess::Comments },
    retries = { 200, &[EVENTS, CHUNKED], "retry: 5\n", HELD / 9 + 1, Excess::Comments },
    comments_of_a_declared_length = { 200, &[EVENTS, LENGTH], "\n", HELD + 1, Excess::Comments },
    one_line = { 200, &[EVENTS, CHUNKED], "x", 32 * HELD + 1, Excess::Event },
    one_comment = { 200, &[EVENTS, CHUNKED], ":", 32 * HELD + 1, Excess::Event },
    one_id = { 200, &[EVENTS, CHUNKED], "id: 1", 32 * HELD / 5 + 1, Excess::Event },
    one_event = { 200, &[EVENTS, CHUNKED], "data:\n", 32 * HELD / 6 + 1, Excess::Event },
    failure = { 500, &[TEXT, CHUNKED], "x", 4 * HELD + 1, Excess::Failure },
    failure_until_the_close = { 404, &[TEXT], "x", 4 * HELD + 1, Excess::Failure },
    events_of_a_failure = { 500, &[EVENTS, CHUNKED], "data:\n\n", 4 * HELD / 7 + 1, Excess::Failure },
)]
fn a_response_without_end_passes_its_limit(
    status: u16,
    headers: &[(&'static str, &'static str)],
    unit: &str,
    count: usize,
    excess: Excess,
) {
    assert_eq!(passed(status, headers, unit), Some((count, excess)));
}

/// Guards against sound responses that are broken off.
#[parameterized(
    events = { 200, &[EVENTS, CHUNKED], "data: a\n\n" },
    comments_between_events = { 200, &[EVENTS, CHUNKED], ": a\n\n: b\n\ndata: a\n\n" },
    text = { 200, &[TEXT, CHUNKED], "some text\n" },
    text_until_the_close = { 200, &[TEXT], ": a\n\n" },
    failure_of_a_declared_length = { 422, &[TEXT, LENGTH], "some text\n" },
)]
fn a_sound_response_has_no_limit(
    status: u16,
    headers: &[(&'static str, &'static str)],
    unit: &str,
) {
    assert_eq!(passed(status, headers, unit), None);
}
