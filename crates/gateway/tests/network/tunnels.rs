//! Tests of connections to backend servers through another router.

use std::{future, io, net::SocketAddr, time::Duration};

use gateway::{
    link::Link,
    tunnel::{Client, Error, Open, Stream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};
use units::time::Millis;
use wire::seal::Key;

fn key(byte: u8) -> Key {
    Key::from_bytes([byte; 32])
}

/// Both ends of a tunnel.
async fn pair() -> (Stream, Stream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accept = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        Link::accept(stream, &key(7)).await.expect("a handshake")
    };
    let connect = async { Link::connect(address, &key(7)).await.expect("a link") };
    let (accepted, connected) = tokio::join!(accept, connect);
    let stream = |link| Stream::new(link).expect("a stream");
    (stream(connected), stream(accepted))
}

async fn read_all(stream: &mut Stream) -> (Vec<u8>, io::Result<usize>) {
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes).await;
    (bytes, result)
}

/// Guards against bytes that are lost, repeated or reordered in a tunnel.
#[tokio::test]
async fn a_tunnel_carries_all_bytes_in_both_directions() {
    let (mut router, mut egress) = pair().await;
    let request: Vec<u8> = (0..300_000_u32).map(|index| index as u8).collect();
    let sent = request.clone();
    let send = async {
        router.write_all(&sent).await.expect("a write");
        router.shutdown().await.expect("an end");
        read_all(&mut router).await
    };
    let echo = async {
        let (bytes, result) = read_all(&mut egress).await;
        result.expect("a complete request");
        egress.write_all(&bytes).await.expect("a write");
        egress.shutdown().await.expect("an end");
        // The other end reads until here.
        read_all(&mut egress).await
    };
    let ((response, result), _) = tokio::join!(send, echo);
    assert_eq!(result.expect("a complete response"), request.len());
    assert_eq!(response, request);
}

/// Guards against a response without a length that looks complete because the egress router was
/// killed.
#[tokio::test]
async fn a_tunnel_that_breaks_is_no_end_of_a_response() {
    let (mut router, mut egress) = pair().await;
    egress.write_all(b"half").await.expect("a write");
    drop(egress);
    let (bytes, result) = read_all(&mut router).await;
    assert_eq!(bytes, b"half");
    let error = result.expect_err("no end");
    assert_eq!(error.kind(), io::ErrorKind::UnexpectedEof);
}

/// Guards against a response that looks complete although its server reset the connection.
#[tokio::test]
async fn a_reset_by_the_server_reaches_the_other_end() {
    let (mut router, mut egress) = pair().await;
    egress.write_all(b"half").await.expect("a write");
    egress.reset().await.expect("a frame");
    let (bytes, result) = read_all(&mut router).await;
    assert_eq!(bytes, b"half");
    let error = result.expect_err("no end");
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
}

/// Guards against a slow caller whose response piles up in the routers.
#[tokio::test]
async fn a_reader_that_stops_holds_up_the_writer() {
    let (router, mut egress) = pair().await;
    let chunk = vec![0; 64 * 1024];
    let mut written = 0;
    let writing = async {
        loop {
            egress.write_all(&chunk).await.expect("a write");
            written += chunk.len();
        }
    };
    // Socket buffers take a few megabytes at most.
    drop(time::timeout(Duration::from_millis(500), writing).await);
    assert!(written < 32 * 1024 * 1024, "{written}");
    drop(router);
}

async fn open(address: SocketAddr, key: Key) -> Result<Stream, Error> {
    let open = Open {
        server: "s1".parse().expect("a name"),
        incarnation: 1,
        remaining: Millis(1000),
        is_gated: false,
    };
    let client = Client::new(watch::channel(Some(key)).1);
    client.open(address, &open).await
}

/// Guards against a router that waits for an egress router that accepts connections and then
/// says nothing.
#[tokio::test]
async fn a_silent_egress_router_does_not_provide_a_tunnel() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let silent = tokio::spawn(async move {
        let accepted = listener.accept().await;
        future::pending::<()>().await;
        drop(accepted);
    });
    let opened = open(address, key(7)).await;
    assert!(matches!(opened, Err(Error::Link(_))), "{opened:?}");
    silent.abort();
}

/// Guards against a process without the fleet's key that connects to servers through a router.
#[tokio::test]
async fn a_peer_without_the_key_gets_no_frame() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let egress = async {
        let (stream, _): (TcpStream, _) = listener.accept().await.expect("a connection");
        let mut link = Link::accept(stream, &key(7)).await.expect("both hellos");
        link.reader.receive::<Open>().await.is_err()
    };
    let (is_refused, opened) = tokio::join!(egress, open(address, key(8)));
    assert!(is_refused);
    assert!(opened.is_err());
}
