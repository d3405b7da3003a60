//! Heads that leave it open where the body ends.

use framing::head::{self, Fault};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use yare::parameterized;

fn check(status: u16, fields: &[(&str, &str)]) -> Result<(), Fault> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        let name: HeaderName = name.parse().expect("a name");
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        headers.append(name, value);
    }
    head::check(StatusCode::from_u16(status).expect("a status"), &headers)
}

/// Guards against responses of sound servers that are given up.
#[parameterized(
    neither = { 200, &[] },
    length = { 200, &[("content-length", "18")] },
    length_zero = { 500, &[("content-length", "0")] },
    length_of_none = { 304, &[("content-length", "18")] },
    chunked = { 200, &[("transfer-encoding", "chunked")] },
    chunked_in_capitals = { 503, &[("transfer-encoding", " Chunked ")] },
    last_status = { 599, &[] },
)]
fn a_clear_head_is_accepted(status: u16, fields: &[(&str, &str)]) {
    assert_eq!(check(status, fields), Ok(()));
}

/// Guards against bodies that are passed on in a coding that nobody undoes, or up to the wrong byte.
#[parameterized(
    switching_protocols = { 101, &[], Fault::Status },
    first_invalid = { 600, &[], Fault::Status },
    last_invalid = { 999, &[("content-length", "18")], Fault::Status },
    misspelt = { 200, &[("transfer-encoding", "chunkex")], Fault::Coding },
    empty = { 200, &[("transfer-encoding", "")], Fault::Coding },
    not_text = { 200, &[("transfer-encoding", "chunked\u{e8}")], Fault::Coding },
    not_last = { 200, &[("transfer-encoding", "chunked, gzip")], Fault::Coding },
    not_first = { 200, &[("transfer-encoding", "gzip, chunked")], Fault::Coding },
    listed = { 200, &[("transfer-encoding", "chunked, chunked")], Fault::Coding },
    repeated = { 200, &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], Fault::Coding },
    beside_a_length = { 200, &[("transfer-encoding", "chunked"), ("content-length", "18")], Fault::Coding },
    of_a_failure = { 500, &[("transfer-encoding", "identity")], Fault::Coding },
    length_empty = { 200, &[("content-length", "")], Fault::Length },
    length_signed = { 200, &[("content-length", "+18")], Fault::Length },
    length_not_text = { 200, &[("content-length", "18\u{e8}")], Fault::Length },
    length_listed = { 200, &[("content-length", "18, 18")], Fault::Length },
    length_repeated = { 200, &[("content-length", "18"), ("content-length", "18")], Fault::Length },
)]
fn an_unclear_head_is_rejected(status: u16, fields: &[(&str, &str)], expected: Fault) {
    assert_eq!(check(status, fields), Err(expected));
}
