//! The transactional table.

use std::{future::Future, net, sync::Arc};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time;
use units::revision;

use crate::{
    error::{Conflict, Error},
    http,
    traffic::Traffic,
};

/// A row: a key, a JSON value and a generation that increases with each write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
    /// The generation, never zero.
    pub generation: revision::Generation,
}

/// The range of rows that a scan reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// The prefix of all keys.
    pub prefix: String,
    /// The smallest key; empty to start with the first one.
    pub from: String,
    /// The maximum number of rows; `None` reads all.
    pub limit: Option<usize>,
}

/// A condition of a transaction: the generation that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// The key of the row.
    pub key: String,
    /// The generation of the row; zero requires the row to be absent.
    pub generation: revision::Generation,
}

/// A row to write.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: serde_json::Value,
}

/// A set of writes that take effect atomically, and only if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The rows to write.
    pub puts: Vec<Put>,
    /// The keys of the rows to delete.
    pub deletes: Vec<String>,
}

/// The table service.
pub trait Table: Send + Sync {
    /// Reads the row `key`, `None` when it is absent.
    ///
    /// # Errors
    ///
    /// [`Error::NotRun`] or [`Error::MayHaveRun`] when there is no response by `deadline`.
    fn read(
        &self,
        key: &str,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads a consistent snapshot of the rows of `range`, in the order of their keys.
    /// The deadline is extended while bytes of the response keep arriving.
    ///
    /// # Errors
    ///
    /// As [`Table::read`].
    fn scan(
        &self,
        range: &Range,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Runs `transaction` and returns the generations of its puts, in their order.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a check failed, [`Error::NotRun`] when nothing
    /// was sent, [`Error::MayHaveRun`] when the response was lost.
    fn transact(
        &self,
        transaction: &Transaction,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<revision::Generation>, Error>> + Send;
}

/// The limit of a scan that reads all rows.
const NO_ROW_LIMIT: usize = u32::MAX as usize;

/// The table service over HTTP.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
}

impl Client {
    /// Creates a client of the platform at `address`. It connects on the first call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            http: http::Client::new(address),
        }
    }

    /// Creates a client like [`Client::new`] that counts its bytes in `traffic`.
    pub fn metered(address: net::SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            http: http::Client::metered(address, traffic),
        }
    }
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Generations {
    generations: Vec<revision::Generation>,
}

#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<Conflict>,
}

impl Table for Client {
    async fn read(&self, key: &str, deadline: time::Instant) -> Result<Option<Row>, Error> {
        let path = format!("/table/rows/{}", http::percent_encode(key));
        let response = self
            .http
            .call(http::request(Method::GET, &path, Bytes::new())?, deadline)
            .await?;
        match response.status {
            StatusCode::OK => http::parse(&response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(http::status_error(&response)),
        }
    }

    async fn scan(&self, range: &Range, deadline: time::Instant) -> Result<Vec<Row>, Error> {
        // Without a limit the service applies its own default, and a caller that
        // requested all rows would mistake the first ones for all.
        let path = format!(
            "/table/scan?prefix={}&from={}&limit={}",
            http::percent_encode(&range.prefix),
            http::percent_encode(&range.from),
            range.limit.unwrap_or(NO_ROW_LIMIT)
        );
        let response = self
            .http
            .read(http::request(Method::GET, &path, Bytes::new())?, deadline)
            .await?;
        match response.status {
            StatusCode::OK => http::parse::<Rows>(&response).map(|rows| rows.rows),
            _ => Err(http::status_error(&response)),
        }
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        deadline: time::Instant,
    ) -> Result<Vec<revision::Generation>, Error> {
        let body =
            serde_json::to_vec(transaction).map_err(|error| Error::Rejected(error.to_string()))?;
        let response = self
            .http
            .call(
                http::request(Method::POST, "/table/transact", Bytes::from(body))?,
                deadline,
            )
            .await?;
        match response.status {
            StatusCode::OK => {
                http::parse::<Generations>(&response).map(|created| created.generations)
            }
            StatusCode::CONFLICT => {
                let conflicts = http::parse::<Conflicts>(&response)?.conflicts;
                Err(Error::Conflict(conflicts))
            }
            _ => Err(http::status_error(&response)),
        }
    }
}
