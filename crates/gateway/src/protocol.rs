//! The protocol of callers and backend servers, as far as the heads of requests and
//! responses express it.

use std::{future::Future, io, net::SocketAddr};

use hyper::{HeaderMap, StatusCode, http::request};
use tokio::net::TcpStream;
use units::{
    backend,
    cost::Cost,
    time::{Instant, Millis},
    workspace,
};
use verdict::Refusal;

use crate::{advisory::Advisory, pool::Parts};

/// The content of a request head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The request id, which appears in responses and logs.
    pub id: String,
    /// The host name to which the request is addressed.
    pub host: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// The caller's timeout.
    pub timeout: Option<Millis>,
    /// The prompt; empty for a plain service.
    pub parts: Parts,
    /// The estimated work of the request, in prompt tokens.
    pub cost: Cost,
    /// What the caller states about the tokens of the request.
    pub usage: footprint::Usage,
    /// The id of the event after which a stream is resumed.
    pub last_event_id: Option<String>,
    /// The id of the caller's request that began the stream which this one takes up.
    pub resumes: Option<String>,
}

/// The content of the head that is sent to a backend server with one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt<'a> {
    /// The server to which the request is addressed.
    pub server: &'a backend::Server,
    /// The time that remains until the deadline.
    pub remaining: Millis,
    /// The workspace that owns the caller's API key.
    pub workspace: Option<&'a workspace::Id>,
    /// The urgency of the request; zero is the most urgent.
    pub rank: u8,
    /// The id of the event after which a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// A server from which the missing part of the cached prompt can be copied.
    pub source: Option<SocketAddr>,
    /// Whether the service is an engine.
    pub is_engine: bool,
}

/// The classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Classification {
    /// A valid response to this request.
    Response,
    /// The server failed to process the request.
    Failure,
    /// The server is full and has not run the request.
    Full,
    /// Another server now listens on the address; it has not run the request.
    Moved,
    /// The server has not run the request, which is invalid or past its deadline.
    NotRun,
    /// The response does not belong to this request.
    Foreign,
}

/// A protocol that callers and backend servers speak.
pub trait Protocol: Clone + Send + Sync + 'static {
    /// Opens a TCP connection to a backend server.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> + Send {
        TcpStream::connect(address)
    }

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// A refusal when the head is malformed. The request has not run.
    fn read(&self, head: &request::Parts) -> Result<Head, Refusal>;

    /// Sets the headers of an attempt and removes headers that callers must not set.
    ///
    /// Hop-by-hop headers have been removed already.
    fn compose(&self, headers: &mut HeaderMap, attempt: &Attempt<'_>);

    /// Classifies the head of a response to the request `id`.
    fn classify(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Classification;

    /// What the server announces in the head of a response that arrived at `now`.
    fn advisory(&self, status: StatusCode, headers: &HeaderMap, now: Instant) -> Advisory;

    /// The incarnation of the server in the document that it gives about itself, if it states one.
    fn incarnation(&self, document: &[u8]) -> Option<u64>;

    /// What the server reports of its load in the head of a response, if it does.
    fn load_report(&self, headers: &HeaderMap) -> Option<load_report::Report>;

    /// The status code of a refusal. A code that promises that the request has not run is
    /// used only if it has not.
    fn status(&self, refusal: &Refusal) -> StatusCode;

    /// The event id in a line of an event stream, if the line contains one.
    fn event_id<'a>(&self, line: &'a str) -> Option<&'a str>;
}
