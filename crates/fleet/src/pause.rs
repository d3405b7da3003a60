//! Whether this router's own view can be trusted.

use std::time::Duration;

use units::time;

/// Tells when a router may act on its view of the fleet.
///
/// A process that was paused still believes to own what others took over while
/// it slept, and datagrams that waited in its socket seem to confirm it. The
/// gap between two ticks shows the pause. From then on the view counts as
/// stale until a probe sent afterwards was answered, or until a grace passed
/// in which nobody answered, since a router that is cut off has to go on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseDetector {
    /// The gap after which the process counts as having been paused.
    threshold: Duration,
    last_event_at: time::Instant,
    trusted_at: time::Instant,
    /// The version of the first probe whose answer counts.
    awaited_version: Option<u32>,
}

impl PauseDetector {
    pub(crate) fn new(now: time::Instant, threshold: Duration, grace: Duration) -> Self {
        Self {
            threshold,
            last_event_at: now,
            trusted_at: now + grace,
            awaited_version: Some(0),
        }
    }

    /// Notes that the process runs; true when it was paused before.
    pub(crate) fn observe(&mut self, now: time::Instant) -> bool {
        let paused = self.is_gap(now);
        self.last_event_at = now;
        paused
    }

    /// Distrusts the view until an answer to a probe from `version` on.
    pub(crate) fn distrust(&mut self, now: time::Instant, grace: Duration, version: u32) {
        self.trusted_at = self.trusted_at.max(now + grace);
        self.awaited_version = Some(version);
    }

    /// Takes note of an answer to the probe of version `echo`.
    pub(crate) fn handle_answer(&mut self, now: time::Instant, echo: u32) {
        if self
            .awaited_version
            .is_some_and(|awaited_version| echo >= awaited_version)
        {
            self.awaited_version = None;
            self.trusted_at = self.trusted_at.min(now);
        }
    }

    /// Puts off acting until `instant`.
    pub(crate) fn delay_until(&mut self, instant: time::Instant) {
        self.awaited_version = None;
        self.trusted_at = self.trusted_at.max(instant);
    }

    /// Whether the view can be trusted.
    ///
    /// The gap is looked at here as well, since a request may be served after a
    /// pause before the first tick.
    pub(crate) fn is_view_trusted(&self, now: time::Instant) -> bool {
        self.trusted_at <= now && !self.is_gap(now)
    }

    fn is_gap(&self, now: time::Instant) -> bool {
        now.since(self.last_event_at) > self.threshold
    }
}
