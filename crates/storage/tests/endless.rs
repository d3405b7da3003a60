//! Servers that write without end, and what the HTTP client reads of them.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use standin::flood;
use storage::{Error, http};
use tokio::time;
use yare::parameterized;

/// The deadline of a call, far beyond what any refused response takes.
const DEADLINE: Duration = Duration::from_secs(30);
/// The deadline of a call that is expected to last until then.
const SHORT_DEADLINE: Duration = Duration::from_millis(400);
/// The pause between two units of a response that trickles.
const TRICKLE: Duration = Duration::from_millis(20);
/// How long the client may take to close a connection that it has given up.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The most that one connection may deliver before the final head: what the client reads, the
/// buffers of both sockets, and one more block. The buffers take some MB.
const MAX_UNANSWERED_BYTES: u64 = 16 * 1024 * 1024;
/// The most that a response may have, and as above what the buffers of the sockets take.
const MAX_BODY_BYTES: u64 = (32 + 16) * 1024 * 1024;

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK_SIZE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5";
const CHUNK: &str = "100\r\n\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
    \r\n";
const EXTENSION: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
const TRAILERS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";

async fn start(begin: &'static str, unit: &'static str, pause: Duration) -> flood::Server {
    let response = flood::Response { begin, unit, pause };
    // Nothing is forwarded, so the address of the other server is not used.
    let unused = ([127, 0, 0, 1], 1).into();
    let server = flood::Server::start(unused, &["GET"], response).await;
    server.expect("a port")
}

fn get() -> hyper::Request<Bytes> {
    http::request(Method::GET, "/", Bytes::new()).expect("a valid path")
}

/// Waits until the client has closed all connections.
async fn wait_closed(server: &flood::Server) {
    let closed = async {
        while server.open() > 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let closed = time::timeout(CLOSE_TIMEOUT, closed).await;
    assert!(closed.is_ok(), "{} connections are open", server.open());
}

/// Guards against a server that holds a call up to its deadline with bytes that are no answer, and
/// whose bytes the client reads as long as they come.
#[parameterized(
    interim_heads = { "", INTERIM },
    interim_heads_with_headers = { "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" },
    no_http = { "", "\u{1} no answer " },
    reason_phrase = { "HTTP/1.1 200 O", "KKKKKKKK" },
    one_header = { "HTTP/1.1 200 OK\r\nX-Long: ", "xxxxxxxx" },
    headers = { OK, "X-More: 1\r\n" },
    chunk_extension = { EXTENSION, "xxxxxxxx" },
    chunk_size = { CHUNKED, "00000000" },
    spaces_after_a_chunk_size = { CHUNK_SIZE, "        " },
    trailers = { TRAILERS, "X-More: 1\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn bytes_that_are_no_answer_end_a_call(begin: &'static str, unit: &'static str) {
    let server = start(begin, unit, Duration::ZERO).await;
    let client = http::Client::new(server.address());
    let deadline = time::Instant::now() + DEADLINE;
    let failed = client.read(get(), deadline).await;
    assert!(matches!(failed, Err(Error::MayHaveRun(_))), "{failed:?}");
    assert!(time::Instant::now() < deadline, "{failed:?}");
    wait_closed(&server).await;
    let bytes = server.bytes();
    assert!(bytes < MAX_UNANSWERED_BYTES, "{bytes} bytes");
}

/// Guards against interim responses that extend the deadline of a call, or that the client reads on
/// after it has given the call up.
#[parameterized(call = { false }, read = { true })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn interim_responses_at_any_pace_do_not_extend_a_deadline(is_extensible: bool) {
    let server = start("", INTERIM, TRICKLE).await;
    let client = http::Client::new(server.address());
    let deadline = time::Instant::now() + SHORT_DEADLINE;
    let failed = if is_extensible {
        client.read(get(), deadline).await
    } else {
        client.call(get(), deadline).await
    };
    assert!(matches!(failed, Err(Error::MayHaveRun(_))), "{failed:?}");
    wait_closed(&server).await;
}

/// Guards against a body without end that takes more memory than a router may have.
#[parameterized(
    chunks = { CHUNKED, CHUNK },
    until_close = { "HTTP/1.1 200 OK\r\n\r\n", CHUNK },
    huge_length = { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", CHUNK },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_body_without_end_is_not_read_beyond_its_limit(begin: &'static str, unit: &'static str) {
    let server = start(begin, unit, Duration::ZERO).await;
    let client = http::Client::new(server.address());
    let deadline = time::Instant::now() + DEADLINE;
    let failed = client.read(get(), deadline).await;
    let too_long = Error::MayHaveRun(String::from("the answer is too long"));
    assert_eq!(failed.err(), Some(too_long));
    wait_closed(&server).await;
    let bytes = server.bytes();
    assert!(bytes < MAX_BODY_BYTES, "{bytes} bytes");
}

/// Guards against a body that trickles without end and holds a call as long as it does.
#[parameterized(call = { false }, read = { true })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_body_that_trickles_ends_with_its_call(is_extensible: bool) {
    let server = start(CHUNKED, "1\r\nx\r\n", TRICKLE).await;
    let client = http::Client::new(server.address());
    let deadline = time::Instant::now() + SHORT_DEADLINE;
    let failed = if is_extensible {
        client.read(get(), deadline).await
    } else {
        client.call(get(), deadline).await
    };
    assert!(matches!(failed, Err(Error::MayHaveRun(_))), "{failed:?}");
    wait_closed(&server).await;
}
