//! Ejection of backend servers that fail.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, backend, time::Instant};

use crate::Settings;

#[derive(Clone, Debug)]
struct Record {
    zone: availability::Zone,
    /// Failures that no successes have made up for, each worth `successes`.
    failures: u32,
    /// Ejections that a healthy stretch has not made up for.
    ejections: u32,
    ejected_until: Instant,
    /// When one ejection less counts, if the server stays healthy.
    ejections_decay_at: Instant,
}

impl Record {
    fn new(zone: availability::Zone) -> Self {
        Self {
            zone,
            failures: 0,
            ejections: 0,
            ejected_until: Instant::ZERO,
            ejections_decay_at: Instant::ZERO,
        }
    }

    fn is_failing(&self, now: Instant) -> bool {
        now < self.ejected_until
    }
}

/// Which backend servers of one pool are left out because they fail.
///
/// A server that fails several times in a row, or often, is ejected until a
/// deadline that doubles with each ejection, so that one that flaps is tried ever more
/// rarely. On its return a single failure ejects it again. No more than a set
/// share is ever ejected: when more fail, the fault is likely not theirs, and
/// ejecting them all would push the whole load onto the few that are left. Then
/// all are used: all of the pool as it was set, so that servers that are out
/// or drained stay without work.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    records: BTreeMap<backend::Server, Record>,
}

impl OutlierDetector {
    /// A pool without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
        }
    }

    /// Sets the servers of the pool that may get work: neither drained nor in a
    /// zone that is out. Those that stay keep their records.
    pub fn set_servers(
        &mut self,
        servers: impl IntoIterator<Item = (backend::Server, availability::Zone)>,
    ) {
        let mut old = std::mem::take(&mut self.records);
        for (server, zone) in servers {
            let record = match old.remove(&server) {
                Some(record) => Record { zone, ..record },
                None => Record::new(zone),
            };
            self.records.insert(server, record);
        }
    }

    /// A request completed on `server`.
    ///
    /// While it is ejected that tells nothing new: the request began before.
    /// While all are used in spite of their failures, it ends the ejection.
    pub fn record_success(&mut self, server: &backend::Server, now: Instant) {
        let failing = self.records.get(server);
        let failing = failing.is_some_and(|record| record.is_failing(now));
        if failing && !self.is_in_panic_mode(now) {
            return;
        }
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        let was_ejected = record.ejections > 0;
        record.failures = record.failures.saturating_sub(1);
        record.ejected_until = record.ejected_until.min(now);
        if was_ejected && now >= record.ejections_decay_at {
            record.ejections -= 1;
            record.ejections_decay_at = now + ejection_time(record.ejections, settings);
        }
        if was_ejected {
            let zone = record.zone.clone();
            self.end_zone_ejections(&zone, now);
        }
    }

    /// A request failed on `server`, or no connection to it came about.
    pub fn record_failure(&mut self, server: &backend::Server, now: Instant) {
        let Some(record) = self.records.get(server) else {
            return;
        };
        let is_failure_tolerated =
            record.ejections == 0 && !self.is_zone_failing(&record.zone, now);
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if record.is_failing(now) {
            return;
        }
        let failure_weight = settings.successes_per_failure.max(1);
        record.failures = record.failures.saturating_add(failure_weight);
        if is_failure_tolerated
            && record.failures < settings.ejection_failures.saturating_mul(failure_weight)
        {
            return;
        }
        self.eject(server, now);
    }

    /// Ejects `server`, which fails by what others saw of it.
    pub fn eject(&mut self, server: &backend::Server, now: Instant) {
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if record.is_failing(now) {
            return;
        }
        let ejection_time = ejection_time(record.ejections, settings);
        record.ejections = record.ejections.saturating_add(1);
        record.failures = 0;
        record.ejected_until = now + ejection_time;
        record.ejections_decay_at = record.ejected_until + ejection_time;
    }

    /// Whether so many servers fail that all are used.
    pub fn is_in_panic_mode(&self, now: Instant) -> bool {
        let failing = self.records.values();
        let failing = failing.filter(|record| record.is_failing(now)).count();
        failing > self.max_ejected()
    }

    /// The most servers that are ejected at a time.
    pub fn max_ejected(&self) -> usize {
        self.records.len() * self.settings.max_ejection_permille as usize / 1000
    }

    /// Whether `server` counts as failing, whether it is left out or not.
    pub fn is_failing(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now))
    }

    /// Whether `server` is left out at present.
    pub fn is_ejected(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now)) && !self.is_in_panic_mode(now)
    }

    /// Servers that are left out at present, with the end of their ejection.
    pub fn ejected(&self, now: Instant) -> Vec<(backend::Server, Instant)> {
        if self.is_in_panic_mode(now) {
            return Vec::new();
        }
        let ejected = self.records.iter();
        let ejected = ejected.filter(|(_, record)| record.is_failing(now));
        ejected
            .map(|(server, record)| (server.clone(), record.ejected_until))
            .collect()
    }

    /// Servers that get work at present.
    pub fn usable(&self, now: Instant) -> Vec<backend::Server> {
        let panicking = self.is_in_panic_mode(now);
        let usable = self.records.iter();
        let usable = usable.filter(|(_, record)| panicking || !record.is_failing(now));
        usable.map(|(server, _)| server.clone()).collect()
    }

    /// Whether most servers of a zone fail. Then the zone is likely cut off, and
    /// the rest of it is not given the benefit of the doubt.
    fn is_zone_failing(&self, zone: &availability::Zone, now: Instant) -> bool {
        let all = self.records.values().filter(|record| record.zone == *zone);
        let failing = all.clone().filter(|record| record.is_failing(now)).count();
        failing > 1 && failing * 2 > all.count()
    }

    /// A server of a failing zone is back, so the others are tried as well.
    ///
    /// After a long cut their deadlines lie minutes ahead. Without this a zone
    /// that is back would stay without work for as long.
    fn end_zone_ejections(&mut self, zone: &availability::Zone, now: Instant) {
        if !self.is_zone_failing(zone, now) {
            return;
        }
        for record in self.records.values_mut() {
            if record.zone == *zone {
                record.ejected_until = record.ejected_until.min(now);
            }
        }
    }
}

/// How long the ejection after `ejections` earlier ones lasts.
fn ejection_time(ejections: u32, settings: &Settings) -> Duration {
    let factor = 1_u32.checked_shl(ejections).unwrap_or(u32::MAX);
    settings
        .base_ejection_time
        .saturating_mul(factor)
        .min(settings.max_ejection_time)
}
