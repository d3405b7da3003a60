//! Regions: groups of zones that are close enough to share their backend servers.

use std::fmt;

use units::availability;

/// A region, named by the common prefix of its zones' names.
///
/// The region of a zone is its name up to the last `-`, so `lk-west-1` and
/// `lk-west-2` are zones of `lk-west`. Zones without a `-` share one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Region(String);

impl Region {
    /// The region of `zone`.
    pub fn of(zone: &availability::Zone) -> Self {
        Self(String::from(prefix(zone)))
    }

    /// Whether `zone` belongs to the region.
    pub fn contains(&self, zone: &availability::Zone) -> bool {
        prefix(zone) == self.0
    }
}

fn prefix(zone: &availability::Zone) -> &str {
    zone.as_str()
        .rsplit_once('-')
        .map_or("", |(region, _)| region)
}

impl fmt::Display for Region {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
