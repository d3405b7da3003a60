//! Tests of responses that do not end.

use std::net::SocketAddr;

use standin::{
    endless::{Endless, Part},
    engine, platform, service,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use yare::parameterized;

use crate::client;

/// More than one write, and more than any whole response of a stand-in here.
const ENOUGH_BYTES: usize = 100_000;

/// Guards against a fault that ends by itself, or that its own end does not reach.
#[parameterized(
    head = { Part::Head, "HTTP/1.1 200 OK\r\nx-more: 1\r\nx-more: 1\r\n" },
    interim = { Part::Interim, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" },
    body = { Part::Body, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nxxxxxxxx\r\n8\r\n" },
)]
#[test_macro(tokio::test)]
async fn a_response_does_not_end(part: Part, begin: &str) {
    let endless = Endless {
        part,
        bytes: 1024,
        interval_ms: 0,
    };
    let engine = engine::start(engine::Settings::default()).await.unwrap();
    engine.set_fault(engine::Fault::Endless(endless));
    let service = service::start(service::Settings::default()).await.unwrap();
    service.set_fault(service::Fault::Endless(endless));
    let platform = platform::start(platform::Settings::default())
        .await
        .unwrap();
    platform.set_fault(platform::Fault::Endless(endless));
    for address in [engine.address(), service.address(), platform.address()] {
        let text = read(address).await;
        assert!(text.starts_with(begin), "{}", &text[..200]);
        assert!(text.len() >= ENOUGH_BYTES);
        let normal = r#"{"kind":"normal"}"#;
        let cleared = client::send(address, "POST", "/fault", &[], normal).await;
        assert_eq!(cleared.unwrap().status, 200);
        let whole = client::send(address, "GET", "/load", &[], "").await;
        assert!(whole.unwrap().is_complete);
    }
}

/// A fault as scripts send it, with the defaults of its fields.
#[test]
fn fields_have_defaults() {
    let text = r#"{"kind":"endless","part":"interim"}"#;
    let expected = Endless {
        part: Part::Interim,
        bytes: 1024,
        interval_ms: 0,
    };
    let fault: service::Fault = serde_json::from_str(text).unwrap();
    assert_eq!(fault, service::Fault::Endless(expected));
    let fault: engine::Fault = serde_json::from_str(text).unwrap();
    assert_eq!(fault, engine::Fault::Endless(expected));
    let fault: platform::Fault = serde_json::from_str(text).unwrap();
    assert_eq!(fault, platform::Fault::Endless(expected));
}

/// The first bytes of a response.
async fn read(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = "GET /load HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("a write");
    let mut bytes = Vec::new();
    while bytes.len() < ENOUGH_BYTES {
        assert_ne!(
            stream.read_buf(&mut bytes).await.expect("bytes"),
            0,
            "an end"
        );
    }
    String::from_utf8(bytes).expect("text")
}
