//! Splitting of event streams into complete events.

use bytes::Bytes;
use framing::events::Scanner;
use gateway::relay::Splitter;
use yare::parameterized;

fn event_id(line: &str) -> Option<String> {
    line.strip_prefix("id:").map(|id| String::from(id.trim()))
}

fn split(pieces: &[&str]) -> (String, Splitter) {
    let mut scanner = Scanner::default();
    let mut splitter = Splitter::default();
    let mut forwarded = String::new();
    for piece in pieces {
        let boundary = scanner.push(piece.as_bytes());
        let bytes = Bytes::copy_from_slice(piece.as_bytes());
        let complete = splitter.push(&bytes, boundary, event_id);
        forwarded.push_str(std::str::from_utf8(&complete).expect("text"));
    }
    (forwarded, splitter)
}

/// A server stops in the middle of an event, and the stream is resumed at another
/// server. A caller that received the first half would read two halves as one event.
#[parameterized(
    in_one_piece = { &["id: 1\ndata: x\n\nid: 2\nda"] },
    split_within_the_delimiter = { &["id: 1\ndata: x\n", "\nid: 2\nda"] },
    byte_by_byte = { &["id: 1", "\ndata: x", "\n", "\n", "id: 2\nda"] },
)]
fn a_partial_event_is_held_back(pieces: &[&str]) {
    let (forwarded, mut splitter) = split(pieces);
    assert_eq!(forwarded, "id: 1\ndata: x\n\n");
    assert!(splitter.is_partial());
    assert_eq!(splitter.reset().as_deref(), Some("1"));
    assert!(!splitter.is_partial());
}

#[test]
fn complete_events_are_forwarded_immediately() {
    let (forwarded, splitter) = split(&["id: 1\ndata: x\n\nid: 2\ndata: y\n\n"]);
    assert_eq!(forwarded, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
    assert!(!splitter.is_partial());
}

#[test]
fn a_stream_without_an_event_has_no_last_event_id() {
    let (_, mut splitter) = split(&["id: 1\n"]);
    assert_eq!(splitter.reset(), None);
}

/// Guards against a stream that is continued after the wrong event.
#[parameterized(
    line_feeds = { "id: 1\ndata: x\n\nid: 2\n\n" },
    both = { "id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n" },
    carriage_returns = { "id: 1\rdata: x\r\rid: 2\r\r" },
    after_a_mark = { "\u{feff}\nid: 2\ndata: x\n\n" },
)]
fn the_last_event_is_found_whatever_ends_its_lines(stream: &str) {
    let (forwarded, mut splitter) = split(&[stream]);
    assert_eq!(forwarded, stream);
    assert_eq!(splitter.reset().as_deref(), Some("2"));
}

/// Guards against a stream that is begun anew, or continued after an earlier event, because the id of
/// the last one is no value of a header.
#[parameterized(
    not_ascii = { "id: 1\n\nid: \u{e8}\n\n", true },
    control_character = { "id: 1\n\nid: \u{1}\n\n", false },
    in_an_earlier_event = { "id: \u{1}\n\nid: 2\n\n", true },
)]
fn only_an_id_that_can_be_sent_continues_a_stream(stream: &str, expected: bool) {
    let (_, splitter) = split(&[stream]);
    assert_eq!(splitter.can_continue(2), expected);
}

/// Guards against a byte order mark inside a stream, where it belongs to the name of a field.
#[test]
fn the_byte_order_mark_of_a_continuation_is_removed() {
    let (_, mut splitter) = split(&["\u{feff}id: 1\n\n"]);
    splitter.reset();
    let rest = Bytes::from_static("\u{feff}id: 2\n\n".as_bytes());
    let forwarded = splitter.push(&rest, rest.len(), event_id);
    assert_eq!(forwarded, "id: 2\n\n");
}
