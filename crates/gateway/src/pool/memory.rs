//! Whether an engine has memory for a request.

use units::time::Instant;

use super::{Demand, Pool, Server};

impl Pool {
    /// Whether `server` has memory for a request with this demand.
    pub(super) fn has_memory(&self, _server: &Server, _demand: &Demand, _now: Instant) -> bool {
        true
    }
}
