//! What the owner task is told and what it answers.

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
    /// The whole answer arrived.
    Completed,
    /// The server broke the connection or answered wrongly.
    Failed,
    /// The server does not accept connections.
    Unreachable,
    /// The caller's deadline passed first.
    DeadlineExceeded,
    /// The caller left, or the connection alone was at fault.
    Cancelled,
}

/// An attempt that asks for a slot.
#[derive(Debug)]
pub struct Offer {
    /// The server.
    pub server: backend::Server,
    /// What admission has to know.
    pub ticket: admission::Ticket,
    /// The chat, on routes to engines.
    pub chat: Option<chat::Key>,
    /// In which shape the answer comes.
    pub delivery: Delivery,
    /// Under which terms it may be accepted.
    pub terms: hop::Terms,
    /// Where the answer goes.
    pub reply: Reply,
}

/// In which shape an answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token.
    Streamed,
    /// In one piece, when it is finished.
    Buffered,
}

/// Where the answer to an offer goes.
pub type Reply = oneshot::Sender<Result<Permit, Rejected>>;

/// An offer that was not accepted. The request has not run.
#[derive(Clone, Debug)]
pub struct Rejected {
    /// What the caller is told if nobody else accepts it.
    pub refusal: Refusal,
    /// What the owner's servers of the pool carry, where it owns the server.
    pub load: Option<hop::Load>,
}

/// How many tokens an engine used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Those of them that were cached.
    pub cached: u32,
    /// Tokens of the answer.
    pub output: u32,
}

/// An attempt that ended.
#[derive(Debug)]
pub struct Ended {
    /// The server.
    pub server: backend::Server,
    /// The attempt.
    pub attempt: request::Attempt,
    /// How it ended.
    pub outcome: Outcome,
    /// When the first byte of the answer's body arrived.
    pub first_byte_at: time::Instant,
    /// When it ended.
    pub ended_at: time::Instant,
    /// What the engine says of its use of tokens.
    pub usage: Option<Usage>,
    /// The connection, where it can be used again.
    pub connection: Option<Connection>,
}

/// What the owner task is told.
#[derive(Debug)]
pub enum Message {
    /// An attempt asks for a slot.
    Offer(Box<Offer>),
    /// The first byte of an attempt's answer arrived.
    FirstByte(backend::Server, request::Attempt),
    /// An attempt ended.
    Ended(Ended),
    /// A server reported its load, or did not.
    Reported(backend::Server, Result<load::Report, load::Error>),
    /// What another owner's servers of a pool carry, heard with an answer.
    PeerLoad(host::Id, pool::Id, hop::Load),
    /// What the earlier owner of a server learned of it.
    HandoverReceived(backend::Server, hop::Handover),
    /// The next owner of a server asks what this router learned of it.
    HandoverRequest(backend::Server, oneshot::Sender<Option<hop::Handover>>),
    /// A question for the state of all owned servers.
    Status(oneshot::Sender<Vec<status::Engine>>),
}
