//! Where configuration, backend servers and routers are stored.

use std::{error, fmt, future::Future, net::SocketAddr};

use serde::{Deserialize, Serialize};
use tokio::time;
use units::{availability, host, time::Instant};
use wire::seal::{Boot, Key};

use crate::{roster, route, value::Value};

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// What operators declare.
    Configuration,
    /// The registered backend servers.
    Servers,
    /// The registered routers.
    Routers,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Routers];

    /// Its name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
            Self::Routers => "routers",
        }
    }
}

impl fmt::Display for Topic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// One stored row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// The store's version of its last change.
    pub version: u64,
    /// Its value; `None` once it is removed.
    pub value: Option<Value>,
}

/// What a call to the store brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The rows, in the order of their changes.
    pub rows: Vec<Row>,
    /// The newest version that the rows reflect.
    pub version: u64,
    /// Whether these are all rows: what is not among them is gone.
    pub is_snapshot: bool,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The changes since the given version are no longer kept.
    Compacted,
    /// Anything else; it may be over soon.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the history is gone"),
            Self::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl error::Error for Error {}

/// A row that is not of the expected form, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for Malformed {}

/// What a row of the configuration says.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Routes, services, keys and limits.
    Table(Box<route::Table>),
    /// Nothing new goes to the servers of a zone.
    Evacuation(availability::Zone),
    /// Something that this version does not know.
    Unknown,
}

/// A registered router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where other routers reach it.
    pub address: SocketAddr,
}

/// What routers prove themselves to each other with.
#[derive(Clone, Debug)]
pub struct Secret {
    /// The key that all routers share.
    pub key: Key,
    /// Tells the starts of one router apart; a later start has a higher one.
    ///
    /// It comes from the store, since the time of day may jump back between
    /// two starts, and others would then take the new one for a replay.
    pub boot: Boot,
}

/// The store and the form of its rows.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all rows of a topic.
    ///
    /// The answer is due at `deadline`; one whose bytes keep coming is waited for.
    fn read(
        &self,
        topic: Topic,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Waits for changes after a version, a while at most. The deadline is as
    /// for [`Source::read`].
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Reads the key that all routers share, and draws it if there is none.
    fn secret(&self, deadline: time::Instant)
    -> impl Future<Output = Result<Secret, Error>> + Send;

    /// Registers a router. The call may be repeated.
    fn register(
        &self,
        member: &Member,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes the registration of a router. The call may be repeated.
    fn unregister(
        &self,
        host: &host::Id,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Decodes a row of the configuration.
    ///
    /// # Errors
    ///
    /// When the row is not of the expected form; the others still hold.
    fn directive(&self, row: &Row) -> Result<Directive, Malformed>;

    /// Decodes a row of the backend servers, read at `now`.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn server(&self, row: &Row, now: Instant) -> Result<roster::Entry, Malformed>;

    /// Decodes a row of the routers.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn member(&self, row: &Row) -> Result<Member, Malformed>;
}
