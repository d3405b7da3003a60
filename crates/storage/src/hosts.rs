//! The list of live and leaving hosts, which lags behind by seconds.

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

/// The kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router of the system.
    Router,
    /// A backend server.
    Backend,
}

/// The state of a host in the list, which lags behind by seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host is running.
    Live,
    /// The host is about to stop and must not get new requests.
    Leaving,
}

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host, or of the backend server that runs on it.
    pub name: String,
    /// The availability zone of the host.
    pub zone: availability::Zone,
    /// The address on which the process listens; for a router its peer address.
    pub address: net::SocketAddr,
    /// The kind of process that runs on the host.
    pub role: Role,
    /// The pool of a backend server.
    #[serde(default)]
    pub pool: Option<pool::Id>,
    /// Whether the host is live or about to stop.
    pub state: State,
}

/// The host list service.
pub trait Hosts: Send + Sync {
    /// Reads the current list. The deadline is extended while bytes of the response
    /// keep arriving.
    ///
    /// # Errors
    ///
    /// [`Error::NotRun`] or [`Error::MayHaveRun`] when there is no response by `deadline`.
    fn list(
        &self,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<Host>, Error>> + Send;
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    /// The list that was last read, with its entity tag.
    cached: sync::Mutex<Option<Cached>>,
}

/// A list and its entity tag.
#[derive(Clone, Debug)]
struct Cached {
    tag: header::HeaderValue,
    hosts: Vec<Host>,
}

impl Client {
    /// Creates a client of the platform at `address`. It connects on the first call.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            http: http::Client::new(address),
            cached: sync::Mutex::default(),
        }
    }

    /// Creates a client like [`Client::new`] that counts its bytes in `traffic`.
    pub fn metered(address: net::SocketAddr, traffic: Arc<Traffic>) -> Self {
        Self {
            http: http::Client::metered(address, traffic),
            cached: sync::Mutex::default(),
        }
    }
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<Host>,
}

impl Hosts for Client {
    async fn list(&self, deadline: time::Instant) -> Result<Vec<Host>, Error> {
        let cached = self.cached();
        let mut request = http::request(Method::GET, "/hosts", Bytes::new())?;
        if let Some(cached) = &cached {
            // The list is long and rarely changes. With a conditional request an
            // unchanged list costs a few bytes, so that it can be polled often.
            let tag = cached.tag.clone();
            request.headers_mut().insert(header::IF_NONE_MATCH, tag);
        }
        let response = self.http.read(request, deadline).await?;
        match (response.status, cached) {
            (StatusCode::OK, _) => self.parse_and_cache(&response),
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.hosts),
            _ => Err(http::status_error(&response)),
        }
    }
}

impl Client {
    fn cached(&self) -> Option<Cached> {
        self.lock().clone()
    }

    fn parse_and_cache(&self, response: &http::Response) -> Result<Vec<Host>, Error> {
        let hosts = http::parse::<List>(response)?.hosts;
        let tag = response.headers.get(header::ETAG).cloned();
        *self.lock() = tag.map(|tag| Cached {
            tag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Cached>> {
        self.cached
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
