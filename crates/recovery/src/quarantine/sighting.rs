//! What was in flight at a crash.

use smallvec::SmallVec;
use units::request::{Fingerprint, Part};

use crate::evidence::{Crash, Interval};

/// The maximum number of parts in one sighting. Those of a longer prompt are spread over several,
/// each small enough for a datagram.
pub const MAX_CHAIN: usize = 8;

/// The parts of a request that others may share, and its fingerprint.
pub type Chain = SmallVec<[Part; 4]>;

/// A request was in flight at a server that crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The crash.
    pub crash: Crash,
    /// When the crash happened.
    pub interval: Interval,
    /// The parts of the request.
    pub chain: Chain,
}

impl Sighting {
    /// The sightings of a request with the given shared parts.
    pub fn of_request(
        fingerprint: Fingerprint,
        parts: &[Part],
        crash: Crash,
        interval: Interval,
    ) -> impl Iterator<Item = Self> {
        parts.chunks(MAX_CHAIN - 1).map(move |parts| {
            let own = Part(fingerprint.0);
            let chain = parts.iter().copied().chain([own]);
            Self {
                crash,
                interval,
                chain: chain.collect(),
            }
        })
    }

    /// The fingerprint of the request, as a part.
    pub(super) fn fingerprint(&self) -> Part {
        self.chain.last().copied().unwrap_or_default()
    }

    /// Whether both are of the same request at the same crash.
    pub(super) fn is_same_request(&self, other: &Self) -> bool {
        self.crash == other.crash && self.chain == other.chain
    }
}
