//! The messages that routers exchange about a roll-out.

use serde::{Deserialize, Serialize};
use units::time::Millis;

use crate::{Counts, Stage};

/// A message about one roll-out, which the store's version of its order identifies.
///
/// Messages may be lost, repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The outcomes that one router has counted since it started.
    Report {
        /// The store's version of the order.
        revision: u64,
        /// Identifies one start of the router.
        reporter: u32,
        /// The counts.
        counts: Counts,
    },
    /// The summed outcomes of the routers of one zone.
    Zone {
        /// The store's version of the order.
        revision: u64,
        /// The hash of the zone's name.
        zone: u32,
        /// The number of reports that the sum covers.
        reporters: u16,
        /// The sums.
        counts: Counts,
    },
    /// The stage that the sender has reached.
    Stage {
        /// The store's version of the order.
        revision: u64,
        /// The stage.
        stage: Stage,
        /// The time since the roll-out began.
        elapsed: Millis,
    },
    /// A router that has just started asks for the stage.
    Query {
        /// The store's version of the order.
        revision: u64,
        /// The hash of the name of the router's host.
        host: u32,
    },
}

impl Message {
    /// The store's version of the order.
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Report { revision, .. }
            | Self::Zone { revision, .. }
            | Self::Stage { revision, .. }
            | Self::Query { revision, .. } => *revision,
        }
    }
}
