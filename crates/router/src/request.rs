//! A caller's request, checked and held whole.

use bytes::Bytes;
use hyper::Method;
use units::{chat, cost, pool, request, time, workspace};
use wire::hop;

/// Whether a request may be run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It is idempotent.
    Allowed,
    /// It must run at most once.
    Forbidden,
}

/// A request as the entry router holds it while it is served.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, in logs, at the backend server and in the answer.
    pub id: request::Id,
    /// Whose it is.
    pub workspace: workspace::Id,
    /// Its chat, on routes to engines.
    pub chat: Option<chat::Key>,
    /// The name of its route.
    pub route: String,
    /// The pool that serves the route.
    pub pool: pool::Id,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its headers, hop-by-hop ones and the caller's key removed.
    pub headers: Vec<hop::Header>,
    /// Its body.
    pub body: Bytes,
    /// What it is expected to cost.
    pub cost: cost::Cost,
    /// How urgent it is.
    pub priority: request::Priority,
    /// When its caller stops waiting.
    pub deadline: time::Instant,
    /// Whether it may be run twice.
    pub repeat: Repeat,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The hash of workspace, route and body.
    pub fingerprint: request::Fingerprint,
    /// Whether its answer is a stream of events that ends with `[DONE]`.
    pub events: bool,
}

impl Request {
    /// Whether a caller that sends it again may have it run twice.
    ///
    /// Such a caller is never told when to come back once the request may have run.
    pub fn is_unsafe_to_retry(&self) -> bool {
        self.repeat == Repeat::Forbidden && self.idempotency_key.is_none()
    }
}
