//! Builds changes from the declared and the desired resources.

use std::collections::{BTreeMap, BTreeSet};

use config::{key, proposal::Proposal, resource::Resource, response::List};
use units::{change, revision};

/// Returns the change from the resources in `list` to the `desired` resources.
///
/// It is conditional on the generations in `list`, so it fails if another operator's
/// change is committed in between.
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

/// Returns whether resources of this type are managed in files.
///
/// Drains and zones are managed by commands: a file that omits them must not return a
/// drained backend server or a zone out of service to service.
fn is_file_managed(kind: key::Type) -> bool {
    match kind {
        key::Type::Workspace | key::Type::Pool | key::Type::Route => true,
        key::Type::Zone | key::Type::Drain => false,
    }
}

/// Returns the change that deletes `keys`, conditional on their generations in `list`.
pub(crate) fn deletion(list: &List, keys: Vec<key::Key>, id: Option<change::Id>) -> Proposal {
    let expected = |key: &key::Key| (key.clone(), generation(list, key));
    Proposal {
        id: id.unwrap_or_else(random_id),
        puts: Vec::new(),
        expect: keys.iter().map(expected).collect(),
        deletes: keys,
    }
}

/// Returns the change that puts one resource unconditionally.
pub(crate) fn single(resource: Resource, id: Option<change::Id>) -> Proposal {
    Proposal {
        id: id.unwrap_or_else(random_id),
        puts: vec![resource],
        deletes: Vec::new(),
        expect: BTreeMap::new(),
    }
}

/// Returns the generation of a resource in `list`, or zero if it is absent.
pub(crate) fn generation(list: &List, key: &key::Key) -> revision::Generation {
    let declared = list
        .resources
        .iter()
        .find(|declared| declared.resource.key() == *key);
    declared
        .map(|declared| declared.generation)
        .unwrap_or_default()
}

/// Returns a random change id.
fn random_id() -> change::Id {
    let id = format!("{:016x}", rand::random::<u64>());
    id.parse().expect("hex digits are a valid id")
}
