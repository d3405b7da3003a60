//! This router's share of the requests that a cold server bears.

use std::time::Duration;

use units::{backend, host, time::Instant};
use xxhash_rust::xxh3;

/// A server's bound while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests a second that the server bears.
    pub rate: f64,
    /// The most requests in any one second, over all routers.
    pub most: f64,
}

/// How much of the most requests in a second all shares together may use.
///
/// The rest covers routers that started and that the others don't know of yet:
/// with two of three known, shares for these add up to half again the plan.
const HEADROOM: f64 = 0.65;

/// The share of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The least time between two requests.
    gap_us: u64,
}

impl Share {
    /// The time between two requests of this router.
    pub const fn gap(self) -> Duration {
        Duration::from_micros(self.gap_us)
    }
}

/// How many routers may send to one cold server, and how often each.
///
/// `None` when the bound leaves no room for even one router.
fn plan(bound: Bound, members: usize) -> Option<(usize, Share)> {
    let most = bound.most * HEADROOM;
    for senders in (1..=members).rev() {
        // In one second a router with gap g sends at most ceil(1 / g) requests.
        let each = (bound.rate / senders as f64).max(1.0).ceil();
        if senders as f64 * each <= most.max(1.0) {
            let gap = (1.0 / each).max(senders as f64 / bound.rate.max(1.0));
            let gap_us = (gap * 1_000_000.0) as u64 + 1;
            return Some((senders, Share { gap_us }));
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
    bound: Bound,
    own: &host::Id,
    members: &[host::Id],
    server: &backend::Server,
) -> Option<Share> {
    if !members.contains(own) {
        return None;
    }
    let (senders, share) = plan(bound, members.len())?;
    let score = |member: &host::Id| {
        let seed = xxh3::xxh3_64(member.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(server.as_str().as_bytes(), seed)
    };
    let own_score = score(own);
    let before = members.iter().filter(|member| score(member) < own_score);
    (before.count() < senders).then_some(share)
}

/// Spaces this router's requests to one cold server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    next_at: Instant,
}

impl Fence {
    /// Whether a request may be sent at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.next_at <= now
    }

    /// When the next request may be sent.
    pub fn opens_at(&self) -> Instant {
        self.next_at
    }

    /// Notes that a request is sent.
    pub fn pass(&mut self, share: Share, now: Instant) {
        self.next_at = now + share.gap();
    }
}
