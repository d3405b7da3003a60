//! Messages to the owner task and its replies.

use std::net;

use tokio::sync::oneshot;
use units::{backend, chat, host, pool, request, time};
use verdict::Refusal;
use wire::hop;

use super::permit::Permit;
use crate::{
    backend::{Connection, load},
    status,
};

/// How an admitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response arrived.
    Completed,
    /// The server broke the connection, or sent an invalid response or a server error.
    Failed,
    /// The server does not accept connections.
    Unreachable,
    /// The caller's deadline passed before the response was complete.
    DeadlineExceeded,
    /// The caller disconnected, or the connection failed through no fault of
    /// the server.
    Cancelled,
}

/// An attempt that requests a slot on a backend server.
#[derive(Debug)]
pub struct Offer {
    /// The server.
    pub server: backend::Server,
    /// The attempt's ticket for admission.
    pub ticket: admission::Ticket,
    /// The chat that the request belongs to, on routes to engines.
    pub chat: Option<chat::Key>,
    /// How the response is delivered.
    pub delivery: Delivery,
    /// The terms under which the owner may accept the offer.
    pub terms: hop::Terms,
    /// Receives the permit or the rejection.
    pub reply: Reply,
}

/// How a response is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As a stream, token by token.
    Streamed,
    /// In one piece, once it is complete.
    Buffered,
}

/// Sender for the reply to an offer.
pub type Reply = oneshot::Sender<Result<Permit, Rejected>>;

/// An offer that was not accepted. Its request has not run.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// The refusal to return to the caller if no other server accepts the
    /// request.
    pub refusal: Refusal,
    /// Total load of the owner's servers in the pool; `None` if it does not own
    /// the server.
    pub load: Option<hop::Load>,
}

/// Token usage that an engine reported for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Prompt tokens found in the engine's prefix cache.
    pub cached: u32,
    /// Tokens of the response.
    pub output: u32,
}

/// An attempt that ended.
#[derive(Debug)]
pub struct Ended {
    /// The server.
    pub server: backend::Server,
    /// The address that the attempt was sent to.
    pub address: net::SocketAddr,
    /// The attempt.
    pub attempt: request::Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// When the first byte of the response body arrived.
    pub first_byte_at: time::Instant,
    /// When it ended.
    pub ended_at: time::Instant,
    /// Token usage reported by the engine.
    pub usage: Option<Usage>,
    /// The connection, if it can be reused.
    pub connection: Option<Connection>,
}

/// A message to the owner task.
#[derive(Debug)]
pub enum Message {
    /// An attempt requests a slot.
    Offer(Box<Offer>),
    /// The first byte of an attempt's response body arrived.
    FirstByte(backend::Server, request::Attempt),
    /// An attempt ended.
    Ended(Ended),
    /// The result of probing a server for its load.
    Reported(backend::Server, Result<load::Report, load::Error>),
    /// The load of another owner's servers in a pool, as reported in its
    /// replies.
    PeerLoad(host::Id, pool::Id, hop::Load),
    /// The state that the previous owner of a server learned about it.
    HandoverReceived(backend::Server, hop::Handover),
    /// The next owner of a server requests the state that this router learned
    /// about it.
    HandoverRequest(backend::Server, oneshot::Sender<Option<hop::Handover>>),
    /// A request for the state of all owned servers.
    Status(oneshot::Sender<Vec<status::Engine>>),
}
