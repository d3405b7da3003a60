//! The lagging list of live and leaving hosts.

use std::{
    future::Future,
    net,
    sync::{self, Arc},
};

use bytes::Bytes;
use hyper::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::time;
use units::{availability, pool};

use crate::{error::Error, http, traffic::Traffic};

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the system.
    Router,
    /// A backend server.
    Backend,
}

/// What the platform knows of a host. The list lags by seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It will stop; it must get no new work.
    Leaving,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name; for a backend server the name of the server.
    pub name: String,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// Where it listens; for a router its peer address.
    pub address: net::SocketAddr,
    /// What runs on it.
    pub role: Role,
    /// The pool that a backend server joins.
    #[serde(default)]
    pub pool: Option<pool::Id>,
    /// Whether it is about to stop.
    pub state: State,
}

/// The host list service.
pub trait Hosts: Send + Sync {
    /// The present list. An answer whose bytes keep coming is waited for beyond
    /// the deadline.
    ///
    /// # Errors
    ///
    /// [`Error::NotRun`] or [`Error::MayHaveRun`] when there is no answer by `deadline`.
    fn list(
        &self,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<Host>, Error>> + Send;
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    /// The list as last read, with its entity tag.
    last: sync::Mutex<Option<Tagged>>,
}

/// A list and its entity tag.
#[derive(Clone, Debug)]
struct Tagged {
    tag: header::HeaderValue,
    hosts: Vec<Host>,
}

impl Client {
    /// A client of the platform at `address`. It connects when it is first called.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            http: http::Client::new(address),
            last: sync::Mutex::default(),
        }
    }

    /// The same, whose bytes are counted in `traffic`.
    pub fn metered(address: net::SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            http: http::Client::metered(address, traffic),
            last: sync::Mutex::default(),
        }
    }
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<Host>,
}

impl Hosts for Client {
    async fn list(&self, deadline: time::Instant) -> Result<Vec<Host>, Error> {
        let last = self.last();
        let mut request = http::request(Method::GET, "/hosts", Bytes::new())?;
        if let Some(last) = &last {
            // The list is long and rarely changes. An unchanged one costs a
            // few bytes, so that it can be asked for often.
            let tag = last.tag.clone();
            request.headers_mut().insert(header::IF_NONE_MATCH, tag);
        }
        let answer = self.http.read(request, deadline).await?;
        match (answer.status, last) {
            (StatusCode::OK, _) => self.take(&answer),
            (StatusCode::NOT_MODIFIED, Some(last)) => Ok(last.hosts),
            _ => Err(http::failure(&answer)),
        }
    }
}

impl Client {
    fn last(&self) -> Option<Tagged> {
        self.lock().clone()
    }

    fn take(&self, answer: &http::Answer) -> Result<Vec<Host>, Error> {
        let hosts = http::parse::<List>(answer)?.hosts;
        let tag = answer.headers.get(header::ETAG).cloned();
        *self.lock() = tag.map(|tag| Tagged {
            tag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Tagged>> {
        self.last
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
