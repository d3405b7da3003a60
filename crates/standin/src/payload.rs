//! Deterministic response payloads, which a client can compute from its request.
//!
//! The load tool computes the same text to detect responses that belong to
//! another request or are truncated.

use xxhash_rust::xxh3;

/// The words of an engine's response to `prompt`, the last message of a chat.
pub fn words(prompt: &str, count: u32) -> impl Iterator<Item = String> {
    let seed = xxh3::xxh3_64(prompt.as_bytes());
    (0..count).map(move |index| {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
        format!("{:08x}", hash >> 32)
    })
}

/// The complete text of an engine's response to `prompt`.
pub fn text(prompt: &str, count: u32) -> String {
    words(prompt, count).collect::<Vec<_>>().join(" ")
}

/// The confirmation code that a plain service returns for the request `id`.
pub fn confirmation(id: &str) -> String {
    format!("{:016x}", xxh3::xxh3_64(id.as_bytes()))
}

/// The number of tokens in `text`: one for each word.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}
