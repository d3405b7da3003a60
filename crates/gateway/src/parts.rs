//! The parts of a prompt that requests share, as far as they tell why servers crash.

use std::{collections::BTreeSet, fmt};

pub use recovery::quarantine::Chain;
use units::{pool, request};
use xxhash_rust::xxh3;

use crate::pool::Part;

/// The most parts that a log line names.
const MAX_LOGGED: usize = 4;

/// The parts of a prompt for the service `pool` that other requests may share: all but the last.
///
/// A part that crashes the servers of one service may be harmless to those of another.
pub fn shared(pool: &pool::Id, parts: &[Part]) -> Chain {
    let Some((_, shared)) = parts.split_last() else {
        return Chain::new();
    };
    let seed = xxh3::xxh3_64(pool.as_str().as_bytes());
    let mut seen = BTreeSet::new();
    let hashes = shared
        .iter()
        .map(|part| xxh3::xxh3_64_with_seed(&part.key.0.to_le_bytes(), seed));
    hashes
        .filter(|hash| seen.insert(*hash))
        .map(request::Part)
        .collect()
}

/// A list of parts for log lines, which is cut off if it is long.
#[derive(Clone, Copy, Debug)]
pub struct List<'a>(pub &'a [request::Part]);

impl fmt::Display for List<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        for (index, part) in self.0.iter().take(MAX_LOGGED).enumerate() {
            let separator = if index > 0 { "," } else { "" };
            write!(f, "{separator}{part}")?;
        }
        match self.0.len().checked_sub(MAX_LOGGED) {
            Some(more) if more > 0 => write!(f, ",and_{more}_more"),
            _ => Ok(()),
        }
    }
}
