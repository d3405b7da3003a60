//! Changes that operators propose, and their evaluation.

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

/// The maximum number of puts, and of deletes, in one change.
const MAX_RESOURCES: usize = 5_000;

/// A change proposed by an operator.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Proposal {
    /// The idempotency key that the operator chooses. A retry with the same key is not applied
    /// twice.
    pub id: change::Id,
    /// The resources to create or replace.
    pub puts: Vec<Resource>,
    /// The keys of the resources to delete.
    pub deletes: Vec<Key>,
    /// The preconditions: the generation that each of these resources must have, zero for a
    /// resource that must be absent.
    pub expect: BTreeMap<Key, revision::Generation>,
}

/// A resource whose generation is not the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The key of the resource.
    pub resource: Key,
    /// The current generation of the resource, zero if it is absent.
    pub generation: revision::Generation,
}

/// Why a proposal is refused. A refused proposal changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The proposal is not valid.
    Invalid(Vec<Fault>),
    /// A precondition failed because another change was committed first.
    Conflict(Vec<Conflict>),
}

/// The evaluation of a valid proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Evaluation {
    /// The change that the proposal makes, which creates the next revision.
    Change(Change),
    /// The configuration already is as proposed.
    Unchanged,
}

impl Proposal {
    /// Parses and checks a proposal in JSON.
    ///
    /// # Errors
    ///
    /// The faults of all fields, up to [`check::MAX_FAULTS`].
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

    /// Evaluates the proposal against `snapshot`, the configuration that it would change.
    ///
    /// `who` is the operator who proposed it and `when` the current time in
    /// milliseconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// [`Refusal::Conflict`] if an expected generation is not the current one,
    /// [`Refusal::Invalid`] if a resource to delete is not declared or the resulting
    /// configuration would not be valid.
    pub fn evaluate(
        &self,
        snapshot: &Snapshot,
        who: &operator::Id,
        when: u64,
    ) -> Result<Evaluation, Refusal> {
        self.check_generations(snapshot)?;
        self.check_deletes(snapshot)?;
        let puts = self.changed_puts(snapshot);
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

    /// The puts that differ from the declared resources.
    fn changed_puts(&self, snapshot: &Snapshot) -> Vec<Resource> {
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

/// Reports resources that occur more than once in a change. The result of such a change
/// would depend on the order of its entries.
fn report_duplicates(puts: &[Resource], deletes: &[Key], faults: &mut Faults) {
    let mut seen = BTreeSet::new();
    let put = puts.iter().map(Resource::key);
    for key in put.chain(deletes.iter().cloned()) {
        if let Some(key) = seen.replace(key) {
            faults.add(&key.to_string(), "stands twice in the change");
        }
    }
}
