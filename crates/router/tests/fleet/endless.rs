//! Backend servers that write without end.

use std::time::Duration;

use gateway::link::{Error, Link};
use smallvec::SmallVec;
use standin::flood;
use tokio::{io::AsyncWriteExt as _, net::TcpStream, time};
use units::{cost, request};
use wire::{
    hop::{self, Frame, Open, Reply, Terms},
    seal,
};
use yare::parameterized;

use crate::{
    client::{Call, Response},
    cluster::{Cluster, Topology, wait_until},
    process,
};

/// The deadline of a call that is expected to last until then, in milliseconds.
const SHORT_DEADLINE_MS: &str = "1500";
/// How long a call may take before it counts as held without end.
const HANG: Duration = Duration::from_secs(30);
/// How long a router may take to close a connection after the deadline of its request: less than the
/// 30 s after which a router gives a link up that is not read.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two units of a response that trickles.
const TRICKLE: Duration = Duration::from_millis(20);
/// The most that a server may write of what is no answer: what the router reads, and what the buffers
/// of both sockets take.
const MAX_UNANSWERED_BYTES: u64 = 16 * 1024 * 1024;

const OK: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK_SIZE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5";
const LAST_CHUNK: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK: &str = "8\r\nxxxxxxxx\r\n";

/// A deployment of one router and one service, which answers bookings without end.
async fn cluster(begin: &'static str, unit: &'static str, pause: Duration) -> Cluster {
    cluster_of(1, begin, unit, pause).await
}

/// A deployment like [`cluster`], of several routers.
async fn cluster_of(
    routers: usize,
    begin: &'static str,
    unit: &'static str,
    pause: Duration,
) -> Cluster {
    let topology = Topology {
        routers,
        ..Topology::one_zone()
    };
    let mut cluster = Cluster::start(topology).await;
    let service = &mut cluster.services[0];
    let response = flood::Response { begin, unit, pause };
    let server = flood::Server::start(service.handle.address(), &["POST"], response);
    service.endless = Some(server.await.expect("a port"));
    cluster.list_hosts(&[]);
    wait_until("the router has the new address", async || {
        let call = Call::post("/bookings", "{}").header("x-weir-timeout-ms", "100");
        drop(cluster.send(0, &call).await);
        server_of(&cluster).requests() > 0
    })
    .await;
    wait_closed(&cluster).await;
    cluster
}

fn server_of(cluster: &Cluster) -> &flood::Server {
    let server = cluster.services[0].endless.as_ref();
    server.expect("the service has one")
}

/// Waits until the router has closed all connections to the server.
async fn wait_closed(cluster: &Cluster) {
    wait_until("the router closes the connections", async || {
        server_of(cluster).open() == 0
    })
    .await;
}

async fn send(cluster: &Cluster, call: &Call) -> Response {
    let response = time::timeout(HANG, cluster.send(0, call)).await;
    response.expect("the call ends")
}

/// Guards against a body that holds its request beyond the deadline, because each of its bytes
/// counts as progress.
#[parameterized(
    chunks = { CHUNKED, CHUNK, Duration::ZERO },
    chunks_that_trickle = { CHUNKED, CHUNK, TRICKLE },
    until_close = { OK, CHUNK, Duration::ZERO },
    until_close_that_trickles = { OK, CHUNK, TRICKLE },
    comments = { EVENTS, "4\r\n: x\n\r\n", Duration::ZERO },
    comments_that_trickle = { EVENTS, "4\r\n: x\n\r\n", TRICKLE },
    one_event = { EVENTS, "8\r\ndata: x\n\r\n", Duration::ZERO },
    one_event_that_trickles = { EVENTS, "8\r\ndata: x\n\r\n", TRICKLE },
    failure = { FAILURE, CHUNK, Duration::ZERO },
    failure_that_trickles = { FAILURE, CHUNK, TRICKLE },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_body_without_end_ends_at_the_deadline(
    begin: &'static str,
    unit: &'static str,
    pause: Duration,
) {
    let cluster = cluster(begin, unit, pause).await;
    let call = Call::post("/bookings", "{}").header("x-weir-timeout-ms", SHORT_DEADLINE_MS);
    let before = server_of(&cluster).requests();
    let response = send(&cluster, &call).await;
    assert!(!response.complete, "the connection must be reset");
    assert_eq!(server_of(&cluster).requests(), before + 1, "it ran once");
    wait_closed(&cluster).await;
}

/// Guards against a caller that reads nothing, and holds a slot and a connection of a server as long as
/// it likes.
#[parameterized(own_server = { 1 }, server_of_another_router = { 2 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_caller_that_reads_nothing_holds_no_server_beyond_the_deadline(routers: usize) {
    let cluster = cluster_of(routers, OK, CHUNK, Duration::ZERO).await;
    let owner = cluster.owner_of("service-0").await;
    let router = &cluster.routers[(owner + 1) % routers];
    let mut caller = TcpStream::connect(router.address)
        .await
        .expect("a connection");
    let requests = server_of(&cluster).requests();
    let request = format!(
        "POST /bookings HTTP/1.1\r\nHost: x\r\nX-Weir-Workspace: acme\r\n\
         X-Weir-Timeout-Ms: {SHORT_DEADLINE_MS}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    wait_until("the server has the request", async || {
        server_of(&cluster).requests() > requests
    })
    .await;
    let closed = time::timeout(CLOSE_TIMEOUT, wait_closed(&cluster)).await;
    closed.expect("the connection to the server is closed");
    drop(caller);
}

/// Guards against bytes that are no answer, or no part of one, which a router reads as fast as they
/// come while the request waits for its deadline.
#[parameterized(
    interim_heads = { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    no_http = { "", "\u{1} no answer " },
    headers = { "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n" },
    chunk_extension = { CHUNK_SIZE, ";xxxxxxx" },
    chunk_size = { CHUNKED, "00000000" },
    spaces_after_a_chunk_size = { CHUNK_SIZE, "        " },
    trailers = { LAST_CHUNK, "X-More: 1\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn bytes_that_are_no_answer_end_a_request(begin: &'static str, unit: &'static str) {
    let cluster = cluster(begin, unit, Duration::ZERO).await;
    let (requests, bytes) = (server_of(&cluster).requests(), server_of(&cluster).bytes());
    let call = Call::post("/bookings", "{}").header("x-weir-timeout-ms", "9000");
    let response = send(&cluster, &call).await;
    assert!(response.status != 200 || !response.complete, "{response:?}");
    let is_refused = response.status == 502 && response.error("code") == "backend_failed";
    assert!(is_refused || response.status == 200, "{response:?}");
    wait_closed(&cluster).await;
    assert_eq!(server_of(&cluster).requests(), requests + 1, "it ran once");
    let bytes = server_of(&cluster).bytes() - bytes;
    assert!(bytes < MAX_UNANSWERED_BYTES, "{bytes} bytes");
}

/// A request that is offered to the owner of a service.
fn open() -> Open {
    Open {
        id: request::Id(1),
        attempt: request::Attempt(2),
        workspace: "acme".parse().expect("a name"),
        chat: None,
        pool: "api".parse().expect("a name"),
        server: "service-0".parse().expect("a name"),
        cost: cost::Cost(1),
        priority: request::Priority::default(),
        remaining_ms: 1500,
        terms: Terms::Queued,
        fingerprint: request::Fingerprint(3),
        crashes: SmallVec::new(),
        suspect: false,
        idempotent: false,
        events: false,
        method: String::from("POST"),
        target: String::from("/bookings"),
        headers: Vec::new(),
        length: 1024 * 1024,
    }
}

/// Sends the body of an admitted request in frames of `data` until the owner closes the link.
async fn send_body(mut link: Link, data: &[u8], pause: Duration) -> Result<(), Error> {
    link.writer.send(&hop::Call::Open(Box::new(open()))).await?;
    let reply = link.reader.receive::<Reply>().await?;
    assert!(
        matches!(reply, Frame::Message(Reply::Ready(_))),
        "{reply:?}"
    );
    let payload = [&[hop::DATA], data].concat();
    let (mut socket, mut seals, _) = link.into_parts()?;
    loop {
        let header = seals.writer.header(&[&payload])?;
        socket.write_all(&[&header[..], &payload].concat()).await?;
        time::sleep(pause).await;
    }
}

/// Guards against an entry router that holds a slot of a server beyond the deadline of its request by
/// a body without end.
#[parameterized(
    data = { b"x", TRICKLE },
    no_data = { b"", TRICKLE },
    no_data_at_full_speed = { b"", Duration::ZERO },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_entry_router_cannot_hold_a_slot_beyond_the_deadline(data: &[u8], pause: Duration) {
    let cluster = Cluster::start(Topology::one_zone()).await;
    let key: seal::Key = process::KEY.parse().expect("a key");
    let link = Link::connect(cluster.routers[0].peer, &key).await;
    let sent = send_body(link.expect("a link"), data, pause);
    let sent = time::timeout(HANG, sent).await;
    let sent = sent.expect("the owner closes the link");
    assert!(matches!(sent, Err(Error::Io(_))), "{sent:?}");
    wait_until("the slot is free", async || {
        let status = cluster.status(0).await;
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        engines.iter().all(|engine| engine["in_flight"] == 0)
    })
    .await;
}
