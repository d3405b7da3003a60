//! What servers report of their load.

use units::time::Instant;

use super::{Dispatch, LoadReport};

impl Dispatch {
    /// Records what a server has reported in a response.
    pub(super) fn record_load_report(&mut self, _report: &LoadReport, _now: Instant) {}

    /// Records what servers have reported to other routers.
    pub(super) fn record_peer_load_reports(
        &mut self,
        _reports: &[load_report::Shared],
        _now: Instant,
    ) {
    }

    /// The reports that this router passes on to others.
    pub(super) fn shared_load_reports(&mut self, _now: Instant) -> Vec<load_report::Shared> {
        Vec::new()
    }
}
