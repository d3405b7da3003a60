//! A client of the administration.

use std::net;

use bytes::Bytes;
use config::{
    answer::{Accepted, Code, Error as ApiError, Failure, History, List, Ordered, Status, Verdict},
    key, proposal,
};
use hyper::{Method, header};
use serde::{Serialize, de::DeserializeOwned};
use storage::http;
use tokio::time;

use crate::exit::{self, Error};

/// How long one call may take.
const TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// How long an order may take: another holder's lease has to be waited out first.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// How often a change whose answer was lost is sent again under its id.
const MAX_ATTEMPTS: u32 = 4;

/// The time between two tries.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// A client of the administration at one address.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    token: Option<String>,
}

impl Client {
    /// A client of the administration at `address` with an operator's token.
    pub fn new(address: net::SocketAddr, token: Option<String>) -> Self {
        Self {
            http: http::Client::new(address),
            token,
        }
    }

    /// Proposes a change, again under the same id while its outcome is unknown.
    ///
    /// # Errors
    ///
    /// [`Error`] with the exit code that tells whether it was accepted.
    pub async fn propose(&self, proposal: &proposal::Proposal) -> Result<Accepted, Error> {
        let body = serde_json::to_vec(proposal)
            .map_err(|error| Error::new(exit::Code::InvalidInput, error.to_string()))?;
        let body = Bytes::from(body);
        let mut outcome_unknown = false;
        for _ in 1..MAX_ATTEMPTS {
            match self
                .call(Method::POST, "/v1/changes", body.clone(), TIMEOUT)
                .await
            {
                Err(error) if error.code == exit::Code::Unknown => outcome_unknown = true,
                // An earlier try may have been accepted, so a try that did not run says nothing.
                Err(error) if outcome_unknown && error.code == exit::Code::Unavailable => {}
                result => return result,
            }
            time::sleep(RETRY_DELAY).await;
        }
        let last = self.call(Method::POST, "/v1/changes", body, TIMEOUT).await;
        last.map_err(|error| match error.code {
            exit::Code::Unavailable if outcome_unknown => {
                Error::new(exit::Code::Unknown, error.message)
            }
            _ => error,
        })
    }

    /// Lists all resources.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn list(&self) -> Result<List, Error> {
        self.read("/v1/resources").await
    }

    /// Reads one resource.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn get(&self, key: &key::Key) -> Result<List, Error> {
        self.read(&format!("/v1/resources/{key}")).await
    }

    /// Reads the state of the fleet.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.read("/v1/status").await
    }

    /// Reads the audit trail from the revision `from`, without it the latest changes.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn history(&self, from: Option<u64>, limit: u64) -> Result<History, Error> {
        let from = from.map_or(String::new(), |from| format!("&from={from}"));
        self.read(&format!("/v1/changes?limit={limit}{from}")).await
    }

    /// Reads a page of text, such as a router's status.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn page(&self, path: &str) -> Result<String, Error> {
        let request = http::request(Method::GET, path, Bytes::new()).map_err(transport_error)?;
        let deadline = time::Instant::now() + TIMEOUT;
        let response = self
            .http
            .read(request, deadline)
            .await
            .map_err(transport_error)?;
        if !response.status.is_success() {
            let message = format!("the router answers {}", response.status);
            return Err(Error::new(exit::Code::Unavailable, message));
        }
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Gives an order to an engine, once.
    ///
    /// # Errors
    ///
    /// [`Error`] with the exit code that tells whether it may have run.
    pub async fn order(&self, order: &impl Serialize) -> Result<Ordered, Error> {
        let body = serde_json::to_vec(order)
            .map_err(|error| Error::new(exit::Code::InvalidInput, error.to_string()))?;
        let body = Bytes::from(body);
        self.call(Method::POST, "/v1/orders", body, ORDER_TIMEOUT)
            .await
    }

    async fn read<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        let response = self.call(Method::GET, path, Bytes::new(), TIMEOUT).await;
        response.map_err(|error| match error.code {
            // A read changes nothing, whether it ran or not.
            exit::Code::Unknown => Error::new(exit::Code::Unavailable, error.message),
            _ => error,
        })
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: time::Duration,
    ) -> Result<A, Error> {
        let mut request = http::request(method, path, body).map_err(transport_error)?;
        if let Some(token) = &self.token {
            let value = header::HeaderValue::from_str(&format!("Bearer {token}"))
                .map_err(|_| Error::new(exit::Code::Denied, "the token is no header value"))?;
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        let deadline = time::Instant::now() + timeout;
        let response = self
            .http
            .read(request, deadline)
            .await
            .map_err(transport_error)?;
        if response.status.is_success() {
            return http::parse(&response).map_err(transport_error);
        }
        let failure: Failure = http::parse(&response).map_err(transport_error)?;
        Err(response_error(&failure.error))
    }
}

/// The error for a call that got no answer.
fn transport_error(error: storage::Error) -> Error {
    let code = match error {
        storage::Error::NotRun(_) => exit::Code::Unavailable,
        storage::Error::MayHaveRun(_) => exit::Code::Unknown,
        storage::Error::Conflict(_) | storage::Error::Rejected(_) => exit::Code::InvalidInput,
    };
    Error::new(code, format!("administration: {error}"))
}

/// The error for a call that was refused.
fn response_error(error: &ApiError) -> Error {
    let code = match (error.code, error.verdict) {
        (_, Verdict::MayHaveRun) => exit::Code::Unknown,
        (Code::Malformed | Code::Invalid, _) => exit::Code::InvalidInput,
        (Code::Conflict, _) => exit::Code::Conflict,
        (Code::NotFound, _) => exit::Code::NotFound,
        (Code::Unauthorized | Code::Forbidden, _) => exit::Code::Denied,
        (Code::Refused, _) => exit::Code::Conflict,
        (Code::PlatformDown | Code::OutcomeUnknown | Code::LeaseHeld | Code::Unreachable, _) => {
            exit::Code::Unavailable
        }
    };
    let mut lines = vec![error.message.clone()];
    lines.extend(error.faults.iter().map(|fault| format!("  {fault}")));
    lines.extend(error.conflicts.iter().map(|conflict| {
        let generation = conflict.generation;
        format!("  {} is now at generation {generation}", conflict.resource)
    }));
    if let Some(seconds) = error.retry_after {
        lines.push(format!("  come back in {seconds} s"));
    }
    Error::new(code, lines.join("\n"))
}
