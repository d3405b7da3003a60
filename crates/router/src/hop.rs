//! Requests on their way between routers.

pub mod client;
pub mod head;
pub mod server;

use std::time::Duration;

pub use gateway::link;

use units::time;
use verdict::Refusal;
use wire::hop;

use crate::clock::Clock;

/// How often an owner shows the entry that a request is still being worked on.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How long an entry hears nothing before it takes the link for broken.
pub const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(2000);

/// A refusal as it goes over the hop; instants become remaining times.
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

/// A refusal as it came over the hop.
pub fn from_wire(refused: hop::Refused, clock: &Clock) -> Refusal {
    let instant = |millis| clock.now() + Duration::from_millis(millis);
    Refusal {
        verdict: refused.verdict,
        code: refused.code,
        message: refused.message,
        retry_at: refused.retry_ms.map(instant),
    }
}
