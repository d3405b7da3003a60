//! Builds changes from what is declared and what is wanted.

use std::collections::{BTreeMap, BTreeSet};

use config::{answer::List, key, proposal::Proposal, resource::Resource};
use units::{change, revision};

/// The change that leads from `list` to the `desired` resources.
///
/// It expects the generations that were read, so that it fails if another
/// operator's change comes in between.
pub(crate) fn difference(
    list: &List,
    desired: Vec<Resource>,
    prune: bool,
    id: Option<change::Id>,
) -> Proposal {
    let declared: BTreeMap<key::Key, &Resource> = list
        .resources
        .iter()
        .map(|declared| (declared.resource.key(), &declared.resource))
        .collect();
    let keys: BTreeSet<key::Key> = desired.iter().map(Resource::key).collect();
    let puts: Vec<Resource> = desired
        .into_iter()
        .filter(|resource| declared.get(&resource.key()) != Some(&resource))
        .collect();
    let deletes: Vec<key::Key> = declared
        .into_keys()
        .filter(|key| prune && is_file_managed(key.kind()) && !keys.contains(key))
        .collect();
    let changed = puts.iter().map(Resource::key).chain(deletes.clone());
    Proposal {
        expect: changed
            .map(|key| (key.clone(), generation(list, &key)))
            .collect(),
        id: id.unwrap_or_else(random_id),
        puts,
        deletes,
    }
}

/// Whether operators keep resources of this type in files.
///
/// Drains and zones are switched by hand: a file that is silent about them must
/// not bring a drained server or a zone that is out back into service.
fn is_file_managed(kind: key::Type) -> bool {
    match kind {
        key::Type::Workspace | key::Type::Pool | key::Type::Route => true,
        key::Type::Zone | key::Type::Drain => false,
    }
}

/// The change that deletes `keys` as they stand in `list`.
pub(crate) fn deletion(list: &List, keys: Vec<key::Key>, id: Option<change::Id>) -> Proposal {
    let expected = |key: &key::Key| (key.clone(), generation(list, key));
    Proposal {
        id: id.unwrap_or_else(random_id),
        puts: Vec::new(),
        expect: keys.iter().map(expected).collect(),
        deletes: keys,
    }
}

/// The change that puts one resource, whatever stands there.
pub(crate) fn single(resource: Resource, id: Option<change::Id>) -> Proposal {
    Proposal {
        id: id.unwrap_or_else(random_id),
        puts: vec![resource],
        deletes: Vec::new(),
        expect: BTreeMap::new(),
    }
}

/// The generation of a resource in `list`, zero when it is absent.
pub(crate) fn generation(list: &List, key: &key::Key) -> revision::Generation {
    let declared = list
        .resources
        .iter()
        .find(|declared| declared.resource.key() == *key);
    declared
        .map(|declared| declared.generation)
        .unwrap_or_default()
}

/// A new name for a change.
fn random_id() -> change::Id {
    let id = format!("{:016x}", rand::random::<u64>());
    id.parse().expect("hex digits are a name")
}
