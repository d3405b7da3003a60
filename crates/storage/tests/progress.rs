//! How long answers of any size are waited for.

use std::time::Duration;

use hyper::{Method, Request};
use standin::{link::Link, platform as stand};
use storage::{
    Error, http,
    objects::{self, Objects},
    progress::{Progress, STALL_TIMEOUT},
};
use tokio::time::Instant;

/// Bytes of an object that a link of 10 Mbit/s carries in eight tenths of a second.
const LARGE: usize = 1_000_000;
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// What is left of the patience with an answer that was due at `due_ms`, of which
/// `bytes` have come so far, the last of them at `last_ms`.
#[yare::parameterized(
    nothing_received = { 1000, 0, 0, 1000 },
    before_the_deadline = { 1000, 300_000, 100, 1000 },
    still_receiving = { 1000, 300_000, 900, 1400 },
    below_the_minimum_rate = { 1000, 6_553, 900, 1099 },
)]
fn extended_deadline(deadline_ms: u64, bytes: usize, last_byte_ms: u64, expected_ms: u64) {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut progress = Progress::new(start);
    if bytes > 0 {
        progress.received(bytes, at(last_byte_ms));
    }
    assert_eq!(progress.extended_deadline(at(deadline_ms)), at(expected_ms));
}

/// An object of a platform behind a slow link, and the clients of both.
async fn large_object() -> (stand::Handle, Link, http::Client) {
    let platform = stand::start(stand::Settings::default())
        .await
        .expect("platform");
    let link = Link::start(platform.address()).await.expect("a port");
    let absent = &objects::Condition::Absent;
    objects::Client::new(platform.address())
        .put("x", vec![7; LARGE].into(), absent, deadline_in(10_000))
        .await
        .expect("it is written");
    link.limit(LINK_BYTES_PER_S);
    let client = http::Client::new(link.address());
    (platform, link, client)
}

fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn request() -> Request<bytes::Bytes> {
    http::request(Method::GET, "/objects/x", bytes::Bytes::new()).expect("a path")
}

/// Guards against answers that are given up while their bytes still come.
#[tokio::test]
async fn a_response_still_arriving_extends_the_deadline() {
    let (_platform, _link, client) = large_object().await;
    let response = client
        .read(request(), deadline_in(300))
        .await
        .expect("all of it");
    assert_eq!(response.body.len(), LARGE);
}

/// Guards against answers on silent connections that are waited for without end.
#[tokio::test]
async fn a_stalled_response_times_out() {
    let (_platform, link, client) = large_object().await;
    let stall = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        link.limit(0);
    };
    let start = Instant::now();
    let (response, ()) = tokio::join!(client.read(request(), deadline_in(300)), stall);
    assert!(
        matches!(response, Err(Error::MayHaveRun(_))),
        "{response:?}"
    );
    assert!(start.elapsed() >= STALL_TIMEOUT);
}

/// Guards against callers that wait for longer than they asked for.
#[tokio::test]
async fn call_does_not_extend_its_deadline() {
    let (_platform, _link, client) = large_object().await;
    let response = client.call(request(), deadline_in(300)).await;
    assert!(
        matches!(response, Err(Error::MayHaveRun(_))),
        "{response:?}"
    );
}
