//! Which versions of each service a router has seen.

use std::{collections::BTreeMap, time::Duration};

use units::{backend, pool, time::Instant};

use crate::service_versions::Versions;

/// How long a version without servers is remembered.
pub const MEMORY: Duration = Duration::from_secs(600);

/// A registered server, as far as its version is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// The service.
    pub pool: &'a pool::Id,
    /// The version of the server's software.
    pub version: &'a backend::Version,
}

/// The versions of each service, and when their last server was registered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    seen: BTreeMap<pool::Id, BTreeMap<backend::Version, Instant>>,
    /// The versions that routers have recorded, also before this one started.
    recorded: Versions,
}

impl History {
    /// Applies the registered servers.
    pub fn observe<'a>(&mut self, servers: impl Iterator<Item = Entry<'a>>, now: Instant) {
        for versions in self.seen.values_mut() {
            for last_seen in versions.values_mut() {
                // The server may have been registered until now.
                *last_seen = now.min(*last_seen);
            }
            versions.retain(|_, last_seen| now < *last_seen + MEMORY);
        }
        for server in servers {
            let versions = self.seen.entry(server.pool.clone()).or_default();
            versions.insert(server.version.clone(), Instant::NEVER);
        }
    }

    /// Applies the versions that the store lists.
    pub fn set_recorded(&mut self, recorded: Versions) {
        self.recorded = recorded;
    }

    /// The versions that had servers in the last [`MEMORY`].
    pub fn seen(&self) -> Versions {
        let services = self.seen.iter();
        services
            .map(|(pool, versions)| (pool.clone(), versions.keys().cloned().collect()))
            .collect()
    }

    /// The only version that a service has had, as far as routers have recorded and this one has
    /// seen; `None` if there were several, or nothing is recorded.
    pub fn only_recorded_version(&self, pool: &pool::Id) -> Option<&backend::Version> {
        let mut recorded = self.recorded.get(pool)?.iter();
        let (Some(only), None) = (recorded.next(), recorded.next()) else {
            return None;
        };
        let mut seen = self.seen.get(pool).into_iter().flat_map(BTreeMap::keys);
        seen.all(|version| version == only).then_some(only)
    }

    /// Whether routers that start cannot tell from the record of versions alone which one began the
    /// streams of a service.
    pub fn has_several_versions(&self, pool: &pool::Id) -> bool {
        self.only_recorded_version(pool).is_none()
    }

    /// The only version of a service that this router has seen in the last `span`; `None` if
    /// there were several, or none.
    pub fn only_version(
        &self,
        pool: &pool::Id,
        span: Duration,
        now: Instant,
    ) -> Option<&backend::Version> {
        let versions = self.seen.get(pool)?;
        let mut recent = versions
            .iter()
            .filter(|(_, last_seen)| **last_seen == Instant::NEVER || now < **last_seen + span);
        match (recent.next(), recent.next()) {
            (Some((version, _)), None) => Some(version),
            _ => None,
        }
    }
}
