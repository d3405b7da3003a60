//! What the administration answers, as JSON.

use crate::{
    change::Change,
    check, key, proposal,
    refused::Refused,
    resource,
    state::{Coverage, Router, State, Zones},
};
use serde::{Deserialize, Serialize};
use units::{availability, backend, change, revision};

/// How a change ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It was committed.
    Accepted,
    /// It had been committed by an earlier try with the same id.
    Repeated,
    /// Everything was as it asks.
    Unchanged,
}

/// The answer to a change that ended well.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The name of the change.
    pub id: change::Id,
    /// How it ended.
    pub outcome: Outcome,
    /// The revision that it made, or that stood unchanged.
    pub revision: revision::Id,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body is no JSON or too large, or a parameter is wrong.
    Malformed,
    /// The change is faulty.
    Invalid,
    /// Another change came first.
    Conflict,
    /// There is no such thing.
    NotFound,
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's role does not allow it.
    Forbidden,
    /// The platform cannot be reached.
    PlatformDown,
    /// The answer to a write or an order was lost.
    OutcomeUnknown,
    /// Another administration holds the lease for orders.
    LeaseHeld,
    /// The engine refused the order.
    Refused,
    /// The engine cannot be reached.
    Unreachable,
}

/// Whether a failed change may have been committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was not.
    NotRun,
    /// It may have been.
    MayHaveRun,
}

/// A failed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Why it failed.
    pub code: Code,
    /// One sentence about it.
    pub message: String,
    /// Whether a change may have been committed.
    pub verdict: Verdict,
    /// When to come back, in seconds, where waiting helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// The faults of a change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<check::Fault>,
    /// The present generations where a change came too late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<proposal::Conflict>,
}

impl Error {
    /// A failure that changed nothing.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            verdict: Verdict::NotRun,
            retry_after: None,
            faults: Vec::new(),
            conflicts: Vec::new(),
        }
    }
}

/// The body of a failed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// What failed.
    pub error: Error,
}

/// How fresh an answer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The revision of the configuration.
    pub revision: revision::Id,
    /// The time since the table confirmed it, in milliseconds.
    pub age_ms: u64,
    /// Whether the platform answers: `up` or `down`.
    pub platform: String,
    /// The time since a router told of the fleet, in milliseconds. Unset: never.
    #[serde(default)]
    pub fleet_age_ms: Option<u64>,
}

/// A resource and how far it has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The resource.
    pub resource: resource::Resource,
    /// Its generation, which is the revision that put it.
    pub generation: revision::Generation,
    /// How far it has come.
    pub state: State,
    /// How far it has come in each zone, where it is not in force everywhere.
    #[serde(default, skip_serializing_if = "Zones::is_empty")]
    pub zones: Zones,
}

/// A resource that was deleted lately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Removed {
    /// The resource.
    pub key: key::Key,
    /// The revision without it.
    pub revision: revision::Id,
    /// How far its deletion has come.
    pub state: State,
    /// How far it has come in each zone, where it is not withdrawn everywhere.
    #[serde(default, skip_serializing_if = "Zones::is_empty")]
    pub zones: Zones,
}

/// A change that is not known to be committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pending {
    /// The name of the change.
    pub id: change::Id,
    /// The resources that it puts and deletes.
    pub keys: Vec<key::Key>,
}

/// The list of resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// How fresh it is.
    #[serde(flatten)]
    pub freshness: Freshness,
    /// The resources in the order of their keys.
    pub resources: Vec<Listed>,
    /// Those that were deleted lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Removed>,
    /// The changes that are not known to be committed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<Pending>,
}

/// A backend server as its owner tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Its name.
    pub name: backend::Server,
    /// Its availability zone, where it is told.
    #[serde(default)]
    pub zone: Option<availability::Zone>,
    /// Requests in flight.
    pub in_flight: u64,
    /// The most requests allowed at present.
    pub limit: u64,
    /// Requests that wait.
    pub queued: u64,
    /// What admission does.
    pub state: String,
    /// Whether it is drained.
    #[serde(default)]
    pub drained: bool,
}

/// Refusals of one kind since the routers started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusals {
    /// Why.
    pub code: String,
    /// Whether the requests may have run.
    pub verdict: String,
    /// How many.
    pub count: u64,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub name: availability::Zone,
    /// Whether it gets new work.
    pub service: resource::Service,
    /// How far it has applied the present revision.
    #[serde(flatten)]
    pub coverage: Coverage,
}

/// The fleet at a glance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// How fresh the configuration is.
    #[serde(flatten)]
    pub freshness: Freshness,
    /// The routers that were asked.
    pub asked: usize,
    /// Those that answered.
    pub answered: usize,
    /// The zones.
    pub zones: Vec<Zone>,
    /// The routers, as the heartbeats of those that answered tell.
    pub routers: Vec<Router>,
    /// The backend servers owned by the routers that answered.
    pub engines: Vec<Engine>,
    /// What the routers that answered have refused.
    pub refusals: Vec<Refusals>,
}

/// The audit trail: accepted changes, the earliest first, and refused ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The changes.
    pub changes: Vec<Change>,
    /// The changes refused since the earliest of them, the earliest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<Refused>,
}

/// The answer to an order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// The engine.
    pub server: backend::Server,
    /// The fencing number under which it got the order.
    pub fence: u64,
}
