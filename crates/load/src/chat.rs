//! Callers that hold chats: each message follows after a pause and repeats the history of its chat.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use hyper::Method;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time;

use crate::{
    balancer::Balancer,
    call::{Call, Expected},
    outcome::Outcome,
    report::{self, Kind},
    retry,
    settings::Settings,
    traffic,
};

/// Stream of the random number generators of chats.
const RNG_STREAM: u64 = 1;
/// On average, one request in this many requests its response in one piece instead of a stream.
const NON_STREAMING_ONE_IN: u32 = 8;

/// A message of a chat.
#[derive(Clone, Debug, Serialize)]
pub struct Message {
    /// `user` or `assistant`.
    pub role: &'static str,
    /// Text of the message.
    pub content: String,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    model: &'a str,
    messages: &'a [Message],
    stream: bool,
    max_tokens: u32,
}

/// A call that requests the response to `messages`.
pub fn call(
    settings: &Settings,
    workspace: &str,
    chat: &str,
    messages: &[Message],
    stream: bool,
) -> Call {
    let body = RequestBody {
        model: &settings.model,
        messages,
        stream,
        max_tokens: settings.tokens,
    };
    let text = expected_response(settings, messages);
    let mut headers = traffic::headers(settings, workspace);
    traffic::add_header(&mut headers, "x-weir-chat", chat);
    Call {
        method: Method::POST,
        path: String::from("/v1/chat/completions"),
        headers,
        body: Bytes::from(serde_json::to_vec(&body).unwrap_or_default()),
        expected: if stream {
            Expected::Stream(text)
        } else {
            Expected::Completion(text)
        },
    }
}

/// The response that the stand-in engine gives to `messages`.
fn expected_response(settings: &Settings, messages: &[Message]) -> String {
    let prompt = messages.last().map_or("", |m| m.content.as_str());
    standin::payload::text(prompt, settings.tokens)
}

/// Simulates a caller that holds one chat after another until `end`.
pub async fn run_caller(
    settings: Arc<Settings>,
    balancer: Arc<Balancer>,
    records: report::Sender,
    caller: u32,
    end: Instant,
) {
    let mut rng = traffic::rng(&settings, RNG_STREAM, caller);
    for round in 0_u32.. {
        let workspace = String::from(traffic::workspace(&settings, &mut rng));
        let mut chat = Chat {
            name: format!("chat-{caller}-{round}"),
            workspace,
            messages: Vec::new(),
        };
        for turn in 0..settings.turns {
            time::sleep(traffic::pause(settings.pause, &mut rng)).await;
            if Instant::now() >= end {
                return;
            }
            chat.send_message(&settings, &balancer, &records, &mut rng, turn)
                .await;
        }
    }
}

struct Chat {
    name: String,
    workspace: String,
    messages: Vec<Message>,
}

impl Chat {
    /// Sends the next message and adds the response to the history of the chat.
    ///
    /// If the message is not served, it is removed from the history.
    async fn send_message(
        &mut self,
        settings: &Settings,
        balancer: &Balancer,
        records: &report::Sender,
        rng: &mut ChaCha8Rng,
        turn: u32,
    ) {
        let words = traffic::words(settings.words, rng);
        self.messages.push(Message {
            role: "user",
            content: format!("{} turn {turn} {words}", self.name),
        });
        let is_stream = !rng.random_ratio(1, NON_STREAMING_ONE_IN);
        let call = call(
            settings,
            &self.workspace,
            &self.name,
            &self.messages,
            is_stream,
        );
        let sample = retry::send(&call, balancer, settings).await;
        match sample.outcome {
            Outcome::Served(_) => self.messages.push(Message {
                role: "assistant",
                content: expected_response(settings, &self.messages),
            }),
            _ => drop(self.messages.pop()),
        }
        records.send(Kind::Chat, &self.name, sample);
    }
}
