//! The ranks of a service's requests, and how many of each arrive.

use std::{collections::BTreeMap, ops::RangeBounds, time::Duration};

use units::time::Instant;

use crate::rank;

/// The time constant of the averaged rates.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// How long a rank counts as one of the service after its last request.
const RANK_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Rank {
    per_s: f64,
    averaged_at: Instant,
    expires_at: Instant,
    is_configured: bool,
}

impl Rank {
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.averaged_at).as_secs_f64();
        self.per_s * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn is_current(&self, now: Instant) -> bool {
        self.is_configured || now < self.expires_at
    }
}

/// The requests of one service that arrive at this router, by rank.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    ranks: BTreeMap<u8, Rank>,
}

impl Arrivals {
    /// Sets the ranks that the configuration names for the service.
    pub fn set_ranks(&mut self, ranks: impl Iterator<Item = u8>) {
        for rank in self.ranks.values_mut() {
            rank.is_configured = false;
        }
        for rank in ranks {
            self.rank(rank).is_configured = true;
        }
    }

    /// Records the arrival of a request.
    pub fn record(&mut self, rank: u8, now: Instant) {
        let rank = self.rank(rank);
        rank.per_s = rank.rate(now) + 1.0 / RATE_WINDOW.as_secs_f64();
        rank.averaged_at = now;
        rank.expires_at = now + RANK_TTL;
    }

    /// The steps by which other requests are more urgent: the more urgent ranks of workspaces, and
    /// the more urgent ranks of routes among equally urgent workspaces.
    pub fn more_urgent(&self, rank: u8, now: Instant) -> u32 {
        let start = rank::level_start(rank);
        let mut levels = 0;
        let mut last = None;
        for (&other, _) in self.current(..start, now) {
            if last.is_none_or(|last| !rank::is_same_level(last, other)) {
                levels += 1;
            }
            last = Some(other);
        }
        levels + self.more_urgent_routes(rank, now)
    }

    /// The more urgent ranks of routes among equally urgent workspaces.
    pub fn more_urgent_routes(&self, rank: u8, now: Instant) -> u32 {
        let ranks = self.current(rank::level_start(rank)..rank, now);
        u32::try_from(ranks.count()).unwrap_or(u32::MAX)
    }

    fn current(
        &self,
        ranks: impl RangeBounds<u8>,
        now: Instant,
    ) -> impl Iterator<Item = (&u8, &Rank)> {
        let ranks = self.ranks.range(ranks);
        ranks.filter(move |(_, rank)| rank.is_current(now))
    }

    /// Whether the service has requests that are less urgent than `rank`.
    pub fn has_less_urgent(&self, rank: u8, now: Instant) -> bool {
        let ranks = self.ranks.iter().rev();
        let mut less_urgent = ranks.take_while(|(other, _)| **other > rank);
        less_urgent.any(|(_, rank)| rank.is_current(now))
    }

    /// The more urgent requests that arrive at this router in a second.
    pub fn more_urgent_per_s(&self, rank: u8, now: Instant) -> f64 {
        let ranks = self.ranks.range(..rank);
        ranks.map(|(_, rank)| rank.rate(now)).sum()
    }

    fn rank(&mut self, rank: u8) -> &mut Rank {
        self.ranks.entry(rank).or_insert(Rank {
            per_s: 0.0,
            averaged_at: Instant::ZERO,
            expires_at: Instant::ZERO,
            is_configured: false,
        })
    }
}
