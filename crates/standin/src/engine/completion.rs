//! Parsing of chat completion requests.

use serde::Deserialize;
use units::{chat, request::Priority, workspace};
use xxhash_rust::xxh3;

use crate::{engine::cache::Block, http, payload};

/// The number of output tokens if the request has no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;
/// The maximum number of output tokens.
const MAX_TOKENS: u32 = 4096;
/// The number of hexadecimal digits of a chat key.
const KEY_DIGITS: usize = 16;

/// One message of the chat.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Message {
    role: String,
    content: String,
}

/// The body of a chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Body {
    #[serde(default)]
    pub(super) model: String,
    messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u32>,
}

/// The headers of a chat completion request that the engine uses.
#[derive(Clone, Debug)]
pub(super) struct Headers {
    pub(super) attempt: String,
    pub(super) chat: chat::Key,
    pub(super) priority: Priority,
}

impl Headers {
    /// Reads the headers of `request`. Without an attempt header, a random attempt id is used.
    pub(super) fn read(request: &http::Request) -> Self {
        let attempt = http::header(request, "x-weir-attempt").map(String::from);
        let chat = http::header(request, "x-weir-chat").unwrap_or_default();
        let workspace = http::header(request, "x-weir-workspace").unwrap_or_default();
        let priority = match http::header(request, "x-weir-priority") {
            Some("batch") => Priority::Batch,
            Some("interactive") => Priority::Interactive,
            _ => Priority::Normal,
        };
        Self {
            attempt: attempt.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>())),
            chat: chat_key(workspace, chat),
            priority,
        }
    }
}

/// The chat key that `chat` encodes in hexadecimal, or else the key derived from `chat` as a
/// client-chosen name.
fn chat_key(workspace: &str, chat: &str) -> chat::Key {
    if let Some(key) = parse_key(chat) {
        return key;
    }
    match workspace.parse::<workspace::Id>() {
        Ok(workspace) => chat::Key::new(&workspace, chat),
        Err(_) => chat::Key(xxh3::xxh3_64(chat.as_bytes())),
    }
}

/// Parses a chat key of 16 hexadecimal digits.
pub(super) fn parse_key(text: &str) -> Option<chat::Key> {
    let digits = Some(text).filter(|text| text.len() == KEY_DIGITS)?;
    u64::from_str_radix(digits, 16).ok().map(chat::Key)
}

impl Body {
    /// The number of output tokens.
    pub(super) fn output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS)
    }

    /// The last message, from which the response is computed.
    pub(super) fn prompt(&self) -> &str {
        self.messages.last().map_or("", |m| m.content.as_str())
    }

    /// The messages as prefix blocks.
    pub(super) fn blocks(&self) -> Vec<Block> {
        let messages = self.messages.iter();
        messages.map(|m| block(&m.role, &m.content)).collect()
    }

    /// The prefix blocks of the chat including the reply, with which the next request starts.
    pub(super) fn blocks_with_reply(&self, reply: &str) -> Vec<Block> {
        let mut blocks = self.blocks();
        blocks.push(block("assistant", reply));
        blocks
    }

    /// Whether any message contains `marker`.
    pub(super) fn has_marker(&self, marker: &str) -> bool {
        self.messages.iter().any(|m| m.content.contains(marker))
    }
}

fn block(role: &str, content: &str) -> Block {
    Block {
        hash: xxh3::xxh3_64_with_seed(content.as_bytes(), xxh3::xxh3_64(role.as_bytes())),
        tokens: payload::count_tokens(content),
    }
}
