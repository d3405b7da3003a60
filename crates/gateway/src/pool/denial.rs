//! Why no server can take a request.

use footprint::Tokens;
use units::time::Instant;

/// The reason why no server can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The service has no known server, or all of them have been tried.
    NoServer,
    /// The service has no server of the version that has to process the request.
    VersionGone,
    /// All servers are in unreachable zones; the first of these zones is probed at this
    /// instant.
    ZonesUnreachable(Instant),
    /// All servers that could be tried have asked for a pause; the first pause ends at this
    /// instant.
    Throttled(Instant),
    /// All servers are at their load bound or have no free slot.
    Full,
    /// The servers with free slots are cold and this router's slow-start share is used
    /// up; the next request may be sent at this instant.
    SlowStart(Instant),
    /// The request needs more memory than an engine of the service has.
    Oversized(Oversize),
    /// All engines with room read long prompts. The request may delay more urgent ones from this
    /// instant on.
    Reading(Instant),
}

/// A request that needs more memory than an engine of the service has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversize {
    /// The least memory that the request needs.
    pub needed: Tokens,
    /// The memory of an engine.
    pub memory: Tokens,
}
