//! Which routers of a zone add up what all of it have in flight.

use std::{collections::BTreeMap, time::Duration};

use units::time::Instant;

use super::sums;
use crate::source::Member;

/// How many routers of a zone add up, so that one may die.
pub const AGGREGATORS: usize = 2;
/// How long a router that is told loads may tell no sum: five rounds of 200 ms.
const SUM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long one that told none is passed over.
const EXCLUSION: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
struct Record {
    /// When it has to have told a sum.
    sum_due: Instant,
    excluded_until: Instant,
}

impl Record {
    /// It was told loads, or told a sum, at `now`.
    fn awaiting_sum(now: Instant) -> Self {
        Self {
            sum_due: now + SUM_TIMEOUT,
            excluded_until: Instant::ZERO,
        }
    }
}

/// The routers of one zone that are told loads, and whether they tell sums in return.
///
/// In a large fleet a router hears each other one too seldom to notice by that
/// that it died. One that adds up is noticed by its own sums: were it not, the
/// loads of its zone would go to a dead router for as long as all others take
/// to have their turn.
#[derive(Clone, Debug, Default)]
pub struct Aggregators {
    records: BTreeMap<u32, Record>,
}

impl Aggregators {
    /// The routers of `zone` that add up. Those that are chosen are expected to
    /// tell sums from now on, except `own`.
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
        // One that is not told loads any more owes no sum.
        self.records.retain(|hash, record| {
            now < record.excluded_until || chosen.iter().any(|(chosen, _)| chosen == hash)
        });
        chosen.into_iter().map(|(_, member)| member).collect()
    }

    /// Whether a router may add up. It is asked of those that are told loads.
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
            // It gets another chance.
            *record = new;
            return true;
        }
        record.excluded_until = now + EXCLUSION;
        false
    }

    /// A router told a sum.
    pub fn sum_received(&mut self, hash: u32, now: Instant) {
        if let Some(record) = self.records.get_mut(&hash) {
            *record = Record::awaiting_sum(now);
        }
    }
}
