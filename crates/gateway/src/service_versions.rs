//! The versions of each service, which the store keeps for routers that start.
//!
//! A router that has just started does not know which versions served before. If it took the one that
//! it sees for the only one, streams of an earlier version would go on at it.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time;
use units::{backend, host, pool};
use xxhash_rust::xxh3;

use crate::{
    recorder::{self, CALL_TIMEOUT},
    source::{Error, Source},
};

/// The versions of each service.
pub type Versions = BTreeMap<pool::Id, BTreeSet<backend::Version>>;

/// The versions of each service that the store lists, with the store's version of each record: it is
/// lower for one that was recorded earlier.
pub type Records = BTreeMap<pool::Id, BTreeMap<backend::Version, u64>>;

/// The versions on record.
pub fn versions(records: &Records) -> Versions {
    let services = records.iter();
    services
        .map(|(pool, versions)| (pool.clone(), versions.keys().cloned().collect()))
        .collect()
}

/// A version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Entry {
    /// The service.
    pub pool: pool::Id,
    /// A version that serves or has served.
    pub version: backend::Version,
}

impl Entry {
    /// A hash of both, by which the store keeps them apart.
    pub fn hash(&self) -> u64 {
        let pool = xxh3::xxh3_64(self.pool.as_str().as_bytes());
        xxh3::xxh3_64_with_seed(self.version.as_str().as_bytes(), pool)
    }
}

/// The differences between the versions that were seen and those that the store lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Versions that the store does not list, in the order in which they are recorded.
    pub unrecorded: Vec<Entry>,
    /// Versions that the store lists although they have been gone for long.
    pub outdated: Vec<Entry>,
    /// The routers that share the work.
    pub members: Vec<host::Id>,
}

impl Backlog {
    /// Compares the versions that serve now, the one in service first, with those `recorded`, and these
    /// with those that were `seen` for as long as they may be of significance, if that is known.
    pub fn new(
        serving: Vec<Entry>,
        seen: Option<&Versions>,
        recorded: &Versions,
        members: Vec<host::Id>,
    ) -> Self {
        let mut unrecorded = serving;
        unrecorded.retain(|entry| !contains(recorded, &entry.pool, &entry.version));
        Self {
            unrecorded,
            outdated: seen.map_or_else(Vec::new, |seen| difference(recorded, seen)),
            members,
        }
    }
}

fn contains(versions: &Versions, pool: &pool::Id, version: &backend::Version) -> bool {
    let versions = versions.get(pool);
    versions.is_some_and(|versions| versions.contains(version))
}

/// What is in `left` and not in `right`.
fn difference(left: &Versions, right: &Versions) -> Vec<Entry> {
    let mut difference = Vec::new();
    for (pool, versions) in left {
        for version in versions
            .iter()
            .filter(|version| !contains(right, pool, version))
        {
            difference.push(Entry {
                pool: pool.clone(),
                version: version.clone(),
            });
        }
    }
    difference
}

impl recorder::Backlog for Backlog {
    const FAILURE: &'static str = "versions_not_recorded";

    fn first(&self) -> Option<u64> {
        let first = self.unrecorded.iter().chain(&self.outdated).next();
        first.map(Entry::hash)
    }

    fn members(&self) -> &[host::Id] {
        &self.members
    }

    async fn apply<S: Source>(&self, source: &S, _: &host::Id) -> Result<(), Error> {
        for entry in &self.unrecorded {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            source.record_version(entry, deadline).await?;
            let (pool, version) = (&entry.pool, &entry.version);
            logging::event!(info, "version_recorded", pool = pool, version = version);
        }
        for entry in &self.outdated {
            let deadline = time::Instant::now() + CALL_TIMEOUT;
            source.remove_version(entry, deadline).await?;
            let (pool, version) = (&entry.pool, &entry.version);
            logging::event!(info, "version_removed", pool = pool, version = version);
        }
        Ok(())
    }
}
