//! Slow start: limits the rate of requests that each router sends to a cold server.

use std::time::Duration;

use units::{backend, host, time::Instant};
use xxhash_rust::xxh3;

/// The limit on the request rate of a cold server, over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// The sustained rate, in requests per second.
    pub rate: f64,
    /// The most requests in any interval of one second.
    pub max_per_s: f64,
}

/// The fraction of the per-second maximum that the shares of all routers may use
/// together.
///
/// The rest covers routers that have started and are not yet known to the others: if
/// only two of three routers are known, the shares add up to one and a half times the
/// planned rate.
const LIMIT_USED: f64 = 0.65;

/// The share of one router in the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The minimum interval between two requests.
    interval_us: u64,
}

impl Share {
    /// The minimum interval between two requests of this router.
    pub const fn interval(self) -> Duration {
        Duration::from_micros(self.interval_us)
    }
}

/// The number of routers that may send to one cold server, and the share of each.
///
/// `None` if the limit does not permit even one router to send.
fn plan(limit: RateLimit, members: usize) -> Option<(usize, Share)> {
    let max_per_s = limit.max_per_s * LIMIT_USED;
    for senders in (1..=members).rev() {
        // In one second a router with interval i sends at most ceil(1 / i) requests.
        let per_sender = (limit.rate / senders as f64).max(1.0).ceil();
        if senders as f64 * per_sender <= max_per_s.max(1.0) {
            let interval = (1.0 / per_sender).max(senders as f64 / limit.rate.max(1.0));
            let interval_us = (interval * 1_000_000.0) as u64 + 1;
            return Some((senders, Share { interval_us }));
        }
    }
    None
}

/// The share of router `own` in the limit of `server`, among the routers `members`.
///
/// In a large fleet, even one request per second from each router would exceed the
/// limit. So only as many routers send as the limit permits: those with the lowest
/// hashes combined with the server. A router that is not among the members because it
/// has not registered yet has no share.
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

/// Paces the requests of this router to one cold server.
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

    /// Records that a request is sent.
    pub fn record(&mut self, share: Share, now: Instant) {
        self.next_at = now + share.interval();
    }
}
