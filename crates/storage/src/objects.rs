//! The object store.

use std::{future::Future, net};

use bytes::Bytes;
use framing::Delimiter;
use hyper::{
    Method, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use serde::Deserialize;
use tokio::time;

use crate::{error::Error, http};

/// The condition under which an object is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Write unconditionally.
    Always,
    /// Write only if the object is absent.
    Absent,
    /// Write only if the object has this entity tag.
    Matches(String),
}

/// An object and its entity tag.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The content.
    pub body: Bytes,
    /// The entity tag, empty when the store returns none.
    pub tag: String,
}

/// The object store service.
pub trait Objects: Send + Sync {
    /// Reads the object `key`, `None` when it is absent. The deadline is extended
    /// while bytes of the response keep arriving.
    ///
    /// # Errors
    ///
    /// [`Error::NotRun`] or [`Error::MayHaveRun`] when there is no response by `deadline`, or when
    /// it may be a part of the object.
    fn get(
        &self,
        key: &str,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes the object `key` if `condition` holds.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when the condition failed, [`Error::NotRun`] when
    /// nothing was sent, [`Error::MayHaveRun`] when the response was lost.
    fn put(
        &self,
        key: &str,
        body: Bytes,
        condition: &Condition,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the keys that begin with `prefix`, in order. The deadline is extended as in [`Objects::get`].
    ///
    /// # Errors
    ///
    /// As [`Objects::get`].
    fn list(
        &self,
        prefix: &str,
        deadline: time::Instant,
    ) -> impl Future<Output = Result<Vec<String>, Error>> + Send;
}

/// The object store over HTTP.
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
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

impl Objects for Client {
    async fn get(&self, key: &str, deadline: time::Instant) -> Result<Option<Object>, Error> {
        let path = format!("/objects/{}", http::percent_encode(key));
        let response = self
            .http
            .read(http::request(Method::GET, &path, Bytes::new())?, deadline)
            .await?;
        match response.status {
            // The object store may have ended while it sent the object.
            StatusCode::OK if response.delimiter == Delimiter::Close => {
                let reason = "the object has neither a length nor chunks, and may be a part of one";
                Err(Error::MayHaveRun(String::from(reason)))
            }
            StatusCode::OK => Ok(Some(Object {
                tag: entity_tag(&response),
                body: response.body,
            })),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(http::status_error(&response)),
        }
    }

    async fn put(
        &self,
        key: &str,
        body: Bytes,
        condition: &Condition,
        deadline: time::Instant,
    ) -> Result<(), Error> {
        let path = format!("/objects/{}", http::percent_encode(key));
        let mut request = http::request(Method::PUT, &path, body)?;
        if let Some((name, value)) = condition_header(condition)? {
            request.headers_mut().insert(name, value);
        }
        let response = self.http.call(request, deadline).await?;
        match response.status {
            status if status.is_success() => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict(Vec::new())),
            _ => Err(http::status_error(&response)),
        }
    }

    async fn list(&self, prefix: &str, deadline: time::Instant) -> Result<Vec<String>, Error> {
        let path = format!("/objects?prefix={}", http::percent_encode(prefix));
        let response = self
            .http
            .read(http::request(Method::GET, &path, Bytes::new())?, deadline)
            .await?;
        match response.status {
            StatusCode::OK => http::parse::<Keys>(&response).map(|keys| keys.keys),
            _ => Err(http::status_error(&response)),
        }
    }
}

/// The request header that expresses `condition`.
fn condition_header(condition: &Condition) -> Result<Option<(HeaderName, HeaderValue)>, Error> {
    let (name, value) = match condition {
        Condition::Always => return Ok(None),
        Condition::Absent => (header::IF_NONE_MATCH, "*"),
        Condition::Matches(tag) => (header::IF_MATCH, tag.as_str()),
    };
    let value = HeaderValue::from_str(value).map_err(|error| Error::Rejected(error.to_string()))?;
    Ok(Some((name, value)))
}

fn entity_tag(response: &http::Response) -> String {
    response
        .headers
        .get(header::ETAG)
        .and_then(|tag| tag.to_str().ok())
        .map(String::from)
        .unwrap_or_default()
}
