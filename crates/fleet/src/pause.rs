//! Detection of pauses of this process, after which its view cannot be trusted.

use std::time::Duration;

use units::time;

/// Decides when a router may act on its view of the fleet.
///
/// After a pause a process still considers itself the owner of engines that
/// others have taken over meanwhile, and datagrams buffered in its socket seem
/// to confirm that. A pause is detected by the gap between two events. The view
/// then counts as stale until a probe sent afterwards is answered, or until a
/// grace period passes without an answer, since an isolated router has to keep
/// serving.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseDetector {
    /// The gap between two events above which the process counts as paused.
    threshold: Duration,
    last_event_at: time::Instant,
    trusted_at: time::Instant,
    /// The lowest heartbeat version whose answer makes the view trusted, `None` if no
    /// answer is awaited.
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

    /// Records an event at `now`; true if the process was paused before it.
    pub(crate) fn observe(&mut self, now: time::Instant) -> bool {
        let paused = self.is_gap(now);
        self.last_event_at = now;
        paused
    }

    /// Marks the view as untrusted until the grace period has passed or a heartbeat of at
    /// least `version` is answered.
    pub(crate) fn distrust(&mut self, now: time::Instant, grace: Duration, version: u32) {
        self.trusted_at = self.trusted_at.max(now + grace);
        self.awaited_version = Some(version);
    }

    /// Handles an answer to the heartbeat of version `echo`.
    pub(crate) fn handle_answer(&mut self, now: time::Instant, echo: u32) {
        if self
            .awaited_version
            .is_some_and(|awaited_version| echo >= awaited_version)
        {
            self.awaited_version = None;
            self.trusted_at = self.trusted_at.min(now);
        }
    }

    /// Keeps the view untrusted until `instant`, whatever is answered.
    pub(crate) fn delay_until(&mut self, instant: time::Instant) {
        self.awaited_version = None;
        self.trusted_at = self.trusted_at.max(instant);
    }

    /// Whether the view can be trusted.
    ///
    /// This checks the gap as well, since a request may arrive after a pause and
    /// before the first tick.
    pub(crate) fn is_view_trusted(&self, now: time::Instant) -> bool {
        self.trusted_at <= now && !self.is_gap(now)
    }

    fn is_gap(&self, now: time::Instant) -> bool {
        now.since(self.last_event_at) > self.threshold
    }
}
