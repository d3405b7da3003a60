//! The speed that servers report.

use units::time::Instant;

use super::Pool;

impl Pool {
    /// Whether the servers of the service report their speed.
    pub fn reports_speed(&self, _now: Instant) -> bool {
        false
    }
}
