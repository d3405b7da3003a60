//! Backend servers that write nothing for a while, neither on open nor on new connections, and
//! then go on.

use std::time::Duration;

use standin::{engine, fixed, link, payload, service};
use yare::parameterized;

use crate::{
    client::{Call, Response},
    cluster::{Cluster, Topology, wait_until},
};

/// Time that a server works before each part of its answer. A pause that begins shortly before
/// its end falls on the first check of the server, 3 s after the last byte.
const WORK: Duration = Duration::from_millis(2900);
/// When a short pause begins.
const BEFORE_FIRST_PART: Duration = Duration::from_millis(2750);
/// When a long pause begins.
const WELL_BEFORE_FIRST_PART: Duration = Duration::from_millis(2000);
/// When a pause begins that falls between two parts of an answer.
const BEFORE_SECOND_PART: Duration = Duration::from_millis(2900 + 2750);
const SHORT: Duration = Duration::from_millis(1300);
const LONG: Duration = Duration::from_millis(2500);
/// Longer than the silence after which an idempotent request moves to another server.
const VERY_LONG: Duration = Duration::from_millis(6000);
/// Time after which an idempotent request has left a silent server if another one can take it.
const PAST_MOVE: Duration = Duration::from_secs(11);
/// Log events of a router that gives a server or an answer up.
const LOSS_EVENTS: [&str; 6] = [
    "backend_broken",
    "backend_unreachable",
    "answer_broken",
    "server_away",
    "server_ejected",
    "hop_broken",
];

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    Completion,
    Lookup,
    Booking,
}

impl Kind {
    fn call(self) -> Call {
        match self {
            Self::Stream => Call::stream("c", "hello", 2),
            Self::Completion => Call::chat("c", "hello", 1),
            Self::Lookup => Call::get("/lookups/1"),
            Self::Booking => Call::booking("pickup"),
        }
    }

    fn assert_whole(self, response: &Response) {
        assert_eq!(response.status, 200, "{}", response.body);
        assert!(response.complete, "{}", response.body);
        match self {
            Self::Stream => assert_eq!(response.streamed_text(), payload::text("hello", 2)),
            Self::Completion => assert_eq!(response.text(), payload::text("hello", 1)),
            Self::Lookup => assert!(response.body.contains(&payload::confirmation("/lookups/1"))),
            Self::Booking => assert!(response.body.contains(&payload::confirmation("pickup"))),
        }
    }
}

/// Two zones of one router, one engine and one service each. All servers take [`WORK`] for each
/// part of an answer.
async fn working_cluster() -> Cluster {
    let cluster = Cluster::start(Topology {
        engine: engine::Settings {
            token_interval: WORK,
            ..engine::Settings::default()
        },
        ..Topology::default()
    })
    .await;
    let delay_ms = u64::try_from(WORK.as_millis()).expect("it fits");
    for service in &cluster.services {
        let late = service::Fault::LateAnswer { delay_ms };
        service.handle.set_fault(late);
    }
    cluster
}

fn freeze(cluster: &Cluster) {
    for engine in &cluster.engines {
        engine.handle.set_fault(engine::Fault::Freeze);
    }
    for service in &cluster.services {
        service.handle.set_fault(service::Fault::Freeze);
    }
}

fn thaw(cluster: &Cluster) {
    for engine in &cluster.engines {
        engine.handle.set_fault(engine::Fault::Normal);
    }
    for service in &cluster.services {
        service.handle.set_fault(service::Fault::Normal);
    }
}

/// The number of requests that all servers have received.
fn received(cluster: &Cluster) -> u64 {
    let engines = cluster.engines.iter();
    let engines = engines.map(|engine| engine.handle.counters().requests);
    let services = cluster.services.iter();
    let services = services.map(|service| service.handle.calls());
    engines.chain(services).sum()
}

/// The log lines of a router that gave a server or an answer up.
fn losses(cluster: &Cluster) -> Vec<String> {
    let lines = cluster.routers.iter().flat_map(|router| router.log());
    let is_loss = |line: &String| LOSS_EVENTS.iter().any(|event| line.contains(event));
    lines.filter(is_loss).collect()
}

/// Guards against a router that takes one unanswered check for the loss of a sound server: it cut
/// the answer, marked the server as away and counted a failure.
#[parameterized(
    stream_short = { Kind::Stream, BEFORE_FIRST_PART, SHORT },
    stream_long = { Kind::Stream, WELL_BEFORE_FIRST_PART, LONG },
    stream_between_events_short = { Kind::Stream, BEFORE_SECOND_PART, SHORT },
    stream_between_events_long = { Kind::Stream, BEFORE_SECOND_PART, LONG },
    completion_short = { Kind::Completion, BEFORE_FIRST_PART, SHORT },
    completion_long = { Kind::Completion, WELL_BEFORE_FIRST_PART, LONG },
    lookup_short = { Kind::Lookup, BEFORE_FIRST_PART, SHORT },
    lookup_long = { Kind::Lookup, WELL_BEFORE_FIRST_PART, LONG },
    booking_short = { Kind::Booking, BEFORE_FIRST_PART, SHORT },
    booking_long = { Kind::Booking, WELL_BEFORE_FIRST_PART, LONG },
    // These cannot move.
    stream_between_events_very_long = { Kind::Stream, BEFORE_SECOND_PART, VERY_LONG },
    booking_very_long = { Kind::Booking, WELL_BEFORE_FIRST_PART, VERY_LONG },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_answer_outlasts_a_pause_of_its_server(kind: Kind, begin: Duration, pause: Duration) {
    let cluster = working_cluster().await;
    let address = cluster.routers[0].address;
    let caller = tokio::spawn(async move { kind.call().send(address).await });
    tokio::time::sleep(begin).await;
    freeze(&cluster);
    tokio::time::sleep(pause).await;
    thaw(&cluster);
    let response = caller.await.expect("no panic").expect("a response");
    kind.assert_whole(&response);
    assert_eq!(received(&cluster), 1, "the request ran once");
    assert_eq!(losses(&cluster), Vec::<String>::new());
}

/// Guards against an idempotent request that leaves its server although no other one can take it.
#[parameterized(
    stream = { Kind::Stream },
    completion = { Kind::Completion },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_idempotent_request_waits_for_the_only_server(kind: Kind) {
    let cluster = Cluster::start(Topology::one_zone()).await;
    freeze(&cluster);
    let address = cluster.routers[0].address;
    let caller = tokio::spawn(async move { kind.call().send(address).await });
    tokio::time::sleep(PAST_MOVE).await;
    thaw(&cluster);
    let response = caller.await.expect("no panic").expect("a response");
    kind.assert_whole(&response);
    assert_eq!(received(&cluster), 1, "the request ran once");
    assert_eq!(losses(&cluster), Vec::<String>::new());
}

/// Waits until an engine or a service runs a request, and freezes it for good.
async fn freeze_the_busy_server(cluster: &Cluster) {
    wait_until("a server runs the request", async || received(cluster) > 0).await;
    for engine in &cluster.engines {
        if engine.handle.counters().requests > 0 {
            engine.handle.set_fault(engine::Fault::Freeze);
        }
    }
    for service in &cluster.services {
        if service.handle.calls() > 0 {
            service.handle.set_fault(service::Fault::Freeze);
        }
    }
}

/// Guards against a server that hangs for good and holds idempotent requests up to their
/// deadlines, although another server could answer them.
#[parameterized(
    stream = { Kind::Stream },
    completion = { Kind::Completion },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_idempotent_request_leaves_a_server_that_hangs(kind: Kind) {
    let cluster = working_cluster().await;
    let address = cluster.routers[0].address;
    let caller = tokio::spawn(async move { kind.call().send(address).await });
    freeze_the_busy_server(&cluster).await;
    let response = caller.await.expect("no panic").expect("a response");
    kind.assert_whole(&response);
    assert_eq!(received(&cluster), 2);
}

/// Guards against a booking that is run again, or given up before its deadline, because its server
/// hangs.
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_waits_up_to_its_deadline_for_a_server_that_hangs() {
    let cluster = working_cluster().await;
    let address = cluster.routers[0].address;
    let caller = tokio::spawn(async move { Kind::Booking.call().send(address).await });
    freeze_the_busy_server(&cluster).await;
    let response = caller.await.expect("no panic").expect("a response");
    assert_eq!(response.error("code"), "deadline", "{}", response.body);
    assert_eq!(response.error("verdict"), "may_have_run");
    assert!(cluster.runs("pickup") <= 1);
    assert_eq!(received(&cluster), 1);
}

/// Guards against strikes against a request whose server closes the connection and pauses: an
/// unanswered check does not show a crash. The bookings count as one request, since they have the
/// same body.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_connection_of_a_paused_server_is_no_crash() {
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let service = &mut cluster.services[0];
    let front = fixed::Server::start(service.handle.address(), "POST", b"").await;
    service.front = Some(front.expect("a port"));
    cluster.list_hosts(&[]);
    wait_until("the router has the new address", async || {
        let response = cluster.send(0, &Call::post("/bookings", "{}")).await;
        response.error("code") == "backend_failed"
    })
    .await;
    cluster.services[0].handle.set_fault(service::Fault::Freeze);
    for key in ["first", "second", "third"] {
        let response = cluster.send(0, &Call::booking(key)).await;
        let (code, verdict) = (response.error("code"), response.error("verdict"));
        assert_eq!(code, "backend_failed", "{key}: {}", response.body);
        assert_eq!(verdict, "may_have_run", "{key}: {}", response.body);
    }
}

/// Guards against a stream that ends because its server pauses at the moment when the stream is to
/// be resumed.
#[parameterized(short = { SHORT }, long = { LONG })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_cut_stream_is_resumed_after_a_pause_of_its_server(pause: Duration) {
    const FIELDS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    let first = format!("{FIELDS}Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n");
    let rest = format!("{FIELDS}\r\ndata: b\n\ndata: [DONE]\n\n");
    let mut cluster = Cluster::start(Topology::one_zone()).await;
    let address = cluster.engines[0].handle.address();
    let resumed = fixed::Server::start(address, "GET", rest.as_bytes()).await;
    let resumed = resumed.expect("a port");
    let link = link::Link::start(resumed.address()).await.expect("a port");
    let cut = fixed::Server::start(link.address(), "POST", first.as_bytes()).await;
    cluster.engines[0].front = Some(cut.expect("a port"));
    cluster.list_hosts(&[]);
    let call = Call::stream("c", "hello", 2);
    let whole = "data: a\n\ndata: b\n\ndata: [DONE]\n\n";
    wait_until("the router probes the new address", async || {
        let log = cluster.routers[0].log();
        log.iter().any(|line| line.contains("malformed report"))
    })
    .await;
    link.set_rate(0);
    let router = cluster.routers[0].address;
    let caller = tokio::spawn(async move { call.send(router).await });
    tokio::time::sleep(pause).await;
    link.set_rate(u64::MAX);
    let response = caller.await.expect("no panic").expect("a response");
    assert!(response.complete, "{}", response.body);
    assert_eq!(response.body, whole);
    assert_eq!(losses(&cluster), Vec::<String>::new());
}

/// Guards against the ejection of a server that pauses, for lookups whose deadlines are shorter than
/// the pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_pauses_is_not_ejected() {
    const TIMEOUTS: usize = 4;
    let cluster = Cluster::start(Topology::default()).await;
    cluster.services[0].handle.set_fault(service::Fault::Freeze);
    let lookup = Kind::Lookup.call().header("x-weir-timeout-ms", "100");
    let mut timeouts = 0;
    while timeouts < TIMEOUTS {
        let response = cluster.send(0, &lookup).await;
        timeouts += usize::from(response.status == 504);
    }
    thaw(&cluster);
    // Ejections are published a few times a second.
    for _ in 0..40 {
        let response = cluster.send(0, &Kind::Lookup.call()).await;
        assert_eq!(response.status, 200, "{}", response.body);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let log = cluster.routers[0].log();
    let ejections = log.iter().filter(|line| line.contains("server_ejected"));
    assert_eq!(ejections.count(), 0);
}
