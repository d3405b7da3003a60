//! The HTTP routes of an engine.

use std::{sync::Arc, time::Duration};

use hyper::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    engine::{
        Fault, Fenced,
        cache::Block,
        completion,
        fault::Effects,
        generation::{End, Generation, Stage, Usage},
        simulator::Simulator,
    },
    http, payload, process, server,
};

/// The header with the attempt id, which the response echoes.
const ATTEMPT: &str = "x-weir-attempt";
/// The attempt id that a crossed response echoes.
const OTHER_ATTEMPT: &str = "ffffffffffffffff";
/// Maximum number of events buffered for a slow client.
const EVENT_BUFFER: usize = 16;

/// The exported KV cache of a chat.
#[derive(Deserialize, Serialize)]
struct ExportedPrefix {
    blocks: Vec<Block>,
}

impl Simulator {
    async fn complete(
        self: &Arc<Self>,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        let head = completion::Headers::read(&request);
        let body = match http::read_json::<completion::Body>(request).await? {
            Ok(body) => body,
            Err(malformed) => return Ok(malformed),
        };
        if !self.serves(&body.model) {
            return Ok(http::error(
                StatusCode::NOT_FOUND,
                "the model is not loaded",
            ));
        }
        let is_stream = body.stream;
        let effects = self.next_effects(is_stream);
        if effects.refused {
            return Ok(http::error(StatusCode::SERVICE_UNAVAILABLE, "refused"));
        }
        let tokens = body.output_tokens();
        let generation = self.start_generation(head, body);
        generation.wait_for_first_token().await;
        process::pause(Duration::from_millis(effects.late_ms)).await;
        self.wait_until_unfrozen().await;
        if effects.crossed {
            return self.crossed_response(tokens, is_stream);
        }
        if is_stream {
            return Ok(self.stream_response(&generation, 0, stream_end(effects, tokens)));
        }
        let (text, usage) = generation.wait_for_completion().await?;
        self.wait_until_unfrozen().await;
        Ok(with_attempt_header(
            &generation.attempt,
            completion_response(&generation, &text, usage),
        ))
    }

    /// The response to another request.
    fn crossed_response(
        self: &Arc<Self>,
        tokens: u32,
        is_stream: bool,
    ) -> Result<http::Response, http::Disconnected> {
        let other = Arc::new(Generation::new(String::from(OTHER_ATTEMPT), String::new()));
        for word in payload::words(OTHER_ATTEMPT, tokens) {
            other.push(word);
        }
        other.end(Stage::Done(Usage::default()));
        if is_stream {
            return Ok(self.stream_response(&other, 0, End::Complete));
        }
        let text = payload::text(OTHER_ATTEMPT, tokens);
        Ok(with_attempt_header(
            OTHER_ATTEMPT,
            completion_response(&other, &text, Usage::default()),
        ))
    }

    fn stream_response(
        self: &Arc<Self>,
        generation: &Arc<Generation>,
        from: usize,
        end: End,
    ) -> http::Response {
        let (chunks, body) = mpsc::channel(EVENT_BUFFER);
        let streamed = Arc::clone(generation);
        self.control
            .spawn(async move { streamed.send_to(from, end, chunks).await });
        with_attempt_header(&generation.attempt, http::event_stream(body))
    }

    fn resume(self: &Arc<Self>, attempt: &str, request: &http::Request) -> http::Response {
        let Some(generation) = self.stream(attempt) else {
            return http::error(StatusCode::NOT_FOUND, "no such stream");
        };
        let from = http::numeric_parameter(request, "from", 0);
        self.stream_response(&generation, from, End::Complete)
    }

    fn cancel(&self, attempt: &str) -> http::Response {
        let Some(generation) = self.stream(attempt) else {
            return http::error(StatusCode::NOT_FOUND, "no such request");
        };
        generation.end(Stage::Cancelled);
        http::json(StatusCode::OK, &serde_json::json!({}))
    }

    async fn post_order(
        &self,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        let order = match http::read_json::<Fenced>(request).await? {
            Ok(order) => order,
            Err(malformed) => return Ok(malformed),
        };
        Ok(match self.execute_order(order).await {
            Ok(()) => http::json(StatusCode::OK, &serde_json::json!({})),
            Err(stale) => http::json(StatusCode::CONFLICT, &stale),
        })
    }

    fn export(&self, chat: &str) -> http::Response {
        let blocks =
            completion::parse_key(chat).and_then(|chat| self.with_cache(|c| c.blocks_of(chat)));
        match blocks {
            Some(blocks) => http::json(StatusCode::OK, &ExportedPrefix { blocks }),
            None => http::error(StatusCode::NOT_FOUND, "not in the cache"),
        }
    }

    async fn import(
        &self,
        chat: &str,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        let Some(chat) = completion::parse_key(chat) else {
            return Ok(http::error(
                StatusCode::BAD_REQUEST,
                "16 hex digits are allowed",
            ));
        };
        let exported = match http::read_json::<ExportedPrefix>(request).await? {
            Ok(exported) => exported,
            Err(malformed) => return Ok(malformed),
        };
        let now = std::time::Instant::now();
        self.with_cache(|cache| cache.store(chat, exported.blocks, now));
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }

    async fn put_fault(
        &self,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match http::read_json::<Fault>(request).await? {
            Ok(fault) => self.set_fault(fault, Some(connection)),
            Err(malformed) => return Ok(malformed),
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }

    async fn route(
        self: &Arc<Self>,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        let path = String::from(request.uri().path());
        let (first, rest) = path[1..].split_once('/').unwrap_or((&path[1..], ""));
        match (request.method().as_str(), first, rest) {
            ("POST", "v1", "chat/completions") => self.complete(request).await,
            // The load tool may send requests directly to an engine, and first waits for
            // readiness.
            ("GET", "readyz", "") => Ok(http::json(StatusCode::OK, &serde_json::json!({}))),
            ("GET", "load", "") => Ok(http::json(StatusCode::OK, &self.load())),
            ("GET", "cache", "events") => {
                let events = self.cache_events(http::numeric_parameter(&request, "after", 0));
                Ok(http::json(StatusCode::OK, &events))
            }
            ("DELETE", "requests", attempt) => Ok(self.cancel(attempt)),
            ("GET", "streams", attempt) => Ok(self.resume(attempt, &request)),
            ("POST", "orders", "") => self.post_order(request).await,
            ("GET", "orders", "") => Ok(http::json(StatusCode::OK, &self.executed())),
            ("GET", "kv", chat) => Ok(self.export(chat)),
            ("PUT", "kv", chat) => self.import(chat, request).await,
            _ => Ok(http::error(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

impl server::Application for Simulator {
    async fn handle(
        self: Arc<Self>,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/fault") => return self.put_fault(request, connection).await,
            (&Method::GET, "/counters") => {
                return Ok(http::json(StatusCode::OK, &self.counters()));
            }
            _ => {}
        }
        self.wait_until_unfrozen().await;
        self.route(request).await
    }
}

/// How a stream of `tokens` words ends under `effects`.
fn stream_end(effects: Effects, tokens: u32) -> End {
    let middle = tokens as usize / 2;
    if effects.cut {
        return End::Disconnect(middle);
    }
    if effects.short {
        return End::Truncated(middle);
    }
    End::Complete
}

fn completion_response(generation: &Generation, text: &str, usage: Usage) -> http::Response {
    let response = serde_json::json!({
        "id": generation.attempt, "object": "chat.completion", "model": generation.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": usage,
    });
    http::json(StatusCode::OK, &response)
}

fn with_attempt_header(attempt: &str, mut response: http::Response) -> http::Response {
    if let Ok(value) = header::HeaderValue::from_str(attempt) {
        response.headers_mut().insert(ATTEMPT, value);
    }
    response
}
