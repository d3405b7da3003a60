//! An HTTP client for requests to a stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// A response, read to its end or up to a connection error.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub text: String,
    pub is_complete: bool,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("the response body is JSON")
    }

    pub fn attempt(&self) -> &str {
        self.headers["x-weir-attempt"]
            .to_str()
            .expect("the attempt id is ASCII")
    }

    /// The completion text in the received events.
    pub fn streamed_text(&self) -> String {
        let events = self.text.split("\n\n").filter(|event| !event.is_empty());
        let events = events.map(|event| event.strip_prefix("data: ").expect("SSE data prefix"));
        let pieces = events.filter(|data| *data != "[DONE]");
        let pieces =
            pieces.map(|data| serde_json::from_str::<Value>(data).expect("valid JSON data"));
        let deltas = pieces.map(|p| p["choices"][0]["delta"]["content"].clone());
        deltas
            .filter_map(|d| d.as_str().map(String::from))
            .collect()
    }

    pub fn is_done(&self) -> bool {
        self.text.ends_with("data: [DONE]\n\n")
    }
}

/// A connection to a stand-in.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request. Returns `None` if the connection closed without a response.
    pub async fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Option<Response> {
        let mut request = Request::builder().method(method).uri(path);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let response = self
            .sender
            .send_request(request.body(body).expect("the request is valid"))
            .await;
        let (head, mut body) = response.ok()?.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    bytes.extend_from_slice(&frame.into_data().expect("no trailers are sent"))
                }
                Err(_) => is_complete = false,
            }
        }
        Some(Response {
            status: head.status,
            headers: head.headers,
            text: String::from_utf8(bytes).expect("response bodies are UTF-8"),
            is_complete,
        })
    }
}

/// Sends a request over a new connection.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<Response> {
    let mut connection = Connection::open(address).await?;
    connection.send(method, path, headers, body).await
}
