//! An HTTP client that acts as a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// The response that a caller received.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub request_id: Option<String>,
    /// The received part of the body.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl Response {
    /// Returns a field of the error in the body.
    pub fn error(&self, field: &str) -> String {
        let json: Value = serde_json::from_str(&self.body).unwrap_or_default();
        match &json["error"][field] {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    /// Returns the text of a completion that was not streamed.
    pub fn text(&self) -> String {
        let json: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let content = &json["choices"][0]["message"]["content"];
        String::from(content.as_str().unwrap_or_default())
    }

    /// Returns the text of a streamed completion.
    pub fn streamed_text(&self) -> String {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| {
                let content = &event["choices"][0]["delta"]["content"];
                content.as_str().map(String::from)
            })
            .collect()
    }
}

/// A request builder.
#[derive(Clone, Debug)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    /// Creates a GET request.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: String::from(path),
            headers: vec![("x-weir-workspace", String::from("acme"))],
            body: String::new(),
        }
    }

    /// Creates a POST request.
    pub fn post(path: &str, body: &str) -> Self {
        Self {
            method: "POST",
            body: String::from(body),
            ..Self::get(path)
        }
    }

    /// Creates a completion request for `prompt` in `chat`, with at most `tokens`
    /// output tokens.
    pub fn chat(chat: &str, prompt: &str, tokens: u32) -> Self {
        Self::completion(chat, prompt, tokens, false)
    }

    /// Like [`Call::chat`], with a streamed response.
    pub fn stream(chat: &str, prompt: &str, tokens: u32) -> Self {
        Self::completion(chat, prompt, tokens, true)
    }

    fn completion(chat: &str, prompt: &str, tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": "m",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        Self::post("/v1/chat/completions", &body.to_string()).header("x-weir-chat", chat)
    }

    /// Creates a booking request with an idempotency key, which must not run twice.
    pub fn booking(key: &str) -> Self {
        Self::post("/bookings", "{}").header("idempotency-key", key)
    }

    /// Sets a header.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, String::from(value)));
        self
    }

    /// Removes a header.
    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// Formats the request as one line.
    pub fn line(&self) -> String {
        let headers = self.headers.iter();
        let headers: Vec<String> = headers
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let line = format!(
            "{} {} {} {}",
            self.method,
            self.path,
            headers.join(" "),
            self.body
        );
        String::from(line.trim_end())
    }

    /// Sends the request over a new connection. Returns `None` if no response was
    /// received.
    pub async fn send(&self, address: SocketAddr) -> Option<Response> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        let mut request = Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header("host", address.to_string());
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        let request = request.body(body).expect("a valid request");
        let response = sender.send_request(request).await.ok()?;
        let text = |name: &str| {
            let value = response.headers().get(name)?.to_str().ok()?;
            Some(String::from(value))
        };
        let mut result = Response {
            status: response.status().as_u16(),
            request_id: text("x-request-id"),
            body: String::new(),
            complete: true,
        };
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            match frame.map(hyper::body::Frame::into_data) {
                Ok(Ok(data)) => result.body.push_str(&String::from_utf8_lossy(&data)),
                Ok(Err(_)) => {}
                Err(_) => result.complete = false,
            }
        }
        Some(result)
    }
}
