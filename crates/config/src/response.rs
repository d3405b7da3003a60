//! JSON bodies of the responses of the administration process.

use crate::{
    change::Change,
    check, key, proposal,
    refused::Refused,
    resource,
    state::{Coverage, Router, State, Zones},
};
use serde::{Deserialize, Serialize};
use units::{availability, backend, change, revision};

/// The outcome of a successful change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change was committed.
    Accepted,
    /// The change was already committed by an earlier attempt with the same id.
    Repeated,
    /// The configuration already was as proposed.
    Unchanged,
}

/// The response to a successful change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The id of the change.
    pub id: change::Id,
    /// The outcome of the change.
    pub outcome: Outcome,
    /// The revision that the change created, or the current revision if nothing changed.
    pub revision: revision::Id,
}

/// The reason for which a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The body is not JSON or is too large, or a parameter is invalid.
    Malformed,
    /// The change is not valid.
    Invalid,
    /// Another change was committed first.
    Conflict,
    /// The requested object does not exist.
    NotFound,
    /// The token is missing or unknown.
    Unauthorized,
    /// The role of the token does not permit the request.
    Forbidden,
    /// There is no memory for the body now.
    Busy,
    /// The platform is unreachable.
    PlatformDown,
    /// The response to a write or an order was lost.
    OutcomeUnknown,
    /// Another administration process holds the lease for orders.
    LeaseHeld,
    /// The engine refused the order.
    Refused,
    /// The engine is unreachable.
    Unreachable,
}

/// Whether a failed change may have been committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change was not committed.
    NotRun,
    /// The change may have been committed.
    MayHaveRun,
}

/// The error of a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The reason for the failure.
    pub code: Code,
    /// A description of the failure in one sentence.
    pub message: String,
    /// Whether a change may have been committed.
    pub verdict: Verdict,
    /// The time after which to retry, in seconds, if a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<u64>,
    /// The faults of an invalid change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<check::Fault>,
    /// The current generations of the resources on which a change conflicts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<proposal::Conflict>,
}

impl Error {
    /// Creates the error of a request that changed nothing.
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

/// The body of the response to a failed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The error.
    pub error: Error,
}

/// The freshness of the data in a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// The revision of the configuration.
    pub revision: revision::Id,
    /// The time since the platform's table last confirmed the revision, in milliseconds.
    pub age_ms: u64,
    /// Whether the platform responds: `up` or `down`.
    pub platform: String,
    /// The time since a router last reported the state of the fleet, in milliseconds. Unset:
    /// never.
    #[serde(default)]
    pub fleet_age_ms: Option<u64>,
}

/// A resource and its rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// The resource.
    pub resource: resource::Resource,
    /// The generation of the resource: the revision that put it.
    pub generation: revision::Generation,
    /// The rollout state of the resource.
    pub state: State,
    /// The rollout by zone, unless the resource is in force everywhere.
    #[serde(default, skip_serializing_if = "Zones::is_empty")]
    pub zones: Zones,
}

/// A recently deleted resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Removed {
    /// The key of the resource.
    pub key: key::Key,
    /// The revision that deleted the resource.
    pub revision: revision::Id,
    /// The rollout state of the deletion.
    pub state: State,
    /// The rollout of the deletion by zone, unless the resource is withdrawn everywhere.
    #[serde(default, skip_serializing_if = "Zones::is_empty")]
    pub zones: Zones,
}

/// A change that is not known to be committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pending {
    /// The id of the change.
    pub id: change::Id,
    /// The keys of the resources that the change puts and deletes.
    pub keys: Vec<key::Key>,
}

/// The list of resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The freshness of the list.
    #[serde(flatten)]
    pub freshness: Freshness,
    /// The resources, ordered by key.
    pub resources: Vec<Listed>,
    /// The recently deleted resources.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<Removed>,
    /// The changes that are not known to be committed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<Pending>,
}

/// The state of a backend server as reported by its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The name of the server.
    pub name: backend::Server,
    /// The availability zone of the server, if reported.
    #[serde(default)]
    pub zone: Option<availability::Zone>,
    /// The number of requests in flight.
    pub in_flight: u64,
    /// The current limit on the number of requests in flight.
    pub limit: u64,
    /// The number of queued requests.
    pub queued: u64,
    /// The state of admission.
    pub state: String,
    /// Whether the server is drained.
    #[serde(default)]
    pub drained: bool,
}

/// The number of refusals with one code and verdict since the routers started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusals {
    /// The code of the refusals.
    pub code: String,
    /// Whether the refused requests may have run.
    pub verdict: String,
    /// The number of refusals.
    pub count: u64,
}

/// The state of an availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Zone {
    /// The name of the zone.
    pub name: availability::Zone,
    /// Whether the zone receives new requests.
    pub service: resource::Service,
    /// The rollout of the current revision in the zone.
    #[serde(flatten)]
    pub coverage: Coverage,
}

/// The status of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The freshness of the configuration.
    #[serde(flatten)]
    pub freshness: Freshness,
    /// The number of routers that were queried.
    pub asked: usize,
    /// The number of routers that responded.
    pub answered: usize,
    /// The zones.
    pub zones: Vec<Zone>,
    /// The routers, as known to the responding routers from heartbeats.
    pub routers: Vec<Router>,
    /// The backend servers owned by the responding routers.
    pub engines: Vec<Engine>,
    /// The refusals by the responding routers.
    pub refusals: Vec<Refusals>,
}

/// A part of the audit trail: accepted changes, the earliest first, and refused changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// The accepted changes.
    pub changes: Vec<Change>,
    /// The changes refused since the earliest of `changes`, the earliest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<Refused>,
}

/// The response to an executed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ordered {
    /// The engine that executed the order.
    pub server: backend::Server,
    /// The fencing token that was sent with the order.
    pub fence: u64,
}
