//! One router's view of the total load of a pool.

use std::{collections::BTreeMap, time::Duration};

use placement::TotalLoad;
use units::{host, time};

/// Maximum age of a load report from another owner.
const MAX_AGE: Duration = Duration::from_secs(8);

/// The load of a pool, as one total per owner.
///
/// Owners include the total in every reply to a forwarded request, so computing
/// the mean load of the pool needs no additional traffic.
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
    /// Sets the total load of the servers that this router owns.
    pub fn set_own(&mut self, total: TotalLoad) {
        self.own = total;
    }

    /// The total load of the servers that this router owns.
    pub fn own(&self) -> TotalLoad {
        self.own
    }

    /// Records the total load that another owner reported for its servers.
    pub fn record(&mut self, owner: host::Id, total: TotalLoad, now: time::Instant) {
        let report = Report {
            total,
            valid_until: now + MAX_AGE,
        };
        self.others.insert(owner, report);
    }

    /// Removes reports that are older than [`MAX_AGE`].
    pub fn expire(&mut self, now: time::Instant) {
        self.others.retain(|_, report| now < report.valid_until);
    }

    /// The total load over all owners with a current report.
    pub fn total(&self) -> TotalLoad {
        let others = self.others.values().map(|report| report.total);
        self.own + others.sum()
    }
}
