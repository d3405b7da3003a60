//! The bound on what a server sends before the head of its response.

use std::{future, io::ErrorKind, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use storage::head::{self, Exceeded, Limit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream},
    time,
};

/// The limit of these tests, in bytes.
const LIMIT: u64 = 4096;

/// What fits into the buffer between both ends, in bytes.
const BUFFER_LENGTH: usize = 256 * 1024;

const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";

type Sender = http1::SendRequest<Full<Bytes>>;

/// Connects a client to a server that the test plays.
async fn connect() -> (Sender, Limit, DuplexStream) {
    let (client, server) = tokio::io::duplex(BUFFER_LENGTH);
    let (client, limit) = head::limit(client, LIMIT);
    let (sender, driver) = http1::handshake(TokioIo::new(client))
        .await
        .expect("no bytes are exchanged yet");
    tokio::spawn(async move {
        // Some tests break the connection.
        let _ = driver.await;
    });
    (sender, limit, server)
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::default())
}

/// Reads a request without a body.
async fn receive(server: &mut DuplexStream) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let byte = server.read_u8().await.expect("the request arrives");
        received.push(byte);
    }
}

/// Answers a request with `text`, in one piece.
async fn answer(server: &mut DuplexStream, text: &str) {
    receive(server).await;
    let written = server.write_all(text.as_bytes()).await;
    written.expect("the client reads");
}

fn whole(length: usize) -> String {
    let body = "x".repeat(length);
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Guards against a client that reads interim responses for as long as they come.
#[tokio::test]
async fn interim_responses_without_end_reach_the_limit() {
    let (mut sender, limit, mut server) = connect().await;
    let server = async {
        receive(&mut server).await;
        let mut written = 0;
        while server.write_all(INTERIM.as_bytes()).await.is_ok() {
            written += INTERIM.len();
            tokio::task::yield_now().await;
        }
        written
    };
    let (result, written) = tokio::join!(limit.wait(sender.send_request(request())), server);
    assert_eq!(result.map(|_| ()), Err(Exceeded));
    assert_eq!(limit.received(), LIMIT);
    let most = LIMIT as usize + BUFFER_LENGTH;
    assert!(written <= most, "{written} bytes written, {most} expected");
}

/// Guards against a limit that counts the body of a response whose head comes with it.
#[tokio::test]
async fn a_body_that_comes_with_its_head_is_whole() {
    let (mut sender, limit, mut server) = connect().await;
    let length = 10 * LIMIT as usize;
    let text = whole(length);
    let (response, ()) = tokio::join!(
        limit.wait(sender.send_request(request())),
        answer(&mut server, &text)
    );
    let response = response.expect("the head is short").expect("it is sound");
    let body = response.into_body().collect().await.expect("it is whole");
    assert_eq!(body.to_bytes().len(), length);
}

/// Guards against a limit that refuses the few interim responses of a sound server.
#[tokio::test]
async fn a_response_after_interim_ones_is_whole() {
    let (mut sender, limit, mut server) = connect().await;
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let text = [INTERIM, hints, INTERIM, &whole(5)].concat();
    let (response, ()) = tokio::join!(
        limit.wait(sender.send_request(request())),
        answer(&mut server, &text)
    );
    let response = response.expect("they are few").expect("it is sound");
    let body = response.into_body().collect().await.expect("it is whole");
    assert_eq!(body.to_bytes(), "xxxxx");
}

/// Guards against a connection whose later responses share one limit.
#[tokio::test]
async fn each_response_has_a_limit_of_its_own() {
    let (mut sender, limit, mut server) = connect().await;
    let interim = INTERIM.repeat(LIMIT as usize / INTERIM.len() / 2);
    let text = interim + &whole(5);
    for _ in 0..4 {
        sender.ready().await.expect("the connection is kept");
        let (response, ()) = tokio::join!(
            limit.wait(sender.send_request(request())),
            answer(&mut server, &text)
        );
        let response = response.expect("they are few").expect("it is sound");
        let body = response.into_body().collect().await.expect("it is whole");
        assert_eq!(body.to_bytes(), "xxxxx");
    }
}

/// Guards against a connection that is read on after nobody waits for the response any more.
#[tokio::test(start_paused = true)]
async fn a_response_that_was_given_up_is_not_read_on() {
    let (mut sender, limit, mut server) = connect().await;
    let given_up = time::timeout(
        Duration::from_secs(1),
        limit.wait(sender.send_request(request())),
    );
    let server = async {
        receive(&mut server).await;
        let mut written = 0;
        let bytes = INTERIM.as_bytes().iter().cycle();
        for &byte in bytes.take(LIMIT as usize) {
            if server.write_u8(byte).await.is_err() {
                break;
            }
            written += 1;
            time::sleep(Duration::from_millis(100)).await;
        }
        written
    };
    let (result, written) = tokio::join!(given_up, server);
    assert!(result.is_err(), "the time is up");
    // Ten fit into the second; one more may be written as it ends.
    assert!(written <= 11, "{written} bytes written");
}

/// Guards against a stream that provides bytes after the response was given up.
#[tokio::test(start_paused = true)]
async fn a_stream_ends_when_the_response_is_given_up() {
    let (client, mut server) = tokio::io::duplex(BUFFER_LENGTH);
    let (mut client, limit) = head::limit(client, LIMIT);
    let silent = future::pending::<Result<(), ()>>();
    let reader = tokio::spawn(async move {
        let mut bytes = vec![0; BUFFER_LENGTH];
        let mut read = 0;
        loop {
            match client.read(&mut bytes).await {
                Ok(0) => return (read, None),
                Ok(count) => read += count,
                Err(error) => return (read, Some(error.kind())),
            }
        }
    });
    let given_up = time::timeout(Duration::from_secs(1), limit.wait(silent)).await;
    assert!(given_up.is_err(), "the time is up");
    let late = server.write_all(&[b'x'; BUFFER_LENGTH]).await;
    // Either end may be the first to notice.
    drop(late);
    let ended = time::timeout(Duration::from_secs(1), reader).await;
    let (read, error) = ended.expect("it ends").expect("it does not panic");
    assert_eq!((read, error), (0, Some(ErrorKind::ConnectionAborted)));
}
