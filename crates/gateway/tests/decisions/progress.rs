//! What counts as progress of a response.

use framing::Tracker;
use gateway::relay::Progress;
use hyper::{HeaderMap, Method, StatusCode, header::HeaderValue};
use units::time::Instant;
use yare::parameterized;

const EVENTS: &str = "text/event-stream";

fn tracker(content_type: &'static str) -> Tracker {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static(content_type));
    Tracker::new(&Method::GET, StatusCode::OK, &headers)
}

/// Receives one piece in each 100 ms. Returns since when the server is silent, in ms.
fn silent_since(content_type: &'static str, pieces: &[&str]) -> u64 {
    let mut tracker = tracker(content_type);
    let mut progress = Progress::new(&tracker, Instant::ZERO);
    for (index, piece) in pieces.iter().enumerate() {
        let now = Instant::from_millis(100 * (index as u64 + 1));
        progress.wait(now);
        tracker.record(piece.as_bytes());
        progress.receive(&tracker, now);
        progress.wait(now);
    }
    progress.silent_since().as_micros() / 1000
}

/// Guards against a stream that stays at a server which writes, but never a whole event.
#[parameterized(
    nothing = { EVENTS, &[], 0 },
    comments = { EVENTS, &[": a\n", ": b\n\n", "\n"], 0 },
    retry = { EVENTS, &["retry: 5\n"], 0 },
    pieces_of_an_event = { EVENTS, &["id: 1\n", "data: a\n", "data: b\n"], 0 },
    event = { EVENTS, &[": a\n", "data: a\n\n"], 200 },
    event_in_pieces = { EVENTS, &["data: a\n", "\n", ": a\n"], 200 },
    events = { EVENTS, &["data: a\n\n", "data: a\n\n", "data: a\n\n"], 300 },
    text = { "text/plain", &["a", "b", ": a\n"], 300 },
)]
fn only_a_whole_event_ends_silence(content_type: &'static str, pieces: &[&str], expected_ms: u64) {
    assert_eq!(silent_since(content_type, pieces), expected_ms);
}

/// Guards against streams that leave a sound server because their caller reads slowly.
#[test]
fn the_time_in_which_the_caller_takes_nothing_is_no_silence() {
    let mut tracker = tracker(EVENTS);
    let mut progress = Progress::new(&tracker, Instant::ZERO);
    tracker.record(b"data: a\n\n");
    assert!(progress.receive(&tracker, Instant::from_millis(100)));
    progress.wait(Instant::from_millis(5100));
    tracker.record(b": a\n");
    assert!(!progress.receive(&tracker, Instant::from_millis(5300)));
    progress.wait(Instant::from_millis(9300));
    assert_eq!(progress.silent_since(), Instant::from_millis(9100));
}
