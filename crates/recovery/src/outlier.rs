//! Outlier detection: temporary ejection of backend servers that fail.

use std::{collections::BTreeMap, time::Duration};

use units::{availability, backend, time::Instant};

use crate::Settings;

#[derive(Clone, Debug)]
struct Record {
    zone: availability::Zone,
    /// The failure score: each failure adds `successes_per_failure`, each success
    /// subtracts one.
    failures: u32,
    /// The number of ejections, less one for each healthy period since.
    ejections: u32,
    ejected_until: Instant,
    /// When `ejections` may decrease by one, if the server stays healthy.
    ejections_decay_at: Instant,
    /// The requests that timed out on it one after the other.
    silence: Option<Silence>,
}

/// Requests that timed out on one server, without one that completed between them.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first of them was sent.
    since: Instant,
    /// When the last of them timed out.
    until: Instant,
}

impl Record {
    fn new(zone: availability::Zone) -> Self {
        Self {
            zone,
            failures: 0,
            ejections: 0,
            ejected_until: Instant::ZERO,
            ejections_decay_at: Instant::ZERO,
            silence: None,
        }
    }

    fn is_failing(&self, now: Instant) -> bool {
        now < self.ejected_until
    }
}

/// Ejects failing backend servers of one pool.
///
/// A server that fails several times in a row, or often, is ejected. The ejection
/// time doubles with each ejection, so a flapping server is tried less and less
/// often. After its return, a single failure ejects it again.
///
/// At most a configured share of the pool is ejected. If more servers fail, the
/// cause is probably not in the servers, and ejecting them all would put the
/// whole load on the few that remain. The pool is then in panic mode and no
/// server is ejected. This applies only to the servers passed to
/// [`Self::set_servers`]: servers that are drained or out of service still get no
/// requests.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: Settings,
    records: BTreeMap<backend::Server, Record>,
}

impl OutlierDetector {
    /// Creates a detector for a pool without servers.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
        }
    }

    /// Sets the servers of the pool that may get requests: neither drained nor in a
    /// zone that is out of service. Servers that were already set keep their records.
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

    /// Records a request that completed on `server`.
    ///
    /// It is ignored while the server is ejected, since the request was sent before
    /// the ejection. In panic mode, it ends the server's ejection.
    pub fn record_success(&mut self, server: &backend::Server, now: Instant) {
        if let Some(record) = self.records.get_mut(server) {
            record.silence = None;
        }
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

    /// Records a request that was sent to `server` at `sent_at` and got no response by its deadline.
    ///
    /// A sound server may pause for a second or so, and the deadline of a request may be shorter.
    /// So the timeout counts as a failure only if the server has completed no request for
    /// [`Settings::max_pause`].
    pub fn record_timeout(&mut self, server: &backend::Server, sent_at: Instant, now: Instant) {
        let max_pause = self.settings.max_pause;
        let Some(record) = self.records.get_mut(server) else {
            return;
        };
        let earlier = record.silence;
        // Nothing is known of the time between timeouts that are far apart.
        let earlier = earlier.filter(|silence| sent_at.since(silence.until) < max_pause);
        let since = earlier.map_or(sent_at, |silence| silence.since.min(sent_at));
        record.silence = Some(Silence { since, until: now });
        if now.since(since) >= max_pause {
            self.record_failure(server, now);
        }
    }

    /// Records a request that failed on `server`, or a failure to connect to it.
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

    /// Ejects `server` immediately, for example because of failures that other
    /// routers reported.
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

    /// Whether so many servers fail that none is ejected.
    pub fn is_in_panic_mode(&self, now: Instant) -> bool {
        let failing = self.records.values();
        let failing = failing.filter(|record| record.is_failing(now)).count();
        failing > self.max_ejected()
    }

    /// The maximum number of servers ejected at the same time.
    pub fn max_ejected(&self) -> usize {
        self.records.len() * self.settings.max_ejection_permille as usize / 1000
    }

    /// Whether `server` is failing. In panic mode, failing servers are not ejected.
    pub fn is_failing(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now))
    }

    /// Whether `server` is currently ejected.
    pub fn is_ejected(&self, server: &backend::Server, now: Instant) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.is_failing(now)) && !self.is_in_panic_mode(now)
    }

    /// The servers that are currently ejected, with the end of their ejection.
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

    /// The servers that currently get requests.
    pub fn usable(&self, now: Instant) -> Vec<backend::Server> {
        let in_panic_mode = self.is_in_panic_mode(now);
        let usable = self.records.iter();
        let usable = usable.filter(|(_, record)| in_panic_mode || !record.is_failing(now));
        usable.map(|(server, _)| server.clone()).collect()
    }

    /// Whether most servers of a zone are failing. The zone is then probably
    /// unreachable, and a single failure ejects each of its other servers.
    fn is_zone_failing(&self, zone: &availability::Zone, now: Instant) -> bool {
        let all = self.records.values().filter(|record| record.zone == *zone);
        let failing = all.clone().filter(|record| record.is_failing(now)).count();
        failing > 1 && failing * 2 > all.count()
    }

    /// Ends the ejections of a failing zone's servers, after one of them has
    /// recovered.
    ///
    /// After a long network partition their ejections would last for minutes more,
    /// in which the recovered zone would get no requests.
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

/// The duration of an ejection that follows `ejections` earlier ones.
fn ejection_time(ejections: u32, settings: &Settings) -> Duration {
    let factor = 1_u32.checked_shl(ejections).unwrap_or(u32::MAX);
    settings
        .base_ejection_time
        .saturating_mul(factor)
        .min(settings.max_ejection_time)
}
