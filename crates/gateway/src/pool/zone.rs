//! Availability zones whose servers cannot be reached from here.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, time::Instant};

use super::{Outcome, Server, connect::Times};

/// How many servers of a zone have to be out of reach, one after the other, until
/// the zone is. With fewer, two of them that died would do.
const LEAST_MISSES: u32 = 3;
/// How long a zone that cannot be reached gets nothing; doubled with each time.
const AWAY: Duration = Duration::from_millis(800);
/// The longest such time: about as long as a single server's.
const MAX_AWAY: Duration = Duration::from_millis(3200);
/// How long one request may take to find out whether it can be reached again:
/// longer than any connection attempt.
const PROBE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    misses: u32,
    /// How often it was left alone since it was last reached.
    times: u32,
    away_until: Instant,
    /// Whether a request is on its way to find out, and others wait for it.
    is_tried: bool,
}

/// What this router has seen of the ways to other zones.
///
/// When a zone is cut off in silence, connections to its servers hang until they
/// are given up. Learned server by server, nearly every request would wait that
/// long, since there are more servers than requests in a second.
#[derive(Clone, Debug, Default)]
pub struct Ways {
    records: BTreeMap<availability::Zone, Record>,
    times: BTreeMap<availability::Zone, Times>,
}

impl Ways {
    /// A request at `server` has ended.
    pub fn note(&mut self, server: &Server, outcome: Outcome, now: Instant) {
        let (zone, name) = (server.zone(), server.name());
        match outcome {
            Outcome::Refused | Outcome::Unreachable if !server.is_reachable(now) => {}
            Outcome::Refused | Outcome::Unreachable if self.missed(zone, now) => {
                logging::event!(info, "zone_away", zone = zone, last = name);
            }
            Outcome::Completed | Outcome::Failed | Outcome::Full => self.answered(server),
            // What a server does, or its caller, says nothing of the way there.
            Outcome::Refused
            | Outcome::Unreachable
            | Outcome::Broken
            | Outcome::Moved
            | Outcome::Cancelled => {}
        }
    }

    /// A connection to a server of the zone came about.
    pub fn connected(&mut self, zone: &availability::Zone, time: Duration) {
        self.times.entry(zone.clone()).or_default().took(time);
    }

    /// A connection to a server of the zone was given up at its limit.
    pub fn timed_out(&mut self, zone: &availability::Zone, begun_at: Instant, now: Instant) {
        let times = self.times.entry(zone.clone()).or_default();
        times.timed_out(begun_at, now);
    }

    /// How long a connection to a server of the zone may take.
    pub fn connect_limit(&self, zone: &availability::Zone) -> Duration {
        let times = self.times.get(zone).copied();
        times.unwrap_or_default().limit()
    }

    /// A server has answered.
    pub fn answered(&mut self, server: &Server) {
        let (zone, name) = (server.zone(), server.name());
        if self.reached(zone) {
            logging::event!(info, "zone_reached", zone = zone, by = name);
        }
    }

    /// A server of the zone could be reached. Returns whether the zone had been
    /// left alone.
    fn reached(&mut self, zone: &availability::Zone) -> bool {
        let record = self.records.remove(zone);
        record.is_some_and(|record| record.times > 0)
    }

    /// A server of the zone that counted as reachable could not be reached.
    /// Returns whether the zone is left alone from now on.
    fn missed(&mut self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.entry(zone.clone()).or_default();
        record.misses += 1;
        let is_left_alone = now < record.away_until && !record.is_tried;
        if record.misses < LEAST_MISSES || is_left_alone {
            return false;
        }
        record.is_tried = false;
        let factor = 1_u32.checked_shl(record.times).unwrap_or(u32::MAX);
        record.away_until = now + AWAY.saturating_mul(factor).min(MAX_AWAY);
        record.times += 1;
        true
    }

    /// A request goes to the zone. If that was left alone, others wait for what
    /// becomes of it: one after the other they would all hang.
    pub fn chosen(&mut self, zone: &availability::Zone, now: Instant) {
        let Some(record) = self.records.get_mut(zone) else {
            return;
        };
        if record.times > 0 && now >= record.away_until {
            record.is_tried = true;
            record.away_until = now + PROBE;
        }
    }

    /// Whether what the zone's servers hold is not known: it gets nothing, or did
    /// so until a moment ago and was not reached since.
    pub fn is_unknown(&self, zone: &availability::Zone, now: Instant) -> bool {
        let record = self.records.get(zone);
        record.is_some_and(|record| record.times > 0 && now < record.away_until + PROBE)
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
