//! What the task is told, and what it tells.

use std::sync::Arc;

use tokio::sync::oneshot;
use units::{backend, cost::Cost, host, pool, request, time::Instant, workspace};

use super::Permit;
use crate::{
    load,
    outlier::OutcomeCounts,
    pool::{Demand, Outcome, Parts},
    prefixes, queue,
    roster::Roster,
    route::Table,
    settings::Bounds,
    status,
};

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// The service.
    pub pool: pool::Id,
    /// Who is charged for it.
    pub workspace: workspace::Id,
    /// The work that it means.
    pub cost: Cost,
    /// How urgent it is; zero is the most urgent.
    pub rank: u8,
    /// When it is too late to start it.
    pub latest_start: Instant,
    /// What placement needs to know.
    pub demand: Demand,
    /// Whether a server has had the request before.
    pub is_retry: bool,
    /// What it has in common with its repeats by the caller.
    pub fingerprint: request::Fingerprint,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server takes it.
    Denied(queue::Refusal),
    /// The service is not known.
    Unknown,
    /// The repeats of the service are used up.
    RetryBudget,
    /// Servers died of the request.
    Suspect,
}

/// How a request is told what became of it.
pub type Reply = oneshot::Sender<Result<Permit, Refusal>>;

/// How many requests of one router are at a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The server.
    pub server: backend::Server,
    /// Requests in flight.
    pub running: u32,
    /// How requests there lately ended.
    pub outcomes: OutcomeCounts,
}

/// What other routers are told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// Requests in flight and how others ended; servers without any are left out.
    pub loads: Vec<Load>,
    /// Requests that servers lately died of.
    pub strikes: Vec<recovery::Strike>,
    /// Prompts that servers have read just now.
    pub prefixes: Vec<prefixes::CachedPrefix>,
}

/// What the task is told.
#[derive(Debug)]
pub enum Message {
    /// A request wants a server.
    Acquire(AcquireRequest, Reply),
    /// The first byte of a request's answer has come.
    FirstByte(Ticket),
    /// A request has left a server.
    Ended(Ticket, Outcome),
    /// The registered servers have changed.
    Roster(Arc<Roster>),
    /// The configuration has changed.
    Table(Arc<Table>),
    /// The routers that share bounds, this one included, have changed.
    Members(Vec<host::Id>),
    /// What another router has in flight.
    Peer(host::Id, Vec<load::Load>),
    /// What all other routers have in flight, added up by some of them.
    Aggregate(Vec<load::Load>),
    /// Another router fell silent.
    PeerLost(host::Id),
    /// The bounds of the deployment have changed.
    Bounds(Bounds),
    /// Requests that another router saw servers die of.
    Strikes(Vec<recovery::Strike>),
    /// Prompts that servers have read, as another router saw it.
    CachedPrefixes(Vec<prefixes::CachedPrefix>),
    /// Asks for what other routers are told.
    PeerUpdate(oneshot::Sender<PeerUpdate>),
    /// Asks for what is believed of the servers.
    Status(oneshot::Sender<status::Report>),
}

/// One request at one server.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// The start of the server that the request was meant for.
    pub born: u64,
    /// Prompt tokens that it had to read.
    pub uncached: Cost,
    /// The prompt.
    pub parts: Parts,
    /// Who is charged for it.
    pub workspace: workspace::Id,
    /// What it has in common with its repeats by the caller.
    pub fingerprint: request::Fingerprint,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the connection to the server came about, once it did.
    pub connected_at: Option<Instant>,
    /// When it has to have come about.
    pub connect_deadline: Instant,
    /// Whether its first byte has come.
    pub has_first_byte: bool,
}
