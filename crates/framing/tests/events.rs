//! Boundaries of events in streams that are cut anywhere.

use framing::events::Scanner;
use proptest::prelude::*;
use yare::parameterized;

fn scan(pieces: &[&[u8]]) -> Scanner {
    let mut scanner = Scanner::default();
    for piece in pieces {
        scanner.push(piece);
    }
    scanner
}

/// Guards against streams that look complete, or broken off, by line ends and fields that do not
/// belong to an event.
#[parameterized(
    nothing = { b"", false },
    whole_event = { b"id: 1\ndata: a\n\n", false },
    no_blank_line = { b"id: 1\ndata: a\n", true },
    no_end_of_line = { b"data: a", true },
    second_event = { b"data: a\n\nid: 2\nda", true },
    carriage_returns = { b"data: a\r\r", false },
    one_carriage_return = { b"data: a\r", true },
    both = { b"data: a\r\n\r\n", false },
    cut_inside_the_blank_line = { b"data: a\r\n\r", false },
    one_line_end_of_two_bytes = { b"data: a\r\n", true },
    mixed = { b"data: a\n\r\n", false },
    byte_order_mark = { b"\xef\xbb\xbf", false },
    part_of_the_mark = { b"\xef\xbb", true },
    mark_and_event = { b"\xef\xbb\xbfdata: a\n\n", false },
    mark_and_comment = { b"\xef\xbb\xbf: a\n", false },
    second_mark = { b"\xef\xbb\xbf\xef\xbb\xbf: a\n", true },
    mark_inside_the_stream = { b"\n\xef\xbb\xbf\n", true },
    comment = { b": keep alive\n", false },
    part_of_a_comment = { b": keep al", true },
    comment_inside_an_event = { b"data: a\n: b\n", true },
    comment_then_event = { b": a\ndata: b\n", true },
    retry = { b"retry: 100\n", false },
    retry_without_a_value = { b"retry\n", false },
    part_of_retry = { b"retry: 10", true },
    longer_than_retry = { b"retry_at: 10\n", true },
    shorter_than_retry = { b"ret: 10\n", true },
    other_field = { b"weight: 3\n", true },
    id_alone = { b"id: 1\n", true },
    empty_events = { b"\n\n\n", false },
    zero_byte = { b"\0", true },
)]
fn the_end_of_a_stream_is_inside_an_event(stream: &[u8], is_inside: bool) {
    assert_eq!(scan(&[stream]).is_inside(), is_inside);
    let bytes: Vec<&[u8]> = stream.chunks(1).collect();
    assert_eq!(scan(&bytes).is_inside(), is_inside, "byte by byte");
}

#[parameterized(
    none = { b"data: a\n", 0 },
    whole = { b"data: a\n\n", 9 },
    rest_of_the_next = { b"data: a\n\ndata", 9 },
    last_of_two = { b"data: a\n\ndata: b\n\nd", 18 },
    comment = { b": a\ndata", 4 },
    both_bytes_of_a_line_end = { b"data: a\r\n\r\n", 11 },
    first_byte_of_a_line_end = { b"data: a\r\n\r", 10 },
)]
fn the_boundary_is_after_the_last_whole_event(stream: &[u8], boundary: usize) {
    assert_eq!(Scanner::default().push(stream), boundary);
}

/// Guards against a blank line that is counted twice because its CR and LF arrive apart.
#[test]
fn a_line_feed_belongs_to_the_carriage_return_before_it() {
    let mut scanner = Scanner::default();
    assert_eq!(scanner.push(b"data: a\r\n\r"), 10);
    assert_eq!(scanner.push(b"\ndata: b"), 1);
    assert!(scanner.is_inside());
}

/// Guards against counts that depend on where the network cut the stream, or that never end.
#[parameterized(
    nothing = { b"", 0, 0 },
    comment = { b": a\n", 4, 4 },
    comments_and_blank_lines = { b": a\n\n\n\r\r", 8, 8 },
    retry = { b"retry: 5\n", 9, 9 },
    event = { b"data: a\n\n", 0, 0 },
    event_with_two_bytes_for_a_line_end = { b"data: a\r\n\r\n", 0, 0 },
    comment_before_an_event = { b": a\ndata: a\n\n", 0, 0 },
    comment_after_an_event = { b"data: a\n\n: a\n", 4, 4 },
    piece_of_an_event = { b"data: a\n\n: a\ndata: b\n", 12, 4 },
    comment_inside_an_event = { b"data: a\n: a\n", 12, 0 },
    piece_of_a_comment = { b": a", 3, 0 },
)]
fn bytes_are_counted_from_the_last_whole_event(stream: &[u8], unfinished: u64, ignored: u64) {
    for size in [1, 2, 5, stream.len().max(1)] {
        let pieces: Vec<&[u8]> = stream.chunks(size).collect();
        let scanner = scan(&pieces);
        let counted = (scanner.unfinished(), scanner.ignored());
        assert_eq!(counted, (unfinished, ignored), "pieces of {size}");
    }
}

/// A stream of lines as a server would write it.
fn stream() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        Just("data: x"),
        Just("id: 7"),
        Just(": note"),
        Just("retry: 5"),
        Just("data: p\u{e8}re"),
        Just(""),
        Just(""),
    ];
    let eol = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let lines = proptest::collection::vec(line, 0..12);
    (lines, eol, any::<bool>()).prop_map(|(lines, eol, has_mark)| {
        let mark = if has_mark { "\u{feff}" } else { "" };
        let lines: String = lines.iter().map(|line| format!("{line}{eol}")).collect();
        format!("{mark}{lines}").into_bytes()
    })
}

/// The same decision by whole lines, for a stream that is known to its end.
fn is_inside(stream: &[u8]) -> bool {
    let text = String::from_utf8_lossy(stream);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let text = text.strip_prefix('\u{feff}').unwrap_or(&text);
    let last_line = text.rsplit('\n').next().unwrap_or_default();
    let last_event = text.rsplit("\n\n").next().unwrap_or_default();
    let ignored =
        |line: &str| line.is_empty() || line.starts_with(':') || line.starts_with("retry:");
    !last_line.is_empty() || !last_event.split('\n').all(ignored)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(42), ..ProptestConfig::default() })]

    /// Guards against decisions that depend on where the network cut the stream.
    #[test]
    fn cuts_between_reads_change_nothing(
        stream in stream(),
        end in any::<prop::sample::Index>(),
        cuts in proptest::collection::vec(any::<prop::sample::Index>(), 0..6),
    ) {
        let stream = &stream[..end.index(stream.len() + 1)];
        let mut offsets: Vec<usize> = cuts.iter().map(|cut| cut.index(stream.len() + 1)).collect();
        offsets.extend([0, stream.len()]);
        offsets.sort_unstable();
        let mut scanner = Scanner::default();
        let mut boundary = 0;
        for pair in offsets.windows(2) {
            let found = scanner.push(&stream[pair[0]..pair[1]]);
            if found > 0 {
                boundary = pair[0] + found;
            }
        }
        let mut at_once = Scanner::default();
        prop_assert_eq!(at_once.push(stream), boundary);
        prop_assert_eq!(at_once.is_inside(), scanner.is_inside());
        if std::str::from_utf8(stream).is_ok() {
            prop_assert_eq!(scanner.is_inside(), is_inside(stream));
        }
    }
}
