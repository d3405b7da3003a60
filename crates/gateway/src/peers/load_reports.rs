//! What servers have reported of their speed, as passed on between routers.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use load_report::{Shared, Slowdown};
use units::time::{Instant, Millis};

/// The age from which a report is ignored. Servers report with each response and change their
/// speed several times a second, so an older report says little.
const MAX_AGE: Duration = Duration::from_secs(1);
/// How long a report of an unusual speed is not repeated while the speed stays the same: less
/// than half of [`MAX_AGE`], so that one lost datagram does not hide a slow server.
const REFRESH_AFTER: Duration = Duration::from_millis(400);
/// The largest change that is not passed on is one divided by this number, of the larger
/// figure. It changes expected times less than the lag of the information does.
const MIN_CHANGE_DIVISOR: u16 = 10;
/// The most reports in one datagram; each takes up to ten bytes.
const MAX_REPORTS: usize = 60;

#[derive(Clone, Copy, Debug)]
struct Record {
    slowdown: Slowdown,
    reported_at: Instant,
    /// The slowdown that was last passed on; the usual one if none was.
    sent: Slowdown,
    /// When the report that was last passed on was made.
    sent_reported_at: Instant,
    /// When the same slowdown is passed on again.
    refresh_at: Instant,
}

impl Record {
    /// Whether the report has to be passed on.
    fn is_due(&self, now: Instant) -> bool {
        if self.reported_at <= self.sent_reported_at || now >= self.reported_at + MAX_AGE {
            return false;
        }
        // A report of the usual speed needs no repetition: it also is what is assumed when
        // reports expire.
        differs(self.slowdown, self.sent)
            || differs(self.slowdown, Slowdown::NONE) && now >= self.refresh_at
    }
}

/// Whether two slowdowns differ by more than is left out.
fn differs(one: Slowdown, other: Slowdown) -> bool {
    let larger = one.max(other).percent();
    one.percent().abs_diff(other.percent()) > larger / MIN_CHANGE_DIVISOR
}

/// Whether a report may be used: its figure is valid and it is recent.
fn is_valid(report: &Shared) -> bool {
    Slowdown::from_percent(report.slowdown.percent()).is_ok() && report.age.duration() < MAX_AGE
}

/// The newest report of each server, and which of them were passed on.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_server: BTreeMap<u32, Record>,
}

impl Reports {
    /// Records reports. A report that is older than the known one of its server is ignored.
    pub fn record(&mut self, reports: &[Shared], now: Instant) {
        for report in reports.iter().filter(|report| is_valid(report)) {
            let reported_at = now - report.age.duration();
            let record = self.by_server.entry(report.server).or_insert(Record {
                slowdown: report.slowdown,
                reported_at,
                sent: Slowdown::NONE,
                sent_reported_at: Instant::ZERO,
                refresh_at: Instant::ZERO,
            });
            if reported_at > record.reported_at {
                record.slowdown = report.slowdown;
                record.reported_at = reported_at;
            }
        }
    }

    /// The reports to pass on at `now`: the most recent ones of servers whose speed has
    /// changed, or is unusual and was passed on some time ago.
    pub fn next(&mut self, now: Instant) -> Vec<Shared> {
        self.by_server
            .retain(|_, record| now < record.reported_at + MAX_AGE);
        let due = self
            .by_server
            .iter_mut()
            .filter(|(_, record)| record.is_due(now));
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, record)| Reverse(record.reported_at));
        due.truncate(MAX_REPORTS);
        let reports = due.into_iter().map(|(&server, record)| {
            record.sent = record.slowdown;
            record.sent_reported_at = record.reported_at;
            record.refresh_at = now + REFRESH_AFTER;
            Shared {
                server,
                slowdown: record.slowdown,
                age: age(record.reported_at, now),
            }
        });
        reports.collect()
    }
}

/// The valid reports among those of another router.
pub fn valid(mut reports: Vec<Shared>) -> Vec<Shared> {
    reports.retain(is_valid);
    reports
}

/// The age of a report, rounded up: a report that was passed on more often must not look newer
/// than the same one on a shorter way.
fn age(reported_at: Instant, now: Instant) -> Millis {
    let micros = now.since(reported_at).as_micros();
    Millis(u64::try_from(micros.div_ceil(1000)).unwrap_or(u64::MAX))
}
