//! Forwarding of requests between routers.

pub mod client;
pub mod head;
mod replies;
pub mod server;

use std::time::Duration;

pub use gateway::link;

use units::time;
use verdict::Refusal;
use wire::hop;

use crate::clock::Clock;

/// Interval at which an owner sends keepalive frames while a request is pending.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a frame from the owner after which the entry router treats the
/// link as broken.
pub const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Converts a refusal to its wire format. Instants become remaining durations,
/// since routers do not share a clock.
pub fn to_wire(refusal: &Refusal, load: Option<hop::Load>, clock: &Clock) -> hop::Refused {
    let millis = |instant: time::Instant| {
        u64::try_from(instant.since(clock.now()).as_millis()).unwrap_or(u64::MAX)
    };
    hop::Refused {
        verdict: refusal.verdict,
        code: refusal.code,
        message: refusal.message.clone(),
        retry_ms: refusal.retry_at.map(millis),
        load,
    }
}

/// Converts a refusal from its wire format.
pub fn from_wire(refused: hop::Refused, clock: &Clock) -> Refusal {
    let instant = |millis| clock.now() + Duration::from_millis(millis);
    Refusal {
        verdict: refused.verdict,
        code: refused.code,
        message: refused.message,
        retry_at: refused.retry_ms.map(instant),
    }
}
