//! A validated request, buffered in memory.

use hyper::Method;
use ingress::Payload;
use units::{chat, cost, pool, request, time, workspace};
use wire::hop;

/// The execution semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
}

/// A request as held by the entry router while it is served.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request id, used in logs, sent to the backend server and returned in
    /// the response.
    pub id: request::Id,
    /// The workspace of the caller.
    pub workspace: workspace::Id,
    /// The chat, set on routes to engines.
    pub chat: Option<chat::Key>,
    /// The name of the matched route.
    pub route: String,
    /// The pool that serves the route.
    pub pool: pool::Id,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The headers, without hop-by-hop headers and the caller's API key.
    pub headers: Vec<hop::Header>,
    /// The request body.
    pub body: Payload,
    /// The estimated cost.
    pub cost: cost::Cost,
    /// The priority.
    pub priority: request::Priority,
    /// The instant at which the caller stops waiting.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub semantics: Semantics,
    /// The idempotency key set by the caller.
    pub idempotency_key: Option<String>,
    /// A keyed hash of the workspace, route, target and body.
    pub fingerprint: request::Fingerprint,
    /// Whether the caller asked for a stream of server-sent events, which ends
    /// with `[DONE]`.
    pub events: bool,
}

impl Request {
    /// Whether a retry by the caller could run the request twice.
    ///
    /// Once such a request may have run, refusals do not include a time to retry.
    pub fn is_unsafe_to_retry(&self) -> bool {
        self.semantics == Semantics::AtMostOnce && self.idempotency_key.is_none()
    }
}
