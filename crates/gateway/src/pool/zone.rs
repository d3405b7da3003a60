//! Availability zones whose servers cannot be reached from here.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, time::Instant};

use super::{Outcome, Server, connect::ConnectTimes};

/// How many servers of a zone have to be out of reach, one after the other, until
/// the zone is. With fewer, two of them that died would do.
const MIN_FAILURES: u32 = 3;
/// How long a zone that cannot be reached gets nothing; doubled with each time.
const BASE_AWAY: Duration = Duration::from_millis(800);
/// The longest such time: about as long as a single server's.
const MAX_AWAY: Duration = Duration::from_millis(3200);
/// How long one request may take to find out whether it can be reached again:
/// longer than any connection attempt.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    /// How often it was left alone since it was last reached.
    ejections: u32,
    away_until: Instant,
    /// Whether a request is on its way to find out, and others wait for it.
    is_probing: bool,
}

/// What this router has seen of the ways to other zones.
///
/// When a zone is cut off in silence, connections to its servers hang until they
/// are given up. Learned server by server, nearly every request would wait that
/// long, since there are more servers than requests in a second.
#[derive(Clone, Debug, Default)]
pub struct ZoneTracker {
    records: BTreeMap<availability::Zone, Record>,
    connect_times: BTreeMap<availability::Zone, ConnectTimes>,
}

impl ZoneTracker {
    /// A request at `server` has ended.
    pub fn record_outcome(&mut self, server: &Server, outcome: Outcome, now: Instant) {
        let (zone, name) = (server.zone(), server.name());
        match outcome {
            Outcome::Refused | Outcome::Unreachable if !server.is_reachable(now) => {}
            Outcome::Refused | Outcome::Unreachable if self.record_failure(zone, now) => {
                logging::event!(info, "zone_away", zone = zone, last = name);
            }
            Outcome::Completed | Outcome::Failed | Outcome::Full => self.record_response(server),
            // What a server does, or its caller, says nothing of the way there.
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Broken
            | Outcome::Moved
            | Outcome::Cancelled => {}
        }
    }

    /// A connection to a server of the zone came about.
    pub fn record_connect_time(&mut self, zone: &availability::Zone, time: Duration) {
        self.connect_times
            .entry(zone.clone())
            .or_default()
            .record(time);
    }

    /// A connection to a server of the zone was given up at its limit.
    pub fn record_connect_timeout(
        &mut self,
        zone: &availability::Zone,
        begun_at: Instant,
        now: Instant,
    ) {
        let connect_times = self.connect_times.entry(zone.clone()).or_default();
        connect_times.record_timeout(begun_at, now);
    }

    /// How long a connection to a server of the zone may take.
    pub fn connect_timeout(&self, zone: &availability::Zone) -> Duration {
        let connect_times = self.connect_times.get(zone).copied();
        connect_times.unwrap_or_default().timeout()
    }

    /// A server has answered.
    pub fn record_response(&mut self, server: &Server) {
        let (zone, name) = (server.zone(), server.name());
        if self.record_reached(zone) {
            logging::event!(info, "zone_reached", zone = zone, by = name);
        }
    }

    /// A server of the zone could be reached. Returns whether the zone had been
    /// left alone.
    fn record_reached(&mut self, zone: &availability::Zone) -> bool {
        let record = self.records.remove(zone);
        record.is_some_and(|record| record.ejections > 0)
    }

    /// A server of the zone that counted as reachable could not be reached.
    /// Returns whether the zone is left alone from now on.
    fn record_failure(&mut self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.entry(zone.clone()).or_default();
        record.failures += 1;
        let is_already_away = now < record.away_until && !record.is_probing;
        if record.failures < MIN_FAILURES || is_already_away {
            return false;
        }
        record.is_probing = false;
        let factor = 1_u32.checked_shl(record.ejections).unwrap_or(u32::MAX);
        record.away_until = now + BASE_AWAY.saturating_mul(factor).min(MAX_AWAY);
        record.ejections += 1;
        true
    }

    /// A request goes to the zone. If that was left alone, others wait for what
    /// becomes of it: one after the other they would all hang.
    pub fn record_choice(&mut self, zone: &availability::Zone, now: Instant) {
        let Some(record) = self.records.get_mut(zone) else {
            return;
        };
        if record.ejections > 0 && now >= record.away_until {
            record.is_probing = true;
            record.away_until = now + PROBE_TIMEOUT;
        }
    }

    /// Whether what the zone's servers hold is not known: it gets nothing, or did
    /// so until a moment ago and was not reached since.
    pub fn is_unknown(&self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.get(zone);
        record.is_some_and(|record| record.ejections > 0 && now < record.away_until + PROBE_TIMEOUT)
    }

    /// Whether the zone gets nothing at present.
    pub fn is_away(&self, zone: &availability::Zone, now: Instant) -> bool {
        now < self.away_until(zone)
    }

    /// Until when the zone gets nothing.
    pub fn away_until(&self, zone: &availability::Zone) -> Instant {
        let record = self.records.get(zone);
        record.map_or(Instant::ZERO, |record| record.away_until)
    }
}
