//! Bodies in chunks that their head does not declare.

use framing::{Tracker, Truncation, chunks::Scanner};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use yare::parameterized;

/// Guards against plain bodies that are given up because they resemble chunks, and against chunks that
/// are not recognized, however they arrive.
#[parameterized(
    one = { b"5\r\nhello\r\n0\r\n\r\n", true, true },
    several = { b"5\r\nhello\r\nA\r\n0123456789\r\n0\r\n\r\n", true, true },
    none = { b"0\r\n\r\n", true, true },
    no_last_chunk = { b"5\r\nhello\r\n", true, false },
    more_after_the_last = { b"0\r\n\r\nx", true, false },
    short = { b"9\r\nhello\r\n0\r\n\r\n", true, false },
    long = { b"3\r\nhello\r\n0\r\n\r\n", true, false },
    empty = { b"", false, false },
    text = { b"eighteen bytes ok!", false, false },
    number = { b"12", false, false },
    line_feed_alone = { b"5\nhello\n0\n\n", false, false },
    blank_line = { b"\r\n\r\n", false, false },
    too_many_digits = { b"00000000000000005\r\nhello\r\n0\r\n\r\n", false, false },
    json = { b"{\"a\":0}\r\n\r\n", false, false },
)]
fn chunks_are_recognized(body: &[u8], has_size: bool, is_complete: bool) {
    for step in 1..=body.len().max(1) {
        let mut scanner = Scanner::default();
        body.chunks(step).for_each(|bytes| scanner.push(bytes));
        let found = (scanner.has_size(), scanner.is_complete());
        assert_eq!(found, (has_size, is_complete), "in steps of {step}");
    }
}

const CODED: &[u8] = b"9\r\ndata: a\n\n\r\n0\r\n\r\n";

/// Guards against the sizes of chunks that callers get as a part of a complete body, because the field
/// that declares them is spoilt.
#[parameterized(
    text = { &[], CODED, false, Err(Truncation::Undeclared) },
    text_without_chunks = { &[], b"9\r\ndata", false, Ok(()) },
    events = { &[(header::CONTENT_TYPE, "text/event-stream")], CODED, true, Err(Truncation::Undeclared) },
    events_begin = { &[(header::CONTENT_TYPE, "text/event-stream")], b"9\r\n", true, Err(Truncation::InsideEvent) },
    events_without_chunks = { &[(header::CONTENT_TYPE, "text/event-stream")], b"data: a\n\n", false, Ok(()) },
    declared = { &[(header::TRANSFER_ENCODING, "chunked")], CODED, false, Ok(()) },
    of_a_length = { &[(header::CONTENT_LENGTH, "19")], CODED, false, Ok(()) },
)]
fn undeclared_chunks_are_no_body(
    fields: &[(header::HeaderName, &'static str)],
    body: &[u8],
    is_coded: bool,
    expected: Result<(), Truncation>,
) {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let mut tracker = Tracker::new(&Method::GET, StatusCode::OK, &headers);
    tracker.record(body);
    assert_eq!(
        (tracker.is_coded_stream(), tracker.end()),
        (is_coded, expected)
    );
}
