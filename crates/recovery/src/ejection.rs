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
    forgiven_at: Instant,
}

impl Record {
    fn new(zone: availability::Zone) -> Self {
        Self {
            zone,
            failures: 0,
            ejections: 0,
            ejected_until: Instant::ZERO,
            forgiven_at: Instant::ZERO,
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
pub struct Ejection {
    settings: Settings,
    records: BTreeMap<backend::Server, Record>,
}

impl Ejection {
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
    pub fn succeeded(&mut self, server: &backend::Server, now: Instant) {
        let failing = self.records.get(server);
        let failing = failing.is_some_and(|record| record.is_failing(now));
        if failing && !self.is_panicking(now) {
            return;
        }
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        let returned = record.ejections > 0;
        record.failures = record.failures.saturating_sub(1);
        record.ejected_until = record.ejected_until.min(now);
        if returned && now >= record.forgiven_at {
            record.ejections -= 1;
            record.forgiven_at = now + length(record.ejections, settings);
        }
        if returned {
            let zone = record.zone.clone();
            self.zone_returned(&zone, now);
        }
    }

    /// A request failed on `server`, or no connection to it came about.
    pub fn failed(&mut self, server: &backend::Server, now: Instant) {
        let Some(record) = self.records.get(server) else {
            return;
        };
        let is_tolerant = record.ejections == 0 && !self.is_zone_failing(&record.zone, now);
        let settings = &self.settings;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        if record.is_failing(now) {
            return;
        }
        let worth = settings.successes.max(1);
        record.failures = record.failures.saturating_add(worth);
        if is_tolerant && record.failures < settings.failures.saturating_mul(worth) {
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
        let length = length(record.ejections, settings);
        record.ejections = record.ejections.saturating_add(1);
        record.failures = 0;
        record.ejected_until = now + length;
        record.forgiven_at = record.ejected_until + length;
    }

    /// Whether so many servers fail that all are used.
    pub fn is_panicking(&self, now: Instant) -> bool {
        let failing = self.records.values();
        let failing = failing.filter(|record| record.is_failing(now)).count();
        failing > self.most_ejected()
    }

    /// The most servers that are ejected at a time.
    pub fn most_ejected(&self) -> usize {
        self.records.len() * self.settings.max_ejected_permille as usize / 1000
    }

    /// Whether `server` counts as failing, whether it is left out or not.
    pub fn is_failing(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now))
    }

    /// Whether `server` is left out at present.
    pub fn is_ejected(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now)) && !self.is_panicking(now)
    }

    /// Servers that are left out at present, with the end of their ejection.
    pub fn ejected(&self, now: Instant) -> Vec<(backend::Server, Instant)> {
        if self.is_panicking(now) {
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
        let panicking = self.is_panicking(now);
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
    fn zone_returned(&mut self, zone: &availability::Zone, now: Instant) {
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
fn length(ejections: u32, settings: &Settings) -> Duration {
    let factor = 1_u32.checked_shl(ejections).unwrap_or(u32::MAX);
    settings
        .ejection
        .saturating_mul(factor)
        .min(settings.max_ejection)
}
