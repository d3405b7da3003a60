//! Detection of unreachable availability zones.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, time::Instant};

use super::{Outcome, Server, connect::ConnectTimes};

/// Consecutive connection failures, each at a server that was not in backoff, after
/// which a zone is treated as unreachable. With two, a pair of crashed servers would be
/// enough.
const MIN_FAILURES: u32 = 3;
/// The backoff for an unreachable zone; doubled each time.
const BASE_BACKOFF: Duration = Duration::from_millis(800);
/// Upper limit of the backoff, equal to that of a single server.
const MAX_BACKOFF: Duration = Duration::from_millis(3200);
/// How long a single request probes an unreachable zone before the next probe; longer
/// than any connect timeout.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    /// Number of backoffs since the zone was last reached.
    backoffs: u32,
    backoff_until: Instant,
    /// Whether a request is probing the zone while others avoid it.
    is_probing: bool,
}

/// Reachability of the zones as observed by this router.
///
/// When a zone is partitioned without resets, connections to its servers hang until
/// they time out. If that were detected for each server separately, nearly every
/// request would wait for a timeout, since there are more servers than requests per
/// second.
#[derive(Clone, Debug, Default)]
pub struct ZoneTracker {
    records: BTreeMap<availability::Zone, Record>,
    connect_times: BTreeMap<availability::Zone, ConnectTimes>,
}

impl ZoneTracker {
    /// Records the outcome of a request at `server`.
    pub fn record_outcome(&mut self, server: &Server, outcome: Outcome, now: Instant) {
        let (zone, name) = (server.zone(), server.name());
        match outcome {
            Outcome::Refused | Outcome::Unreachable if !server.is_reachable(now) => {}
            Outcome::Refused | Outcome::Unreachable if self.record_failure(zone, now) => {
                logging::event!(info, "zone_away", zone = zone, last = name);
            }
            Outcome::Completed | Outcome::Failed | Outcome::Full => self.record_response(server),
            // Either the failure does not change the state of the zone, or the server
            // or the caller caused the outcome, which then says nothing about the
            // network path.
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Interrupted
            | Outcome::NoPath
            | Outcome::Broken
            | Outcome::Moved
            | Outcome::Withdrawn
            | Outcome::Cancelled => {}
        }
    }

    /// Treats all zones as reachable.
    pub fn forget_failures(&mut self) {
        self.records.clear();
    }

    /// Records how long it took to connect to a server of the zone.
    pub fn record_connect_time(&mut self, zone: &availability::Zone, time: Duration) {
        self.connect_times
            .entry(zone.clone())
            .or_default()
            .record(time);
    }

    /// Records that connecting to a server of the zone timed out.
    pub fn record_connect_timeout(
        &mut self,
        zone: &availability::Zone,
        begun_at: Instant,
        now: Instant,
    ) {
        let connect_times = self.connect_times.entry(zone.clone()).or_default();
        connect_times.record_timeout(begun_at, now);
    }

    /// The connect timeout for servers of the zone.
    pub fn connect_timeout(&self, zone: &availability::Zone) -> Duration {
        let connect_times = self.connect_times.get(zone).copied();
        connect_times.unwrap_or_default().timeout()
    }

    /// Records that a server has responded.
    pub fn record_response(&mut self, server: &Server) {
        let (zone, name) = (server.zone(), server.name());
        if self.record_reached(zone) {
            logging::event!(info, "zone_reached", zone = zone, by = name);
        }
    }

    /// Marks the zone as reachable. Returns whether it was in backoff.
    fn record_reached(&mut self, zone: &availability::Zone) -> bool {
        let record = self.records.remove(zone);
        record.is_some_and(|record| record.backoffs > 0)
    }

    /// Records a connection failure at a server that was not in backoff. Returns
    /// whether the zone enters backoff.
    fn record_failure(&mut self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.entry(zone.clone()).or_default();
        record.failures += 1;
        let is_waiting = now < record.backoff_until && !record.is_probing;
        if record.failures < MIN_FAILURES || is_waiting {
            return false;
        }
        record.is_probing = false;
        let factor = 1_u32.checked_shl(record.backoffs).unwrap_or(u32::MAX);
        record.backoff_until = now + BASE_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF);
        record.backoffs += 1;
        true
    }

    /// Records that a request is sent to the zone. If the zone's backoff has just
    /// ended, the request is a probe, and other requests avoid the zone until its
    /// outcome is known; otherwise they would all hang.
    pub fn record_choice(&mut self, zone: &availability::Zone, now: Instant) {
        let Some(record) = self.records.get_mut(zone) else {
            return;
        };
        if record.backoffs > 0 && now >= record.backoff_until {
            record.is_probing = true;
            record.backoff_until = now + PROBE_TIMEOUT;
        }
    }

    /// Whether the load of the zone's servers is unknown: the zone is in backoff, or
    /// the backoff ended less than a probe ago and the zone has not been reached since.
    pub fn is_unknown(&self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.get(zone);
        record
            .is_some_and(|record| record.backoffs > 0 && now < record.backoff_until + PROBE_TIMEOUT)
    }

    /// Whether the zone is in backoff.
    pub fn is_in_backoff(&self, zone: &availability::Zone, now: Instant) -> bool {
        now < self.backoff_until(zone)
    }

    /// When the backoff of the zone ends.
    pub fn backoff_until(&self, zone: &availability::Zone) -> Instant {
        let record = self.records.get(zone);
        record.map_or(Instant::ZERO, |record| record.backoff_until)
    }
}
