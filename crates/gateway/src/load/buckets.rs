//! Requests in flight at many servers, by ranges of the servers' hashes.

use std::collections::BTreeMap;

/// The number of ranges: a report of half of them takes some 500 bytes, whatever the number
/// of servers is.
pub const COUNT: u16 = 1024;
/// The bits of a server's hash that do not select its range.
const SHIFT: u32 = 24 - COUNT.ilog2();

/// Requests in flight by range of servers' hashes. It covers the servers that are not known
/// one by one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Buckets {
    running: BTreeMap<u16, u32>,
}

/// The range of a server's hash. Hashes out of range, which only input from the network holds,
/// are in the last one.
pub fn of(server: u32) -> u16 {
    u16::try_from(server >> SHIFT).map_or(COUNT - 1, |bucket| bucket.min(COUNT - 1))
}

/// The lowest hash in a range.
pub fn first_hash(bucket: u16) -> u32 {
    u32::from(bucket) << SHIFT
}

impl Buckets {
    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Adds requests to a range.
    pub fn add(&mut self, bucket: u16, running: u32) {
        if running > 0 {
            let sum = self.running.entry(bucket).or_default();
            *sum = sum.saturating_add(running);
        }
    }

    /// Removes requests from a range.
    pub fn subtract(&mut self, bucket: u16, running: u32) {
        if let Some(sum) = self.running.get_mut(&bucket) {
            *sum = sum.saturating_sub(running);
            if *sum == 0 {
                self.running.remove(&bucket);
            }
        }
    }

    /// The requests in a range.
    pub fn running(&self, bucket: u16) -> u32 {
        self.running.get(&bucket).copied().unwrap_or(0)
    }

    /// All ranges with requests.
    pub fn iter(&self) -> impl Iterator<Item = (u16, u32)> {
        self.running
            .iter()
            .map(|(&bucket, &running)| (bucket, running))
    }

    /// Divides the requests of each range evenly among its `servers`, given by their hashes.
    /// Returns the requests of one server by range, rounded up.
    pub fn shares(&self, servers: impl Iterator<Item = u32>) -> BTreeMap<u16, u32> {
        let mut counts: BTreeMap<u16, u32> = BTreeMap::new();
        for server in servers {
            *counts.entry(of(server)).or_default() += 1;
        }
        let shares = counts
            .into_iter()
            .map(|(bucket, count)| (bucket, self.running(bucket).div_ceil(count)));
        shares.filter(|(_, share)| *share > 0).collect()
    }
}
