//! Backend servers that write without end.

use std::time::Duration;

use standin::endless;
use tokio::time;
use yare::parameterized;

use crate::{
    client::{Call, Response},
    cluster::{Cluster, Topology, wait_until},
};

/// The deadline of a call that is expected to last until then, in milliseconds.
const SHORT_DEADLINE_MS: &str = "1500";
/// How long a call may take before it counts as held without end.
const HANG: Duration = Duration::from_secs(30);
/// The pause between two units of a response that trickles.
const TRICKLE: Duration = Duration::from_millis(20);

const OK: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK: &str = "8\r\nxxxxxxxx\r\n";

/// A deployment of one router and one service, which answers bookings without end.
async fn cluster(begin: &'static str, unit: &'static str, pause: Duration) -> Cluster {
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let service = &mut cluster.services[0];
    let response = endless::Response { begin, unit, pause };
    let server = endless::Server::start(service.handle.address(), &["POST"], response);
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

fn server_of(cluster: &Cluster) -> &endless::Server {
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
