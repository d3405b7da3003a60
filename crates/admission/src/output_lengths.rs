//! Expected output lengths, based on completed requests.

use std::collections::BTreeMap;

use units::{cost::Cost, workspace};

/// Maximum number of (workspace, route) pairs stored.
const MAX_ENTRIES: usize = 4096;
/// Divisor of the moving average: the newest sample has the weight one over this.
const SAMPLE_WEIGHT_DIVISOR: u64 = 8;

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u64,
    last_used: u64,
}

/// Expected number of output tokens by workspace and route.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    entries: BTreeMap<(workspace::Id, String), Entry>,
    fallback: Cost,
    /// Number of samples recorded, as a logical clock for `Entry::last_used`.
    record_count: u64,
}

impl OutputLengths {
    /// Creates an empty map that returns `fallback` until requests complete.
    pub fn new(fallback: Cost) -> Self {
        Self {
            entries: BTreeMap::new(),
            fallback,
            record_count: 0,
        }
    }

    /// Expected output of a request, capped at the caller's output limit.
    pub fn expected(
        &self,
        workspace: &workspace::Id,
        route: &str,
        max_output: Option<Cost>,
    ) -> Cost {
        let key = (workspace.clone(), String::from(route));
        let entry = self.entries.get(&key);
        let expected = entry.map_or(self.fallback, |entry| Cost(entry.tokens));
        max_output.map_or(expected, |max_output| expected.min(max_output))
    }

    /// Records the output length of a completed request.
    pub fn record(&mut self, workspace: &workspace::Id, route: &str, output: Cost) {
        self.record_count += 1;
        let key = (workspace.clone(), String::from(route));
        let last_used = self.record_count;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.tokens = (entry.tokens * (SAMPLE_WEIGHT_DIVISOR - 1) + output.0)
                .div_ceil(SAMPLE_WEIGHT_DIVISOR);
            entry.last_used = last_used;
            return;
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.evict_older_half();
        }
        let tokens = output.0;
        self.entries.insert(key, Entry { tokens, last_used });
    }

    /// Evicts the least recently updated half, so that the cost of an eviction is
    /// amortized over many inserts.
    fn evict_older_half(&mut self) {
        let mut last_uses: Vec<u64> = self.entries.values().map(|entry| entry.last_used).collect();
        let middle = last_uses.len() / 2;
        let (_, &mut median, _) = last_uses.select_nth_unstable(middle);
        self.entries.retain(|_, entry| entry.last_used >= median);
    }

    /// Number of (workspace, route) pairs stored.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request has been recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
