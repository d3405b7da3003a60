//! Frames of a request that the entry router forwards to the owner of a backend server.
//!
//! One TCP connection carries one request at a time. The entry router sends
//! [`Call::Open`]. The owner replies with [`Reply::Alive`] while the request is
//! queued and with [`Reply::Ready`] once it is admitted. Only then does the entry
//! router send the body as data frames, followed by [`Call::End`]. The owner
//! replies with [`Reply::Head`], data frames and [`Reply::End`], or with
//! [`Reply::Refused`]. Closing the connection cancels the request. Data frames
//! carry the bytes unencoded, so they are not copied.
//!
//! If the owner dies before it receives [`Call::End`], it cannot have run the
//! request, and the entry router reports it as not run. A refused attempt
//! transfers no body.

use bytes::Bytes;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use smallvec::SmallVec;
use units::{backend, chat, cost, pool, request, revision, workspace};
use verdict::{Code, Verdict};

use crate::{Error, codec};

/// The maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE: usize = 128 * 1024;
/// The maximum length of the body chunk in one data frame, in bytes.
pub const MAX_DATA: usize = 64 * 1024;

/// An HTTP header of a forwarded request or response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
}

/// The terms under which the owner may admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Terms {
    /// Admit only if the owner has recorded that the chat is cached on the server. The
    /// request may wait briefly for a free slot.
    Warm,
    /// Admit only if a slot is free now; otherwise the entry router tries the next server.
    Bounded,
    /// Queue the request as long as its deadline can be met.
    Queued,
}

/// The head of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The identifier of the caller's request.
    pub id: request::Id,
    /// The identifier of this attempt.
    pub attempt: request::Attempt,
    /// The workspace of the caller.
    pub workspace: workspace::Id,
    /// The chat that the request belongs to, on routes to engines.
    pub chat: Option<chat::Key>,
    /// The pool of the backend server.
    pub pool: pool::Id,
    /// The backend server that is to run the request.
    pub server: backend::Server,
    /// The expected cost of the request.
    pub cost: cost::Cost,
    /// The priority of the request.
    pub priority: request::Priority,
    /// The time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// The terms under which the owner may admit the request.
    pub terms: Terms,
    /// A keyed hash of the workspace, route and body of the request.
    pub fingerprint: request::Fingerprint,
    /// The crashes of servers with this request in flight that the entry router has
    /// recorded.
    pub crashes: SmallVec<[recovery::Report; 2]>,
    /// Whether a server has died with this request in flight.
    pub suspect: bool,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the response is an event stream, which is complete only with the final event
    /// `[DONE]`.
    pub events: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers without hop-by-hop headers and the caller's key.
    pub headers: Vec<Header>,
    /// The length of the request body, in bytes.
    pub length: u64,
}

/// A message from the entry router to the owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// A new request.
    Open(Box<Open>),
    /// The end of the request body.
    End,
    /// A query for the configuration changes after this revision.
    Changes(revision::Id),
    /// A query for the platform's host list.
    Hosts,
    /// A query to the previous owner of a server for the state that it learned about the
    /// server.
    Handover(backend::Server),
}

/// The refusal of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason code of the refusal.
    pub code: Code,
    /// The message for the caller.
    pub message: String,
    /// The time after which the caller may retry, in milliseconds.
    pub retry_ms: Option<u64>,
    /// The load of the router's servers in the pool, if the router owns the server.
    pub load: Option<Load>,
}

/// The total load of the servers of a pool that one router owns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests in flight.
    pub requests: u64,
    /// The sum of the weights of the servers.
    pub weight: u64,
}

/// The state of a server that its previous owner hands over after it stopped admitting
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The learned concurrency limit of the server.
    pub limit: u32,
    /// The number of requests that are still in flight on the server.
    pub in_flight: u32,
}

/// Details of the slot that the owner grants to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The load of the owner's servers in the pool.
    pub load: Load,
    /// The hash of the server's boot identifier, zero if unknown.
    pub boot: u64,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers without hop-by-hop headers.
    pub headers: Vec<Header>,
}

/// A message from the owner to the entry router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A keepalive, sent at regular intervals while the request is queued.
    Alive,
    /// The request is admitted and the owner is ready for its body.
    Ready(Slot),
    /// The head of the response.
    Head(Head),
    /// The end of a complete response.
    End,
    /// The request was refused, or its response was interrupted.
    Refused(Refused),
    /// The result of a query follows as JSON in data frames, then [`Reply::End`].
    Json,
    /// The reply to [`Call::Handover`]. `None` while the previous owner may still admit
    /// requests.
    Handover(Option<Handover>),
}

/// The content of a frame, which the first byte of the frame distinguishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame<T> {
    /// A message.
    Message(T),
    /// A chunk of a body.
    Data(Bytes),
}

/// The first byte of a frame that contains a message.
pub const MESSAGE: u8 = 0;
/// The first byte of a frame that contains data.
pub const DATA: u8 = 1;

/// Encodes a message into a frame, including the first byte.
///
/// # Errors
///
/// [`Error::TooLong`] if the encoded message exceeds [`MAX_MESSAGE`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let body = codec::encode(message, MAX_MESSAGE)?;
    let mut bytes = Vec::with_capacity(1 + body.len());
    bytes.push(MESSAGE);
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a frame. Data shares the memory of `bytes`.
///
/// # Errors
///
/// [`Error`] if `bytes` is not a valid frame of this protocol version.
pub fn decode<T: DeserializeOwned>(mut bytes: Bytes) -> Result<Frame<T>, Error> {
    if bytes.is_empty() {
        return Err(Error::Malformed);
    }
    let first = bytes.split_to(1);
    match first[0] {
        MESSAGE => codec::decode(&bytes, MAX_MESSAGE).map(Frame::Message),
        DATA => Ok(Frame::Data(bytes)),
        _ => Err(Error::Malformed),
    }
}
