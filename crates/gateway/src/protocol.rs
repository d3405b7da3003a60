//! What a protocol says in the heads of requests and answers.

use std::net::SocketAddr;

use hyper::{HeaderMap, StatusCode, http::request};
use units::{backend, cost::Cost, time::Millis, workspace};
use verdict::Refusal;

use crate::pool::Parts;

/// What a caller's head says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// What names the request, in answers and logs.
    pub id: String,
    /// The host name that it is for.
    pub host: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// The prompt; empty for a plain service.
    pub parts: Parts,
    /// The work that it means, in prompt tokens.
    pub cost: Cost,
    /// The event after which a stream is to go on.
    pub last_event_id: Option<String>,
}

/// What the head of one attempt says to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// The server that the request is meant for.
    pub server: &'a backend::Server,
    /// How long the caller still waits.
    pub remaining: Millis,
    /// The workspace that holds the caller's key.
    pub workspace: Option<&'a workspace::Id>,
    /// How urgent the request is; zero is the most urgent.
    pub rank: u8,
    /// The event after which a stream is to go on.
    pub last_event_id: Option<&'a str>,
    /// Where the server may copy what it lacks of the prompt from.
    pub source: Option<SocketAddr>,
    /// Whether the service is an engine.
    pub is_engine: bool,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The server's own answer to this request.
    Response,
    /// The server failed the request.
    Failure,
    /// The server is full and has not run the request.
    Full,
    /// Another server has the address, and has not run the request.
    Moved,
    /// The server has not run the request, which is at fault itself or too late.
    NotRun,
    /// It is not the answer to this request.
    Foreign,
}

/// How callers and backend servers speak.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// A refusal when the head is malformed. The request has not run.
    fn read(&self, head: &request::Parts) -> Result<Head, Refusal>;

    /// Sets the headers of an attempt, and takes out what callers may not set.
    ///
    /// Headers of one connection are gone already.
    fn compose(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Judges the head of an answer to the request `id`.
    fn classify(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Classification;

    /// The status of a refusal. One that promises that the request has not run
    /// is used only for such a refusal.
    fn status(&self, refusal: &Refusal) -> StatusCode;

    /// The number of the event that a line of a stream gives, if it gives one.
    fn event_id<'a>(&self, line: &'a str) -> Option<&'a str>;
}
