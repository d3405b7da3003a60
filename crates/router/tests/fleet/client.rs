//! A caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// What a caller got.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub request_id: Option<String>,
    /// What arrived of the body.
    pub body: String,
    /// Whether the body ended as announced.
    pub complete: bool,
}

impl Response {
    /// A field of the error that the answer holds.
    pub fn error(&self, field: &str) -> String {
        let json: Value = serde_json::from_str(&self.body).unwrap_or_default();
        match &json["error"][field] {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        }
    }

    /// The text of a completion that was not streamed.
    pub fn text(&self) -> String {
        let json: Value = serde_json::from_str(&self.body).unwrap_or_default();
        let content = &json["choices"][0]["message"]["content"];
        String::from(content.as_str().unwrap_or_default())
    }

    /// The text of a streamed completion.
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

/// A call that is made up step by step.
#[derive(Clone, Debug)]
pub struct Call {
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
}

impl Call {
    /// A call without a body.
    pub fn get(path: &str) -> Self {
        Self {
            method: "GET",
            path: String::from(path),
            headers: vec![("x-weir-workspace", String::from("acme"))],
            body: String::new(),
        }
    }

    /// A call with a body.
    pub fn post(path: &str, body: &str) -> Self {
        Self {
            method: "POST",
            body: String::from(body),
            ..Self::get(path)
        }
    }

    /// A completion of `prompt` with `tokens` tokens in `chat`.
    pub fn chat(chat: &str, prompt: &str, tokens: u32) -> Self {
        Self::completion(chat, prompt, tokens, false)
    }

    /// The same, streamed.
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

    /// A booking, which must not run twice.
    pub fn booking(key: &str) -> Self {
        Self::post("/bookings", "{}").header("idempotency-key", key)
    }

    /// The call with a header set.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, String::from(value)));
        self
    }

    /// The call without a header.
    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// The call as one line.
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

    /// Makes the call on a connection of its own. `None`: there was no answer.
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
