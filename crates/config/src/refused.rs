//! Refused changes in the audit trail.

use serde::{Deserialize, Serialize};
use units::{change, operator, revision};

use crate::{key, proposal, resource};

/// The reason for which a change was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reason {
    /// The change was not valid.
    Invalid,
    /// Another change was committed first.
    Conflict,
}

/// An entry of the audit trail for a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The idempotency key that the operator chose.
    pub id: change::Id,
    /// The operator who proposed the change.
    pub who: operator::Id,
    /// The time of the refusal, in milliseconds since the Unix epoch.
    pub when: u64,
    /// The revision against which the change was evaluated, or an earlier one.
    pub revision: revision::Id,
    /// The reason for the refusal.
    pub reason: Reason,
    /// The keys of the resources that the change would have put.
    pub puts: Vec<key::Key>,
    /// The keys of the resources that the change would have deleted.
    pub deletes: Vec<key::Key>,
}

impl Refused {
    /// Creates the entry for `proposal` by the operator `who`, which was refused with `refusal`.
    pub fn new(
        proposal: &proposal::Proposal,
        refusal: &proposal::Refusal,
        who: &operator::Id,
        when: u64,
        revision: revision::Id,
    ) -> Self {
        Self {
            id: proposal.id.clone(),
            who: who.clone(),
            when,
            revision,
            reason: match refusal {
                proposal::Refusal::Invalid(_) => Reason::Invalid,
                proposal::Refusal::Conflict(_) => Reason::Conflict,
            },
            puts: proposal.puts.iter().map(resource::Resource::key).collect(),
            deletes: proposal.deletes.clone(),
        }
    }
}
