//! Deadlines of responses of any size.

use std::time::Duration;

use hyper::{Method, Request};
use standin::{link::Link, platform as stand};
use storage::{
    Error, http,
    objects::{self, Objects},
    progress::{Progress, STALL_TIMEOUT},
};
use tokio::time::Instant;

/// The size of an object that takes 0.8 s on a link of 10 Mbit/s.
const LARGE: usize = 1_000_000;
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// Checks the extended deadline of a response with the deadline `deadline_ms`, of which
/// `bytes` have been received, the last of them at `last_byte_ms`.
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

/// Starts a platform with a large object, a slow link to it, and a client of the link.
async fn large_object() -> (stand::Handle, Link, http::Client) {
    let platform = stand::start(stand::Settings::default())
        .await
        .expect("the platform starts");
    let link = Link::start(platform.address())
        .await
        .expect("the link starts");
    let absent = &objects::Condition::Absent;
    objects::Client::new(platform.address())
        .put("x", vec![7; LARGE].into(), absent, deadline_in(10_000))
        .await
        .expect("the object is written");
    link.set_rate(LINK_BYTES_PER_S);
    let client = http::Client::new(link.address());
    (platform, link, client)
}

fn deadline_in(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

fn request() -> Request<bytes::Bytes> {
    http::request(Method::GET, "/objects/x", bytes::Bytes::new()).expect("a valid path")
}

/// Guards against reads that are aborted while their bytes still arrive.
#[tokio::test]
async fn a_response_still_arriving_extends_the_deadline() {
    let (_platform, _link, client) = large_object().await;
    let response = client
        .read(request(), deadline_in(300))
        .await
        .expect("the whole response");
    assert_eq!(response.body.len(), LARGE);
}

/// Guards against reads that wait indefinitely on an unresponsive connection.
#[tokio::test]
async fn a_stalled_response_times_out() {
    let (_platform, link, client) = large_object().await;
    let stall = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        link.set_rate(0);
    };
    let start = Instant::now();
    let (response, ()) = tokio::join!(client.read(request(), deadline_in(300)), stall);
    assert!(
        matches!(response, Err(Error::MayHaveRun(_))),
        "{response:?}"
    );
    assert!(start.elapsed() >= STALL_TIMEOUT);
}

/// Guards against calls that last longer than their deadline.
#[tokio::test]
async fn call_does_not_extend_its_deadline() {
    let (_platform, _link, client) = large_object().await;
    let response = client.call(request(), deadline_in(300)).await;
    assert!(
        matches!(response, Err(Error::MayHaveRun(_))),
        "{response:?}"
    );
}
