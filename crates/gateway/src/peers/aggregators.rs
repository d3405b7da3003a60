//! The choice of the routers that aggregate the loads of a zone.

use std::{collections::BTreeMap, time::Duration};

use units::time::Instant;

use super::sums;
use crate::source::Member;

/// The number of aggregators of a zone, so that one may fail.
pub const AGGREGATORS: usize = 2;
/// How long an aggregator may send no sum before it counts as failed: five rounds of 200
/// ms.
const SUM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a failed aggregator is excluded.
const EXCLUSION: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// When its next sum is due at the latest.
    sum_due: Instant,
    excluded_until: Instant,
}

impl Record {
    /// The record of an aggregator that was sent loads, or sent a sum, at `now`.
    fn awaiting_sum(now: Instant) -> Self {
        Self {
            sum_due: now + SUM_TIMEOUT,
            excluded_until: Instant::ZERO,
        }
    }
}

/// The aggregators of one zone, with a failure detector based on the sums that they send.
///
/// In a large fleet digests between two routers are too rare to detect a failed aggregator
/// by them. Without the sums, a zone would go on sending its loads to a dead router until
/// its gossip timeout, which spans several full cycles.
#[derive(Clone, Debug, Default)]
pub struct Aggregators {
    records: BTreeMap<u32, Record>,
}

impl Aggregators {
    /// Selects the aggregators of `zone`. The selected routers, except `own`, are expected
    /// to send sums from now on.
    pub fn choose<'a>(
        &mut self,
        zone: impl Iterator<Item = &'a Member>,
        own: &Member,
        now: Instant,
    ) -> Vec<&'a Member> {
        let mut members: Vec<_> = zone
            .map(|member| (sums::hash(member.host.as_str()), member))
            .collect();
        members.sort_unstable_by_key(|(hash, _)| *hash);
        let mut chosen = Vec::new();
        for (hash, member) in members {
            if chosen.len() == AGGREGATORS {
                break;
            }
            if member.host == own.host || self.is_eligible(hash, now) {
                chosen.push((hash, member));
            }
        }
        // A router that is no longer sent loads is not expected to send sums.
        self.records.retain(|hash, record| {
            now < record.excluded_until || chosen.iter().any(|(chosen, _)| chosen == hash)
        });
        chosen.into_iter().map(|(_, member)| member).collect()
    }

    /// Whether a router may be selected. Starts the timeout for its first sum.
    fn is_eligible(&mut self, hash: u32, now: Instant) -> bool {
        let new = Record::awaiting_sum(now);
        let record = self.records.entry(hash).or_insert(new);
        if now < record.excluded_until {
            return false;
        }
        if now < record.sum_due {
            return true;
        }
        let was_excluded = record.excluded_until > Instant::ZERO;
        if was_excluded {
            // The exclusion is over, so it may be selected again.
            *record = new;
            return true;
        }
        record.excluded_until = now + EXCLUSION;
        false
    }

    /// Records that a router sent a sum.
    pub fn sum_received(&mut self, hash: u32, now: Instant) {
        if let Some(record) = self.records.get_mut(&hash) {
            *record = Record::awaiting_sum(now);
        }
    }
}
