//! The HTTP client of the administration API.

use std::net;

use bytes::Bytes;
use config::{
    key, proposal,
    response::{
        Accepted, Code, Error as ApiError, Failure, History, List, Ordered, Status, Verdict,
    },
};
use hyper::{Method, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};
use storage::http;
use tokio::time;

use crate::exit::{self, Error};

/// Timeout of one call.
const TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Timeout of an order. It is longer because an order may have to wait until another
/// holder's lease expires.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Maximum number of attempts to send a change whose response was lost. All attempts
/// use the same id.
const MAX_ATTEMPTS: u32 = 4;

/// Delay between two attempts.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// A client of one administration, or of one router for its status page.
#[derive(Debug)]
pub struct Client {
    http: http::Client,
    token: Option<String>,
}

impl Client {
    /// Returns a client of the process at `address` that sends an operator's token.
    pub fn new(address: net::SocketAddr, token: Option<String>) -> Self {
        Self {
            http: http::Client::new(address),
            token,
        }
    }

    /// Proposes a change and retries with the same id while its outcome is unknown.
    ///
    /// # Errors
    ///
    /// [`Error`], whose exit code shows whether the change was accepted.
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
                // An earlier attempt may have been accepted, so this failure does not show that
                // nothing was changed.
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

    /// Reads the audit trail from revision `from` on, or the latest changes if it is `None`.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn history(&self, from: Option<u64>, limit: u64) -> Result<History, Error> {
        let from = from.map_or(String::new(), |from| format!("&from={from}"));
        self.read(&format!("/v1/changes?limit={limit}{from}")).await
    }

    /// Reads a text page of a router, such as its status.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn page(&self, path: &str) -> Result<String, Error> {
        self.text(Method::GET, path).await
    }

    /// Ends the refusal of prompt parts.
    ///
    /// # Errors
    ///
    /// [`Error`], with [`exit::Code::NotFound`] if they are not refused.
    pub async fn lift(&self, parts: &str) -> Result<String, Error> {
        self.text(Method::DELETE, &format!("/parts/{parts}")).await
    }

    async fn text(&self, method: Method, path: &str) -> Result<String, Error> {
        let request = http::request(method, path, Bytes::new()).map_err(transport_error)?;
        let deadline = time::Instant::now() + TIMEOUT;
        let response = self
            .http
            .read(request, deadline)
            .await
            .map_err(transport_error)?;
        if !response.status.is_success() {
            let message = format!("the router responded with status {}", response.status);
            let code = match response.status {
                StatusCode::NOT_FOUND => exit::Code::NotFound,
                StatusCode::BAD_REQUEST => exit::Code::InvalidInput,
                _ => exit::Code::Unavailable,
            };
            return Err(Error::new(code, message));
        }
        Ok(String::from_utf8_lossy(&response.body).into_owned())
    }

    /// Sends an order to an engine, without retries.
    ///
    /// # Errors
    ///
    /// [`Error`], whose exit code shows whether the order may have run.
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
            // A read changes nothing, so its outcome is never unknown.
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
                .map_err(|_| Error::new(exit::Code::Denied, "token is not a valid header value"))?;
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

/// Returns the error of a call without a valid response.
fn transport_error(error: storage::Error) -> Error {
    let code = match error {
        storage::Error::NotRun(_) => exit::Code::Unavailable,
        storage::Error::MayHaveRun(_) => exit::Code::Unknown,
        storage::Error::Conflict(_) | storage::Error::Rejected(_) => exit::Code::InvalidInput,
    };
    Error::new(code, format!("administration: {error}"))
}

/// Returns the error of a call that was refused.
fn response_error(error: &ApiError) -> Error {
    let code = match (error.code, error.verdict) {
        (_, Verdict::MayHaveRun) => exit::Code::Unknown,
        (Code::Malformed | Code::Invalid, _) => exit::Code::InvalidInput,
        (Code::Conflict, _) => exit::Code::Conflict,
        (Code::NotFound, _) => exit::Code::NotFound,
        (Code::Unauthorized | Code::Forbidden, _) => exit::Code::Denied,
        (Code::Refused, _) => exit::Code::Conflict,
        (
            Code::Busy
            | Code::PlatformDown
            | Code::OutcomeUnknown
            | Code::LeaseHeld
            | Code::Unreachable,
            _,
        ) => exit::Code::Unavailable,
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
