//! The load of a pool, as one router knows it.

use std::{collections::BTreeMap, time::Duration};

use placement::TotalLoad;
use units::{host, time};

/// How long a load counts that was heard of.
const MAX_AGE: Duration = Duration::from_secs(8);

/// The loads of a pool's servers, summed up by their owners.
///
/// Each answer to a forwarded request tells what its owner's servers carry, so
/// the mean over the pool costs no traffic of its own.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: TotalLoad,
    others: BTreeMap<host::Id, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    total: TotalLoad,
    valid_until: time::Instant,
}

impl Loads {
    /// Sets what this router's own servers carry.
    pub fn set_own(&mut self, total: TotalLoad) {
        self.own = total;
    }

    /// What this router's own servers carry.
    pub fn own(&self) -> TotalLoad {
        self.own
    }

    /// Notes what the servers of another owner carry.
    pub fn record(&mut self, owner: host::Id, total: TotalLoad, now: time::Instant) {
        let report = Report {
            total,
            valid_until: now + MAX_AGE,
        };
        self.others.insert(owner, report);
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now: time::Instant) {
        self.others.retain(|_, report| now < report.valid_until);
    }

    /// What the servers of all owners carry that were heard of lately.
    pub fn total(&self) -> TotalLoad {
        let others = self.others.values().map(|report| report.total);
        self.own + others.sum()
    }
}
