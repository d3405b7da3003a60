//! The interface to the store of configuration, backend servers and routers.

use std::{error, fmt, future::Future, net::SocketAddr};

use recovery::quarantine::Combination;
use rollout::controller;
use serde::{Deserialize, Serialize};
use tokio::time;
use units::{availability, host, time::Instant};
use wire::seal::{Boot, Key};

use crate::{roster, route, service_versions, value::Value};

/// A group of rows that is followed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The configuration that operators declare.
    Configuration,
    /// The registered backend servers.
    Servers,
    /// The registered routers, and what they have recorded.
    Routers,
}

impl Topic {
    /// All topics.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Routers];

    /// The name of the topic in logs and metrics.
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

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key of the row.
    pub key: String,
    /// The store version of its last change.
    pub version: u64,
    /// The value; `None` if the row was removed.
    pub value: Option<Value>,
}

/// The result of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The rows, in the order of their changes.
    pub rows: Vec<Row>,
    /// The newest version that the rows reflect.
    pub version: u64,
    /// Whether these are all rows, so that a row which is not among them has been removed.
    pub is_snapshot: bool,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The store no longer keeps the changes since the given version.
    Compacted,
    /// Any other failure, which may be temporary.
    Unavailable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => f.write_str("the requested changes have been compacted"),
            Self::Unavailable(reason) => f.write_str(reason),
        }
    }
}

impl error::Error for Error {}

/// A row that cannot be decoded, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl error::Error for Malformed {}

/// A decoded row of the configuration.
#[derive(Clone, Debug)]
pub enum Directive {
    /// Routes, services, keys and limits.
    Table(Box<route::Table>),
    /// The servers of a zone receive no new requests.
    Evacuation(availability::Zone),
    /// A service moves to another version.
    Rollout(rollout::Order),
    /// A directive that this version does not support.
    Unknown,
}

/// A registered router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The host of the router.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// The address on which other routers reach it.
    pub address: SocketAddr,
    /// The address on which it connects to servers for other routers; `None` for a router of an
    /// earlier version.
    pub tunnels: Option<SocketAddr>,
}

/// The credentials with which routers authenticate to each other.
#[derive(Clone, Debug)]
pub struct Secret {
    /// The key that all routers share.
    pub key: Key,
    /// Distinguishes the starts of one router; a later start has a higher number.
    ///
    /// It comes from the store, because the time of day may jump back between two starts,
    /// and other routers would then take datagrams of the new process for replays.
    pub boot: Boot,
}

/// A client of the store, and the decoder of its rows.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads all rows of a topic.
    ///
    /// The response is due at `deadline`, but one that keeps making progress may take
    /// longer.
    fn read(
        &self,
        topic: Topic,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Long-polls for changes after a version. The deadline is as for [`Source::read`].
    fn changes(
        &self,
        topic: Topic,
        after: u64,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Reads the key that all routers share, and generates it if there is none.
    fn secret(&self, deadline: time::Instant)
    -> impl Future<Output = Result<Secret, Error>> + Send;

    /// Registers a router. The call is idempotent.
    fn register(
        &self,
        member: &Member,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes the registration of a router. The call is idempotent.
    fn unregister(
        &self,
        host: &host::Id,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Records the state of a roll-out, and returns what is recorded then.
    ///
    /// A final state is never replaced, and nothing is recorded for an order that has been
    /// replaced or withdrawn. The call is idempotent.
    fn record_rollout(
        &self,
        order: &rollout::Order,
        call: controller::Call,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<controller::Recorded, Error>> + Send;

    /// Records that requests with all of these prompt parts are refused. The call is idempotent.
    fn record_refused_parts(
        &self,
        parts: &Combination,
        crashes: u32,
        by: &host::Id,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes the record of refused parts. The call is idempotent.
    fn remove_refused_parts(
        &self,
        parts: &Combination,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Records that a service has servers of a version. The call is idempotent, and leaves a record that
    /// there is at its version.
    fn record_version(
        &self,
        entry: &service_versions::Entry,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Removes the record of a version. The call is idempotent.
    fn remove_version(
        &self,
        entry: &service_versions::Entry,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes a row of the journal if there is a `value`, and removes the rows `outdated`. The call is
    /// idempotent.
    fn write_journal(
        &self,
        key: &str,
        value: Option<&[u8]>,
        outdated: &[String],
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads all rows of the journal, the oldest first.
    fn read_journal(
        &self,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Decodes a row of [`Topic::Routers`] if it records a version of a service.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn recorded_version(&self, row: &Row) -> Result<Option<service_versions::Entry>, Malformed>;

    /// Decodes a row of [`Topic::Routers`] if it records refused parts, with the number of
    /// crashes that they have caused.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn refused_parts(&self, row: &Row) -> Result<Option<(Combination, u32)>, Malformed>;

    /// Decodes a row of the configuration.
    ///
    /// # Errors
    ///
    /// When the row is malformed; the other rows remain valid.
    fn directive(&self, row: &Row) -> Result<Directive, Malformed>;

    /// Decodes a row of a backend server that was read at `now`.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn server(&self, row: &Row, now: Instant) -> Result<roster::Entry, Malformed>;

    /// Decodes a row of a router.
    ///
    /// # Errors
    ///
    /// As [`Source::directive`].
    fn member(&self, row: &Row) -> Result<Member, Malformed>;
}
