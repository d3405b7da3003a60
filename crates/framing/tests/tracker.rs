//! Complete and truncated responses.

use framing::{Delimiter, Format, Tracker, Truncation};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use yare::parameterized;

fn headers(fields: &[(&str, &str)]) -> HeaderMap {
    let field = |(name, value): &(&str, &str)| {
        let name: HeaderName = name.parse().expect("a name");
        let value: HeaderValue = value.parse().expect("a value");
        (name, value)
    };
    fields.iter().map(field).collect()
}

const LENGTH: (&str, &str) = ("content-length", "18");
const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");
const EVENTS: (&str, &str) = ("content-type", "text/event-stream; charset=utf-8");

#[parameterized(
    length = { Method::GET, 200, &[LENGTH], Delimiter::Length(18) },
    chunked = { Method::GET, 200, &[CHUNKED], Delimiter::Chunked },
    chunked_in_capitals = { Method::GET, 200, &[("transfer-encoding", "gzip, Chunked")], Delimiter::Chunked },
    chunked_before_the_length = { Method::GET, 200, &[LENGTH, CHUNKED], Delimiter::Chunked },
    not_chunked_last = { Method::GET, 200, &[("transfer-encoding", "chunked, gzip")], Delimiter::Close },
    neither = { Method::POST, 200, &[], Delimiter::Close },
    no_content = { Method::POST, 204, &[], Delimiter::Head },
    not_modified = { Method::GET, 304, &[LENGTH], Delimiter::Head },
    head = { Method::HEAD, 200, &[LENGTH], Delimiter::Head },
)]
fn a_response_is_delimited(
    method: Method,
    status: u16,
    fields: &[(&str, &str)],
    expected: Delimiter,
) {
    let status = StatusCode::from_u16(status).expect("a status");
    assert_eq!(Delimiter::of(&method, status, &headers(fields)), expected);
}

#[parameterized(
    plain = { "text/event-stream", Format::EventStream },
    with_a_parameter = { "Text/Event-Stream;charset=utf-8", Format::EventStream },
    other = { "application/json", Format::Other },
    longer = { "text/event-streams", Format::Other },
)]
fn the_content_type_decides_the_format(value: &str, expected: Format) {
    assert_eq!(Format::of(&headers(&[("content-type", value)])), expected);
}

fn tracker(fields: &[(&str, &str)], body: &[u8]) -> Tracker {
    let mut tracker = Tracker::new(&Method::GET, StatusCode::OK, &headers(fields));
    tracker.record(body);
    tracker
}

/// Guards against responses that count as complete although their body has broken off.
#[parameterized(
    whole_by_length = { &[LENGTH], b"eighteen bytes ok!", Ok(()) },
    short = { &[LENGTH], b"eighteen bytes", Err(Truncation::Short) },
    inside_an_event_by_length = { &[LENGTH, EVENTS], b"data: a\n\ndata: bcd", Err(Truncation::InsideEvent) },
    whole_events_by_length = { &[LENGTH, EVENTS], b"data: a\n\ndata: b\n\n", Ok(()) },
    inside_an_event_by_chunks = { &[CHUNKED, EVENTS], b"data: a\n", Err(Truncation::InsideEvent) },
    no_event_by_chunks = { &[CHUNKED, EVENTS], b"", Ok(()) },
    inside_an_event_by_close = { &[EVENTS], b"data: a\n\nda", Err(Truncation::InsideEvent) },
    whole_events_by_close = { &[EVENTS], b"data: a\n\n", Ok(()) },
    no_event_by_close = { &[EVENTS], b"", Err(Truncation::Empty) },
    no_events_by_close = { &[], b"data: a", Ok(()) },
    nothing_by_close = { &[], b"", Ok(()) },
)]
fn the_regular_end_of_a_body_is_judged(
    fields: &[(&str, &str)],
    body: &[u8],
    expected: Result<(), Truncation>,
) {
    assert_eq!(tracker(fields, body).end(), expected);
}

/// Guards against a resumed stream that counts as broken off because nothing was left of it.
#[test]
fn a_continued_stream_may_be_empty() {
    let first = tracker(&[EVENTS], b"data: a\n\ndata");
    let rest = first.resumed(&Method::GET, StatusCode::OK, &headers(&[EVENTS]));
    assert_eq!((rest.events(), rest.end()), (1, Ok(())));
}

/// Guards against a stream that counts as complete because a server that continued it before any
/// event sent nothing either.
#[test]
fn a_stream_that_is_started_again_may_not_be_empty() {
    let first = tracker(&[EVENTS], b"data");
    let again = first.resumed(&Method::GET, StatusCode::OK, &headers(&[EVENTS]));
    assert_eq!(again.end(), Err(Truncation::Empty));
}

#[parameterized(
    before_its_length = { &[LENGTH], b"eighteen", false },
    at_its_length = { &[LENGTH], b"eighteen bytes ok!", true },
    chunks = { &[CHUNKED], b"eighteen bytes ok!", false },
    close = { &[], b"eighteen bytes ok!", false },
)]
fn only_a_length_tells_the_last_byte(fields: &[(&str, &str)], body: &[u8], expected: bool) {
    assert_eq!(tracker(fields, body).is_exhausted(), expected);
}

/// Guards against bytes that complete the length of a stream which ends inside an event.
#[parameterized(
    inside_an_event = { &[LENGTH, EVENTS], b"data: a\n\ndata: bcd", 9 },
    whole_events = { &[LENGTH, EVENTS], b"data: a\n\ndata: b\n\n", 18 },
    more_to_come = { &[LENGTH, EVENTS], b"data: a\n\nda", 11 },
    no_length = { &[EVENTS], b"data: a\n\ndata: bcd", 18 },
    no_events = { &[LENGTH], b"data: a\n\ndata: bcd", 18 },
)]
fn a_truncated_stream_is_not_forwarded_to_its_length(
    fields: &[(&str, &str)],
    body: &[u8],
    expected: usize,
) {
    let mut tracker = tracker(fields, b"");
    let boundary = tracker.record(body);
    assert_eq!(tracker.forwardable(body.len(), boundary), expected);
}

/// Guards against a stream whose end inside an event looks complete because its server declares no
/// content type.
#[parameterized(
    untyped = { &[], Err(Truncation::InsideEvent) },
    typed = { &[EVENTS], Err(Truncation::InsideEvent) },
    of_another_type = { &[("content-type", "text/plain")], Ok(()) },
    whole_by_chunks = { &[CHUNKED], Ok(()) },
)]
fn a_stream_without_a_content_type_is_read_as_events(
    fields: &[(&str, &str)],
    expected: Result<(), Truncation>,
) {
    let mut stream = tracker(fields, b"").expecting_events();
    stream.record(b"data: a\n\ndata: b");
    assert_eq!(stream.end(), expected);
    let mut next = stream.resumed(&Method::GET, StatusCode::OK, &headers(fields));
    next.record(b"data: b");
    assert_eq!(next.end(), expected);
}
