//! Snapshots of the configuration.

use std::{collections, error, fmt};

use serde::{Deserialize, Serialize};
use units::{availability, backend, pool, revision, workspace};

use crate::{
    change, key,
    resource::{self, Resource},
    rows,
};

/// All resources at one revision, with indexes for lookups.
///
/// The revision never decreases: [`Snapshot::apply`] accepts only the change
/// that directly follows the current revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Wire", into = "Wire")]
pub struct Snapshot {
    revision: revision::Id,
    resources: collections::BTreeMap<key::Key, rows::Declared>,
    workspaces: collections::BTreeMap<workspace::Id, resource::Workspace>,
    pools: collections::BTreeMap<pool::Id, resource::Pool>,
    zones: collections::BTreeMap<availability::Zone, resource::Service>,
    drained: collections::BTreeSet<backend::Server>,
    /// The routes in matching order: longest path prefix first, and for equal lengths those
    /// with a model first.
    routes: Vec<resource::Route>,
}

/// The serialized form of a snapshot, without the indexes. Deserialization rebuilds them.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Wire {
    revision: revision::Id,
    resources: Vec<rows::Declared>,
}

impl From<Wire> for Snapshot {
    fn from(wire: Wire) -> Self {
        Self::new(wire.revision, wire.resources)
    }
}

impl From<Snapshot> for Wire {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            revision: snapshot.revision,
            resources: snapshot.resources.into_values().collect(),
        }
    }
}

impl Snapshot {
    /// Creates the snapshot that consists of `resources` at `revision`.
    pub fn new(
        revision: revision::Id,
        resources: impl IntoIterator<Item = rows::Declared>,
    ) -> Self {
        let mut snapshot = Self {
            revision,
            ..Self::default()
        };
        for declared in resources {
            snapshot.put(declared);
        }
        snapshot.sort_routes();
        snapshot
    }

    /// Creates the snapshot from the rows of one scan of [`rows::SNAPSHOT_PREFIX`].
    ///
    /// # Errors
    ///
    /// The first row that cannot be parsed. Malformed rows are not skipped, because
    /// a skipped resource would be indistinguishable from a deleted one.
    pub fn from_rows<'a>(
        table_rows: impl IntoIterator<Item = (&'a str, &'a serde_json::Value)>,
    ) -> Result<Self, rows::Malformed> {
        let mut revision = revision::Id::default();
        let mut resources = Vec::new();
        for (key, value) in table_rows {
            let malformed = |reason: serde_json::Error| rows::Malformed::new(key, reason);
            if key == rows::REVISION {
                revision = Deserialize::deserialize(value).map_err(malformed)?;
            } else if key.starts_with(rows::RESOURCE_PREFIX) {
                resources.push(Deserialize::deserialize(value).map_err(malformed)?);
            }
        }
        Ok(Self::new(revision, resources))
    }

    /// Applies `change` and advances to the revision that it created.
    ///
    /// # Errors
    ///
    /// [`Mismatch::Stale`] if the snapshot already contains the change, and
    /// [`Mismatch::Gap`] if an earlier change is missing. The snapshot is then
    /// unchanged, so a late or duplicate change never reverts a resource.
    pub fn apply(&mut self, change: &change::Change) -> Result<(), Mismatch> {
        let current = self.revision;
        if change.to <= current {
            return Err(Mismatch::Stale {
                current,
                offered: change.to,
            });
        }
        if change.from != current || change.to != current.next() {
            return Err(Mismatch::Gap {
                current,
                offered: change.to,
            });
        }
        for key in &change.deletes {
            self.delete(key);
        }
        for resource in &change.puts {
            self.put(rows::Declared {
                resource: resource.clone(),
                revision: change.to,
            });
        }
        self.sort_routes();
        self.revision = change.to;
        Ok(())
    }

    /// The revision of the configuration.
    pub fn revision(&self) -> revision::Id {
        self.revision
    }

    /// All resources, ordered by key.
    pub fn resources(&self) -> impl Iterator<Item = &rows::Declared> {
        self.resources.values()
    }

    /// The resource with the key `key`.
    pub fn resource(&self, key: &key::Key) -> Option<&rows::Declared> {
        self.resources.get(key)
    }

    /// The generation of the resource with the key `key`: the revision that put it, or zero if
    /// it is absent.
    pub fn generation(&self, key: &key::Key) -> revision::Generation {
        let declared = self.resources.get(key);
        revision::Generation(declared.map_or(0, |declared| declared.revision.0))
    }

    /// The workspace with the name `id`.
    pub fn workspace(&self, id: &workspace::Id) -> Option<&resource::Workspace> {
        self.workspaces.get(id)
    }

    /// All workspaces, ordered by name.
    pub fn workspaces(&self) -> impl Iterator<Item = &resource::Workspace> {
        self.workspaces.values()
    }

    /// The route of a request: the one with the longest matching path prefix. Among equal
    /// prefixes, a route for `model` precedes one for any model.
    ///
    /// The HTTP method does not affect the choice. It only matters for
    /// [`resource::Route::is_idempotent`].
    pub fn route(&self, path: &str, model: Option<&str>) -> Option<&resource::Route> {
        self.routes.iter().find(|route| {
            path_matches(&route.path, path)
                && (route.model.is_none() || route.model.as_deref() == model)
        })
    }

    /// All routes in matching order.
    pub fn routes(&self) -> &[resource::Route] {
        &self.routes
    }

    /// The pool with the name `id`.
    pub fn pool(&self, id: &pool::Id) -> Option<&resource::Pool> {
        self.pools.get(id)
    }

    /// All pools, ordered by name.
    pub fn pools(&self) -> impl Iterator<Item = &resource::Pool> {
        self.pools.values()
    }

    /// Whether `zone` receives new requests. An undeclared zone does.
    pub fn zone_service(&self, zone: &availability::Zone) -> resource::Service {
        self.zones.get(zone).copied().unwrap_or_default()
    }

    /// Whether `server` is drained and receives no new requests.
    pub fn is_drained(&self, server: &backend::Server) -> bool {
        self.drained.contains(server)
    }

    fn put(&mut self, declared: rows::Declared) {
        let key = declared.resource.key();
        match declared.resource.clone() {
            Resource::Workspace(workspace) => {
                self.workspaces.insert(workspace.name.clone(), workspace);
            }
            Resource::Pool(pool) => {
                self.pools.insert(pool.name.clone(), pool);
            }
            Resource::Route(route) => {
                self.routes.retain(|other| other.name != route.name);
                self.routes.push(route);
            }
            Resource::Zone(zone) => {
                self.zones.insert(zone.name, zone.service);
            }
            Resource::Drain(drain) => {
                self.drained.insert(drain.name);
            }
        }
        self.resources.insert(key, declared);
    }

    fn delete(&mut self, key: &key::Key) {
        let Some(declared) = self.resources.remove(key) else {
            return;
        };
        match declared.resource {
            Resource::Workspace(workspace) => {
                self.workspaces.remove(&workspace.name);
            }
            Resource::Pool(pool) => {
                self.pools.remove(&pool.name);
            }
            Resource::Route(route) => self.routes.retain(|other| other.name != route.name),
            Resource::Zone(zone) => {
                self.zones.remove(&zone.name);
            }
            Resource::Drain(drain) => {
                self.drained.remove(&drain.name);
            }
        }
    }

    fn sort_routes(&mut self) {
        self.routes.sort_by(|a, b| {
            let length = b.path.len().cmp(&a.path.len());
            let model = b.model.is_some().cmp(&a.model.is_some());
            length.then(model).then_with(|| a.name.cmp(&b.name))
        });
    }
}

/// Whether `path` matches `prefix` by whole segments: `/v1` matches `/v1` and `/v1/chat`, but
/// not `/v10`.
fn path_matches(prefix: &str, path: &str) -> bool {
    match path.strip_prefix(prefix) {
        Some("") => true,
        Some(rest) => prefix.ends_with('/') || rest.starts_with('/'),
        None => false,
    }
}

/// Why a change cannot be applied to a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The snapshot already contains the change.
    Stale {
        /// The revision of the snapshot.
        current: revision::Id,
        /// The revision that the change created.
        offered: revision::Id,
    },
    /// An earlier change is missing.
    Gap {
        /// The revision of the snapshot.
        current: revision::Id,
        /// The revision that the change created.
        offered: revision::Id,
    },
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale { current, offered } => {
                write!(f, "change to revision {offered} is contained in {current}")
            }
            Self::Gap { current, offered } => {
                write!(
                    f,
                    "change to revision {offered} does not follow revision {current}"
                )
            }
        }
    }
}

impl error::Error for Mismatch {}
