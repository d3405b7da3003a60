//! This router's share of the requests that a cold server bears.

use std::time::Duration;

use units::{backend, host, time::Instant};
use xxhash_rust::xxh3;

/// A server's bound while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second that the server bears.
    pub rate: f64,
    /// The most requests in any one second, over all routers.
    pub max_per_s: f64,
}

/// How much of the most requests in a second all shares together may use.
///
/// The rest covers routers that started and that the others don't know of yet:
/// with two of three known, shares for these add up to half again the plan.
const LIMIT_USED: f64 = 0.65;

/// The share of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The least time between two requests.
    interval_us: u64,
}

impl Share {
    /// The time between two requests of this router.
    pub const fn interval(self) -> Duration {
        Duration::from_micros(self.interval_us)
    }
}

/// How many routers may send to one cold server, and how often each.
///
/// `None` when the bound leaves no room for even one router.
fn plan(limit: RateLimit, members: usize) -> Option<(usize, Share)> {
    let max_per_s = limit.max_per_s * LIMIT_USED;
    for senders in (1..=members).rev() {
        // In one second a router with gap g sends at most ceil(1 / g) requests.
        let each = (limit.rate / senders as f64).max(1.0).ceil();
        if senders as f64 * each <= max_per_s.max(1.0) {
            let interval = (1.0 / each).max(senders as f64 / limit.rate.max(1.0));
            let interval_us = (interval * 1_000_000.0) as u64 + 1;
            return Some((senders, Share { interval_us }));
        }
    }
    None
}

/// The share of `own` in what `server` bears, among `members`.
///
/// A large fleet would send too much even if each router sent one request a
/// second. So only as many routers send as fit the bound, those with the
/// lowest hash with the server. A router that is not among the members, since
/// it has not registered yet, has no share.
pub fn share(
    limit: RateLimit,
    own: &host::Id,
    members: &[host::Id],
    server: &backend::Server,
) -> Option<Share> {
    if !members.contains(own) {
        return None;
    }
    let (senders, share) = plan(limit, members.len())?;
    let score = |member: &host::Id| {
        let seed = xxh3::xxh3_64(member.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), seed)
    };
    let own_score = score(own);
    let ranked_before = members.iter().filter(|member| score(member) < own_score);
    (ranked_before.count() < senders).then_some(share)
}

/// Spaces this router's requests to one cold server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pacer {
    next_at: Instant,
}

impl Pacer {
    /// Whether a request may be sent at `now`.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.next_at <= now
    }

    /// When the next request may be sent.
    pub fn ready_at(&self) -> Instant {
        self.next_at
    }

    /// Notes that a request is sent.
    pub fn record(&mut self, share: Share, now: Instant) {
        self.next_at = now + share.interval();
    }
}
