//! Answers that a caller can derive from its own request.
//!
//! The load tool computes the same text and so notices an answer that is
//! another caller's or that is cut short.

use xxhash_rust::xxh3;

/// The words that an engine answers to `prompt`, the last message of a chat.
pub fn words(prompt: &str, count: u32) -> impl Iterator<Item = String> {
    let seed = xxh3::xxh3_64(prompt.as_bytes());
    (0..count).map(move |index| {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
        format!("{:08x}", hash >> 32)
    })
}

/// The whole text that an engine answers to `prompt`.
pub fn text(prompt: &str, count: u32) -> String {
    words(prompt, count).collect::<Vec<_>>().join(" ")
}

/// What a plain service answers to the call that `id` names.
pub fn confirmation(id: &str) -> String {
    format!("{:016x}", xxh3::xxh3_64(id.as_bytes()))
}

/// How many tokens `text` has: its words.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
