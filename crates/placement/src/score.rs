//! Scores of weighted rendezvous hashing.
//!
//! Only IEEE 754 additions, multiplications and divisions are used, whose
//! results are identical on every machine. The C library's logarithm may differ
//! in the last bit between machines, and two routers with different results
//! would send the same chat to different servers.

use units::chat;
use xxhash_rust::xxh3;

/// Coefficients of the odd powers in the Taylor series of the inverse hyperbolic
/// tangent.
const ATANH_COEFFICIENTS: [f64; 6] = [1.0, 1.0 / 3.0, 1.0 / 5.0, 1.0 / 7.0, 1.0 / 9.0, 1.0 / 11.0];

/// The number of 64-bit hashes, 2^64.
const HASH_COUNT: f64 = 18_446_744_073_709_551_616.0;

/// The hash of a chat and a server; `server` is the hash of the server's name.
pub fn pair_hash(chat: chat::Key, server: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chat.0.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}

/// The score of a server of `weight`, computed from [`pair_hash`]; the lowest
/// score ranks first.
///
/// The score is exponentially distributed with the weight as its rate, so a
/// server ranks first with a probability proportional to its weight.
pub fn weighted(hash: u64, weight: u32) -> f64 {
    -logarithm(hash) / f64::from(weight.max(1))
}

/// The natural logarithm of `(hash + 1) / 2^64`.
fn logarithm(hash: u64) -> f64 {
    let value = hash.saturating_add(1);
    let zeros = value.leading_zeros();
    let mantissa = (value << zeros) as f64 / HASH_COUNT;
    let ratio = (mantissa - 1.0) / (mantissa + 1.0);
    let square = ratio * ratio;
    let series = ATANH_COEFFICIENTS
        .iter()
        .rev()
        .fold(0.0, |sum, coefficient| sum * square + coefficient);
    2.0 * ratio * series - f64::from(zeros) * std::f64::consts::LN_2
}
