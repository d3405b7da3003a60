//! Changes as operators propose them, and the judgement on them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use units::{change, operator, revision};

use crate::{
    change::Change,
    check::{self, Fault, Faults, Fields},
    key::Key,
    resource::Resource,
    snapshot::Snapshot,
};

/// The most resources in one change.
const MAX_RESOURCES: usize = 5_000;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Proposal {
    /// The name that the operator gives it. A repeat with the same name is not applied twice.
    pub id: change::Id,
    /// The resources to be created or replaced.
    pub puts: Vec<Resource>,
    /// The resources to be deleted.
    pub deletes: Vec<Key>,
    /// The generations that resources must have, zero for one that must be absent.
    pub expect: BTreeMap<Key, revision::Generation>,
}

/// A resource whose generation is not the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The resource.
    pub resource: Key,
    /// Its present generation, zero when it is absent.
    pub generation: revision::Generation,
}

/// Why a proposal is refused. It has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is faulty.
    Invalid(Vec<Fault>),
    /// Another change came first.
    Conflict(Vec<Conflict>),
}

/// What a proposal comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Evaluation {
    /// It leads to the next revision by this change.
    Change(Change),
    /// Everything is as it asks already.
    Unchanged,
}

impl Proposal {
    /// Reads a proposal from JSON.
    ///
    /// # Errors
    ///
    /// All faults of all fields, up to [`check::MAX_FAULTS`].
    pub fn read(value: &Value) -> Result<Self, Vec<Fault>> {
        let mut faults = Faults::default();
        let read = Self::read_fields(value, &mut faults);
        match read {
            Some(proposal) if faults.is_empty() => Ok(proposal),
            _ => Err(faults.into_vec()),
        }
    }

    fn read_fields(value: &Value, faults: &mut Faults) -> Option<Self> {
        let mut fields = Fields::new(value, "", faults)?;
        let id = fields.required("id", faults);
        let puts = check::elements(fields.value("puts"), "puts", MAX_RESOURCES, faults);
        let puts: Vec<Resource> = puts
            .iter()
            .filter_map(|(path, value)| check::resource(value, path, faults))
            .collect();
        let deletes = check::elements(fields.value("deletes"), "deletes", MAX_RESOURCES, faults);
        let deletes: Vec<Key> = deletes
            .iter()
            .filter_map(|(path, value)| read_key(value, path, faults))
            .collect();
        let expect = fields.or_default("expect", BTreeMap::new(), faults);
        fields.reject_unknown(faults);
        if puts.is_empty() && deletes.is_empty() && faults.is_empty() {
            faults.add("puts", "the change neither puts nor deletes anything");
        }
        report_duplicates(&puts, &deletes, faults);
        Some(Self {
            id: id?,
            puts,
            deletes,
            expect: expect?,
        })
    }

    /// Judges the proposal against `snapshot`, the configuration it would change.
    ///
    /// `who` asks for it, and `when` is the present time in milliseconds since 1970.
    ///
    /// # Errors
    ///
    /// [`Refusal::Conflict`] when an expected generation is not the present
    /// one, [`Refusal::Invalid`] when the configuration would become faulty.
    pub fn evaluate(
        &self,
        snapshot: &Snapshot,
        who: &operator::Id,
        when: u64,
    ) -> Result<Evaluation, Refusal> {
        self.check_generations(snapshot)?;
        self.check_deletes(snapshot)?;
        let puts = self.changed(snapshot);
        if puts.is_empty() && self.deletes.is_empty() {
            return Ok(Evaluation::Unchanged);
        }
        let change = Change {
            id: self.id.clone(),
            who: who.clone(),
            when,
            from: snapshot.revision(),
            to: snapshot.revision().next(),
            puts,
            deletes: self.deletes.clone(),
        };
        check_result(snapshot, &change)?;
        Ok(Evaluation::Change(change))
    }

    fn check_generations(&self, snapshot: &Snapshot) -> Result<(), Refusal> {
        let conflicts: Vec<Conflict> = self
            .expect
            .iter()
            .filter(|(key, expected)| snapshot.generation(key) != **expected)
            .map(|(key, _)| Conflict {
                resource: key.clone(),
                generation: snapshot.generation(key),
            })
            .collect();
        if conflicts.is_empty() {
            return Ok(());
        }
        Err(Refusal::Conflict(conflicts))
    }

    fn check_deletes(&self, snapshot: &Snapshot) -> Result<(), Refusal> {
        let mut faults = Faults::default();
        for (index, key) in self.deletes.iter().enumerate() {
            if snapshot.resource(key).is_none() {
                faults.add(
                    &format!("deletes[{index}]"),
                    format!("{key} is not declared"),
                );
            }
        }
        into_result(faults)
    }

    /// The puts that differ from what is declared.
    fn changed(&self, snapshot: &Snapshot) -> Vec<Resource> {
        let differs = |resource: &&Resource| {
            let declared = snapshot.resource(&resource.key());
            declared.is_none_or(|declared| declared.resource != **resource)
        };
        self.puts.iter().filter(differs).cloned().collect()
    }
}

fn check_result(snapshot: &Snapshot, change: &Change) -> Result<(), Refusal> {
    let mut faults = Faults::default();
    let mut result = snapshot.clone();
    match result.apply(change) {
        Ok(()) => check::snapshot(&result, &mut faults),
        Err(mismatch) => faults.add("", mismatch),
    }
    into_result(faults)
}

fn into_result(faults: Faults) -> Result<(), Refusal> {
    if faults.is_empty() {
        return Ok(());
    }
    Err(Refusal::Invalid(faults.into_vec()))
}

fn read_key(value: &Value, path: &str, faults: &mut Faults) -> Option<Key> {
    match Key::deserialize(value) {
        Ok(key) => Some(key),
        Err(error) => {
            faults.add(path, error);
            None
        }
    }
}

/// The order in which a change names a resource twice would decide what becomes of it.
fn report_duplicates(puts: &[Resource], deletes: &[Key], faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    let put = puts.iter().map(Resource::key);
    for key in put.chain(deletes.iter().cloned()) {
        if let Some(key) = seen.replace(key) {
            faults.add(&key.to_string(), "stands twice in the change");
        }
    }
}
