//! Limits for servers that fail when they have to reject too many requests.
//!
//! The bound holds for the rejections of all routers together, which no router sees. Plain
//! servers, whose requests end before they are reported, are therefore reached through one
//! router each, which counts the slots in use ([`crate::gate`]). Engines keep some slots free for
//! requests that are not reported yet.

use std::time::Duration;

use units::{backend, time::Instant};

use super::{Pool, Server};

/// How long after its last announcement a service is treated as brittle. Its servers repeat the
/// announcement in all responses.
const TTL: Duration = Duration::from_secs(5);
/// The share of an engine's slots that stays free for requests that are not reported yet, as a
/// divisor.
const ENGINE_RESERVE_DIVISOR: u32 = 8;
/// The shortest and the longest time without requests after a rejection.
const MIN_PAUSE: Duration = Duration::from_millis(400);
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// What the servers of a service have announced about rejections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// The most rejections that a server bears in a second.
    max_rejections: u32,
    until: Instant,
}

impl Pool {
    /// Records that a server of the service fails if it has to reject more than `max_rejections`
    /// requests in a second.
    pub fn record_brittle(&mut self, max_rejections: u32, now: Instant) {
        if !self.is_brittle(now) {
            logging::event!(info, "servers_brittle", max_rejections = max_rejections);
        }
        self.brittleness.max_rejections = max_rejections;
        self.brittleness.until = now + TTL;
    }

    /// Whether the servers of the service have announced that they bear few rejections.
    pub fn is_brittle(&self, now: Instant) -> bool {
        now < self.brittleness.until
    }

    /// Whether each server of the service is to be reached through one router.
    pub fn is_gated(&self, now: Instant) -> bool {
        self.is_brittle(now) && !self.is_engine()
    }

    /// Whether the servers are engines.
    pub(super) fn is_engine(&self) -> bool {
        self.service.cache_tokens > 0
    }

    /// Whether a brittle server must not receive a request of this router now.
    pub(super) fn is_spared(&self, server: &Server, now: Instant) -> bool {
        if !self.is_brittle(now) {
            return false;
        }
        let reserve = (server.slots() / ENGINE_RESERVE_DIVISOR).max(1);
        let is_nearly_full = self.is_engine() && server.load() + reserve >= server.slots();
        is_nearly_full || now < server.spared_until()
    }

    /// Keeps this router away from a brittle server that has rejected a request, for about the
    /// time in which the rejections of all routers stay within what the server bears.
    pub fn record_rejection(&mut self, name: &backend::Server, routers: usize, now: Instant) {
        if !self.is_brittle(now) {
            return;
        }
        let per_s = f64::from(self.brittleness.max_rejections.max(1));
        let pause = Duration::from_secs_f64(routers as f64 / per_s);
        if let Some(server) = self.servers.get_mut(name) {
            server.spare_until(now + pause.clamp(MIN_PAUSE, MAX_PAUSE));
        }
    }
}
