//! What callers take for complete, for responses of a plain service that break off.

use standin::fixed;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use yare::parameterized;

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until},
};

const EVENTS: &str = "Content-Type: text/event-stream\r\n";
const CHUNKED: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
const LENGTH: &str = "Content-Type: text/event-stream\r\nContent-Length: 17\r\n";
const TEXT: &str = "Content-Type: text/plain\r\n";
const TEXT_LENGTH: &str = "Content-Type: text/plain\r\nContent-Length: 17\r\n";

/// A deployment whose service answers bookings with these fields and this body.
async fn cluster(fields: &str, body: &str) -> Cluster {
    let cluster = fronted(fields, body).await;
    wait_until("the router has the new address", async || {
        let call = Call::post("/bookings", "{}");
        let response = cluster.send(0, &call).await;
        response.status == 200 && !response.body.contains("confirmation")
    })
    .await;
    cluster
}

/// The same before the router knows the new address of the service.
async fn fronted(fields: &str, body: &str) -> Cluster {
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let service = &mut cluster.services[0];
    let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}");
    let front = fixed::Server::start(service.handle.address(), "POST", response.as_bytes());
    service.front = Some(front.await.expect("a port"));
    cluster.list_hosts(&[]);
    cluster
}

/// All bytes that the first router sends for a booking.
async fn received(cluster: &Cluster, version: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(cluster.routers[0].address)
        .await
        .expect("a connection");
    let request = format!(
        "POST /bookings {version}\r\nHost: x\r\nX-Weir-Workspace: acme\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await;
    (String::from_utf8_lossy(&bytes).into_owned(), end.is_ok())
}

/// Guards against callers that get neither an answer nor a refusal because the response of the server
/// breaks off with its head.
#[parameterized(
    text_of_known_length = { TEXT_LENGTH },
    chunks = { CHUNKED },
    events_of_known_length = { LENGTH },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn the_head_of_a_response_that_breaks_off_at_once_is_received(fields: &str) {
    const REQUESTS: usize = 20;
    let cluster = fronted(fields, "").await;
    wait_until("the router has the new address", async || {
        let (response, _) = received(&cluster, "HTTP/1.1").await;
        !response.contains("confirmation")
    })
    .await;
    let mut without_head = 0;
    for _ in 0..REQUESTS {
        let (response, _) = received(&cluster, "HTTP/1.1").await;
        without_head += usize::from(response.is_empty());
    }
    assert_eq!(without_head, 0, "of {REQUESTS} responses");
}

/// Guards against responses that look complete although they broke off, and the other way round.
#[parameterized(
    inside_an_event = { EVENTS, "data: a\n\ndata: b", false },
    whole_events = { EVENTS, "data: a\n\ndata: b\n\n", true },
    whole_events_with_carriage_returns = { EVENTS, "data: a\r\n\r\n", true },
    no_event = { EVENTS, "", false },
    inside_an_event_in_chunks = { CHUNKED, "7\r\ndata: a\r\n0\r\n\r\n", false },
    whole_events_in_chunks = { CHUNKED, "9\r\ndata: a\n\n\r\n0\r\n\r\n", true },
    no_last_chunk = { CHUNKED, "9\r\ndata: a\n\n\r\n", false },
    inside_an_event_of_known_length = { LENGTH, "data: a\n\ndata: bc", false },
    text = { TEXT, "data: a\n\ndata: b", true },
    text_of_known_length = { TEXT_LENGTH, "data: a\n\ndata: bc", true },
    short_text = { TEXT_LENGTH, "data: a\n\n", false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn the_caller_sees_whether_a_response_is_complete(
    fields: &str,
    body: &str,
    is_complete: bool,
) {
    let cluster = cluster(fields, body).await;
    let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
    assert_eq!(response.complete, is_complete, "{}", response.body);
}

/// Guards against the bytes of a coding that look like a whole body, and against bodies that end at the
/// wrong byte, because the head of the response is spoilt.
#[parameterized(
    coding_misspelt = { "Transfer-Encoding: chunkex\r\n", "9\r\ndata: a\n\n\r\n0\r\n\r\n" },
    coding_unknown = { "Transfer-Encoding: gzip, chunked\r\n", "9\r\ndata: a\n\n\r\n0\r\n\r\n" },
    coding_and_length = { "Transfer-Encoding: chunkex\r\nContent-Length: 9\r\n", "data: a\n\n" },
    length_listed = { "Content-Length: 9, 9\r\n", "data: a\n\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_spoilt_head_is_not_passed_on(fields: &str, body: &str) {
    let cluster = fronted(fields, body).await;
    wait_until("the router has the new address", async || {
        let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
        response.status != 400
    })
    .await;
    let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
    assert_eq!(response.status, 502, "{}", response.body);
    assert_eq!(response.error("verdict"), "may_have_run");
}

/// Guards against answers whose status is none, which callers take for an answer.
#[parameterized(
    zeros = { "000 " },
    zeros_with_a_reason = { "000 OK" },
    one_digit = { "0 OK" },
    below_all = { "099 OK" },
    interim = { "101 OK" },
    above_all = { "600 OK" },
    four_digits = { "0200 OK" },
    letters = { "2OO OK" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_without_a_status_is_not_passed_on(status: &str) {
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let service = &mut cluster.services[0];
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 9\r\n\r\ndata: a\n\n");
    let front = fixed::Server::start(service.handle.address(), "POST", response.as_bytes());
    service.front = Some(front.await.expect("a port"));
    cluster.list_hosts(&[]);
    wait_until("the router has the new address", async || {
        let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
        response.status != 400
    })
    .await;
    let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
    assert_eq!(response.status, 502, "{}", response.body);
    assert_eq!(response.error("verdict"), "may_have_run");
}

/// Guards against an outcome that is kept for an idempotency key as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_broke_off_is_not_replayed() {
    let cluster = cluster(EVENTS, "data: a\n\ndata: b").await;
    let booking = Call::booking("k1");
    assert!(!cluster.send(0, &booking).await.complete);
    let again = cluster.send(0, &booking).await;
    assert_ne!(again.status, 200, "{}", again.body);
    assert_eq!(again.error("verdict"), "may_have_run");
}

/// Guards against callers of HTTP/1.0, for whom a response ends with its connection, that take a
/// response for complete although it broke off.
#[parameterized(
    broken_off = { "data: a\n\ndata: b", false },
    complete = { "data: a\n\n", true },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_caller_of_http_1_0_sees_a_reset(body: &str, is_complete: bool) {
    let cluster = cluster(EVENTS, body).await;
    let (response, has_ended) = received(&cluster, "HTTP/1.0").await;
    assert!(response.starts_with("HTTP/1.0 200"), "{response}");
    assert_eq!(has_ended, is_complete, "{response}");
}

/// Guards against a head that broke off and reaches the caller as a success.
#[parameterized(
    nothing = { "" },
    status_line = { "HTTP/1.1 200 OK" },
    line_end = { "HTTP/1.1 200 OK\r\n" },
    field_name = { "HTTP/1.1 200 OK\r\nContent-Le" },
    part_of_a_length = { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 1" },
    no_empty_line = { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" },
    half_an_empty_line = { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r" },
    after_an_interim_response = { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_head_that_breaks_off_is_no_success(head: &str) {
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let service = &mut cluster.services[0];
    let front = fixed::Server::start(service.handle.address(), "POST", head.as_bytes());
    service.front = Some(front.await.expect("a port"));
    cluster.list_hosts(&[]);
    wait_until("the router has the new address", async || {
        let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
        response.status != 400
    })
    .await;
    let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
    assert_eq!(response.status, 502, "{}", response.body);
    assert_eq!(response.error("verdict"), "may_have_run");
}
