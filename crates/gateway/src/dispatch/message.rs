//! Messages to and from the dispatch task.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use recovery::quarantine::{self, Combination};
use rollout::{Counts, Order, Stage, counts};
use smallvec::SmallVec;
use tokio::sync::oneshot;
use units::{
    backend,
    cost::Cost,
    host, pool, request,
    time::{Instant, Millis},
    workspace,
};

use super::Permit;
use crate::{
    advisory::Advisory,
    crashes, dial, load,
    outlier::OutcomeCounts,
    parts,
    pool::{Demand, Outcome, Parts, VersionLoads},
    prefixes,
    probe::{Liveness, Probe},
    queue,
    roster::Roster,
    route::Table,
    settings::Bounds,
    source::Member,
    status, tunnel,
};

/// A request for a slot at a server of a service.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// The service.
    pub pool: pool::Id,
    /// The route.
    pub route: counts::Route,
    /// The workspace to which the request is charged.
    pub workspace: workspace::Id,
    /// The estimated work of the request.
    pub cost: Cost,
    /// The urgency of the request; zero is the most urgent.
    pub rank: u8,
    /// The latest instant at which the request may start.
    pub latest_start: Instant,
    /// The properties of the request that placement depends on.
    pub demand: Demand,
    /// Servers to which this router could not connect for the request itself.
    pub unreached: SmallVec<[backend::Server; 2]>,
    /// Whether an earlier attempt of the request was sent to a server.
    pub is_retry: bool,
    /// The fingerprint that the request shares with its retries by the caller.
    pub fingerprint: request::Fingerprint,
}

/// The reason why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server can take the request.
    Denied(queue::Refusal),
    /// The service does not exist.
    Unknown,
    /// The retry budget of the service is used up.
    RetryBudget,
    /// The request is suspected of having crashed servers.
    Suspect,
    /// Parts of its prompt have crashed servers.
    Quarantined,
    /// This router has lost its paths, and no other router provides one; the next request may
    /// try at this instant.
    NoPath(Instant),
}

/// The channel for the result of a request.
pub type Reply = oneshot::Sender<Result<Permit, Refusal>>;

/// The load that one router puts on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// The server.
    pub server: backend::Server,
    /// Requests in flight.
    pub running: u32,
    /// Recent outcomes of the router's requests.
    pub outcomes: OutcomeCounts,
}

/// The state that a router sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    /// Requests in flight and recent outcomes by server; servers without any are left
    /// out.
    pub loads: Vec<Load>,
    /// What is known of requests that may crash servers.
    pub reports: Vec<recovery::Report>,
    /// What is known of prompt parts that may crash servers.
    pub parts: Vec<recovery::quarantine::Report>,
    /// Prefixes that servers have cached recently.
    pub prefixes: Vec<prefixes::CachedPrefix>,
    /// What servers have reported of their speed recently.
    pub load_reports: Vec<load_report::Shared>,
    /// The requests in flight of each workspace.
    pub usages: Vec<scheduling::Usage>,
}

/// How the service of a roll-out is doing, as far as this router knows.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// The service.
    pub pool: pool::Id,
    /// The outcomes of this router's requests since the roll-out began.
    pub counts: Counts,
    /// The load of the versions.
    pub loads: VersionLoads,
    /// Whether the ordered version already is the version in service.
    pub is_serving: bool,
    /// The longest time that a response has taken recently.
    pub longest_response: Millis,
}

/// Prompt parts that are refused because they crash servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedParts {
    /// The parts. A request is refused if it holds all of them.
    pub parts: Combination,
    /// The crashes that they have caused.
    pub entry: quarantine::Entry,
    /// The requests that this router has refused because of them.
    pub refusals: u64,
    /// Whether the store lists them.
    pub is_recorded: bool,
}

/// How far the response to a request has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseProgress {
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// Identifies the request in the account of the engine's memory.
    pub request: footprint::Request,
    /// The pieces that have arrived.
    pub pieces: u32,
}

/// What a server has announced in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The id of the request that was answered.
    pub request: String,
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// The incarnation of the server for which the request was meant.
    pub incarnation: u64,
    /// What it has announced.
    pub advisory: Advisory,
}

/// Where another router finds a server through this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The service.
    pub pool: pool::Id,
    /// The address of the server.
    pub address: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The timeout for connecting to it.
    pub connect_timeout: Millis,
    /// Other servers of the service, to tell whether a failure is due to the server.
    pub controls: dial::Controls,
}

/// What a server has reported of its load in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// The incarnation of the server for which the request was meant.
    pub incarnation: u64,
    /// The report.
    pub report: load_report::Report,
}

/// A connection to a server that was attempted for another router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dial {
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// When the attempt began.
    pub begun_at: Instant,
    /// Whether the connection was established.
    pub is_established: bool,
}

/// A message to the dispatch task.
#[derive(Debug)]
pub enum Message {
    /// Requests a slot at a server.
    Acquire(AcquireRequest, Reply),
    /// The first byte of a response has arrived.
    FirstByte(Ticket),
    /// The response to a request has got this far.
    ResponseProgress(ResponseProgress),
    /// A server has announced something in a response.
    Announcement(Announcement),
    /// A server has reported its load in a response.
    LoadReport(LoadReport),
    /// What servers have reported of their speed to other routers.
    PeerLoadReports(Vec<load_report::Shared>),
    /// The requests in flight of each workspace at all other routers.
    PeerUsages(Vec<scheduling::Usage>),
    /// A request at a server has ended.
    Ended(Ticket, Outcome),
    /// The server of a request has sent nothing for some time.
    Stalled(Ticket),
    /// A server was probed after a request at it had broken off or stalled.
    Probed(Probe, Liveness),
    /// The registered servers have changed.
    Roster(Arc<Roster>),
    /// The configuration has changed.
    Table(Arc<Table>),
    /// The set of routers that share limits, including this one, has changed.
    Members(Arc<Vec<Member>>),
    /// Asks where a server is, for another router.
    Locate(
        backend::Server,
        u64,
        oneshot::Sender<Result<Location, tunnel::Rejection>>,
    ),
    /// A connection to a server was attempted for another router.
    Dialed(Dial),
    /// The loads reported by another router.
    Peer(host::Id, Vec<load::Load>),
    /// The loads of all other routers, as summed up by aggregators.
    Aggregate(Vec<load::Load>),
    /// The requests of all other routers at servers that the next [`Self::Aggregate`] does not
    /// name.
    AggregateBuckets(load::buckets::Buckets),
    /// Another router has stopped sending heartbeats.
    PeerLost(host::Id),
    /// The bounds of the deployment have changed.
    Bounds(Bounds),
    /// The orders of roll-outs have changed.
    Orders(Vec<Order>),
    /// A roll-out has reached a stage.
    Stage(pool::Id, u64, Stage),
    /// Whether this router is up to date with the store.
    UpToDate(bool),
    /// Asks when the first server of a service may receive requests again, if all have asked
    /// for a pause.
    ThrottledUntil(pool::Id, oneshot::Sender<Option<Instant>>),
    /// Asks for the state of the services for which there is an order.
    Progress(oneshot::Sender<Vec<Progress>>),
    /// What another router knows of requests that may crash servers.
    Reports(Vec<recovery::Report>),
    /// What another router knows of prompt parts that may crash servers.
    PartReports(Vec<recovery::quarantine::Report>),
    /// The prompt parts that are refused according to the store, with the number of crashes.
    Quarantine(BTreeMap<Combination, u32>),
    /// Asks for the prompt parts that are refused.
    RefusedParts(oneshot::Sender<Vec<RefusedParts>>),
    /// Refuses prompt parts no longer, and answers whether they were refused.
    LiftParts(Combination, oneshot::Sender<bool>),
    /// Cached prefixes reported by another router.
    CachedPrefixes(Vec<prefixes::CachedPrefix>),
    /// Asks for the state to send to peers.
    PeerUpdate(oneshot::Sender<PeerUpdate>),
    /// Asks for a status report.
    Status(oneshot::Sender<status::Report>),
}

/// A request in flight at a server.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The service.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// The incarnation of the server for which the request was meant.
    pub incarnation: u64,
    /// Prompt tokens that were not known to be cached at the server.
    pub uncached: Cost,
    /// Identifies the request in the account of the engine's memory.
    pub request: footprint::Request,
    /// The prompt.
    pub parts: Parts,
    /// The parts of the prompt that other requests may share.
    pub shared_parts: parts::Chain,
    /// The workspace to which the request is charged.
    pub workspace: workspace::Id,
    /// The fingerprint that the request shares with its retries by the caller.
    pub fingerprint: request::Fingerprint,
    /// When it was sent.
    pub sent_at: Instant,
    /// When the connection to the server was established, if it was.
    pub connected_at: Option<Instant>,
    /// The deadline for establishing the connection.
    pub connect_deadline: Instant,
    /// The router through which it is sent, unless it is sent directly.
    pub egress: Option<host::Id>,
    /// A router that provides connections, as the egress router said when it refused one.
    pub provider: Option<host::Id>,
    /// Whether the first byte of the response has arrived.
    pub has_first_byte: bool,
    /// The pieces of the response that have arrived.
    pub pieces: u32,
    /// When the last byte of the response arrived.
    pub last_byte_at: Option<Instant>,
    /// Whether an earlier attempt of the request was sent to a server.
    pub is_retry: bool,
    /// Whether the server has responded that it failed.
    pub has_failed: bool,
    /// Whether the request is sent to show that refused parts of its prompt are harmless.
    pub is_part_trial: bool,
    /// Whether the server has responded with success.
    pub has_succeeded: bool,
    /// The request's part in a roll-out.
    pub trial: Option<TrialTicket>,
}

impl Ticket {
    /// The request, as far as its like may crash servers.
    pub fn request(&self) -> crashes::Request {
        crashes::Request {
            fingerprint: self.fingerprint,
            parts: self.shared_parts.clone(),
        }
    }
}

/// The part of a request in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialTicket {
    /// The store's version of the order.
    pub revision: u64,
    /// The route of the request.
    pub route: counts::Route,
    /// The version that processes it.
    pub arm: counts::Arm,
    /// Whether the server was cold, so that its response time says nothing about its version.
    pub is_cold: bool,
}
