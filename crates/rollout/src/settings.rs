//! The bounds of roll-outs.

use units::time::Millis;

/// The bounds of roll-outs in a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The largest fraction of a service's requests that an unproven version may receive,
    /// over all routers.
    pub exposure_share: f64,
    /// The time within which a version that is known to be faulty must stop receiving
    /// requests.
    pub rollback: Millis,
}

/// The fraction of the exposure share that the canary uses.
///
/// Each router rounds its share to whole requests, and retries of failed requests are not
/// counted in it.
const SHARE_USED: f64 = 0.9;

impl Settings {
    /// The fraction of its own requests that each router sends to the new version.
    pub fn canary_share(&self) -> f64 {
        (self.exposure_share * SHARE_USED).clamp(0.0, 1.0)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            exposure_share: 0.1,
            rollback: Millis(5000),
        }
    }
}
