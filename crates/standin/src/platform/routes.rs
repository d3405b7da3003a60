//! The HTTP routes of the platform.

use std::{
    future,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::{Method, StatusCode, header};
use serde::Serialize;
use tokio::time;

use crate::{
    http,
    platform::{
        Counters, Fault, Settings,
        hosts::{Hosts, List},
        objects::{Condition, Objects},
        table::{Check, Row, Table, Transaction},
    },
    server::{self, lock},
};

/// The maximum number of rows of a scan without a limit.
const DEFAULT_LIMIT: usize = 1000;

#[derive(Serialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Serialize)]
struct Generations {
    generations: Vec<u64>,
}

#[derive(Serialize)]
struct Conflicts {
    conflicts: Vec<Check>,
}

#[derive(Serialize)]
struct Keys {
    keys: Vec<String>,
}

/// The state of the platform and the handlers of its calls.
#[derive(Debug)]
pub struct Application {
    pub(super) hosts: Mutex<Hosts>,
    table: Mutex<Table>,
    objects: Mutex<Objects>,
    counters: Mutex<Counters>,
    fault: Mutex<Fault>,
    control: Arc<server::Control>,
}

impl Application {
    pub(super) fn new(settings: Settings, control: Arc<server::Control>) -> Self {
        Self {
            hosts: Mutex::new(Hosts::new(settings.hosts_lag)),
            table: Mutex::default(),
            objects: Mutex::default(),
            counters: Mutex::default(),
            fault: Mutex::default(),
            control,
        }
    }

    pub(super) fn counters(&self) -> Counters {
        *lock(&self.counters)
    }

    /// Injects a fault. `from` is the connection of the request for it, which
    /// [`Fault::SilentConnections`] does not affect.
    pub(super) fn set_fault(&self, fault: Fault, from: Option<server::ConnectionId>) {
        match fault {
            Fault::Crash => self.control.crash(),
            Fault::SilentConnections => self.control.silence(from),
            Fault::Endless(endless) => self.control.set_endless(Some(endless)),
            other => {
                if other == Fault::Normal {
                    self.control.set_endless(None);
                }
                *lock(&self.fault) = other;
            }
        }
    }

    /// Whether the response to the current write is to be dropped; counts it if so.
    fn drops_response(&self) -> bool {
        let mut fault = lock(&self.fault);
        let Fault::LoseAnswer { count } = &mut *fault else {
            return false;
        };
        match count {
            None => true,
            Some(0) => false,
            Some(left) => {
                *left -= 1;
                true
            }
        }
    }

    fn count_request(&self, method: &Method) {
        let mut counters = lock(&self.counters);
        if method == Method::GET {
            counters.reads += 1;
        } else {
            counters.writes += 1;
        }
    }

    async fn transact(&self, request: http::Request) -> Result<http::Response, http::Disconnected> {
        let transaction = match http::read_json::<Transaction>(request).await? {
            Ok(transaction) => transaction,
            Err(malformed) => return Ok(malformed),
        };
        let outcome = lock(&self.table).transact(transaction);
        Ok(match outcome {
            Ok(generations) => http::json(StatusCode::OK, &Generations { generations }),
            Err(conflicts) => http::json(StatusCode::CONFLICT, &Conflicts { conflicts }),
        })
    }

    fn scan(&self, request: &http::Request) -> http::Response {
        let prefix = http::query_parameter(request, "prefix").unwrap_or_default();
        let from = http::query_parameter(request, "from").unwrap_or_default();
        let limit = http::numeric_parameter(request, "limit", DEFAULT_LIMIT);
        let rows = lock(&self.table).scan(&prefix, &from, limit);
        http::json(StatusCode::OK, &Rows { rows })
    }

    fn row(&self, key: &str) -> http::Response {
        match lock(&self.table).get(key) {
            Some(row) => http::json(StatusCode::OK, &row),
            None => http::error(StatusCode::NOT_FOUND, "no such row"),
        }
    }

    fn object(&self, key: &str) -> http::Response {
        let Some(object) = lock(&self.objects).get(key) else {
            return http::error(StatusCode::NOT_FOUND, "no such object");
        };
        let mut response = http::Response::new(http::Body::Full(Some(object.bytes)));
        set_etag(&mut response, &object.tag);
        response
    }

    async fn put_object(
        &self,
        key: &str,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        let absent = http::header(&request, "if-none-match") == Some("*");
        let condition = match http::header(&request, "if-match") {
            Some(wanted) => Condition::Tag(String::from(wanted)),
            None if absent => Condition::Absent,
            None => Condition::Always,
        };
        let bytes = http::read_body(request).await?;
        let outcome = lock(&self.objects).put(key, bytes, &condition);
        let Ok(written) = outcome else {
            return Ok(http::error(
                StatusCode::PRECONDITION_FAILED,
                "the condition does not hold",
            ));
        };
        let mut response = http::json(StatusCode::OK, &serde_json::json!({}));
        set_etag(&mut response, &written);
        Ok(response)
    }

    async fn put_hosts(
        &self,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        match http::read_json::<List>(request).await? {
            Ok(list) => lock(&self.hosts).set(list.hosts),
            Err(malformed) => return Ok(malformed),
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }

    async fn put_fault(
        &self,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match http::read_json::<Fault>(request).await? {
            Ok(fault) => self.set_fault(fault, Some(connection)),
            Err(malformed) => return Ok(malformed),
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }

    /// Handles the calls that the faults affect.
    async fn route(&self, request: http::Request) -> Result<http::Response, http::Disconnected> {
        let method = request.method().clone();
        let path = http::percent_decode(request.uri().path());
        match (method, path.as_str()) {
            (Method::GET, "/hosts") => {
                let list = lock(&self.hosts).visible();
                Ok(http::json_with_etag(&request, &list))
            }
            (Method::GET, "/table/scan") => Ok(self.scan(&request)),
            (Method::POST, "/table/transact") => self.transact(request).await,
            (Method::GET, "/objects") => {
                let prefix = http::query_parameter(&request, "prefix").unwrap_or_default();
                let keys = lock(&self.objects).keys(&prefix);
                Ok(http::json(StatusCode::OK, &Keys { keys }))
            }
            (Method::GET, path) if path.starts_with("/table/rows/") => {
                Ok(self.row(&path["/table/rows/".len()..]))
            }
            (Method::GET, path) if path.starts_with("/objects/") => {
                Ok(self.object(&path["/objects/".len()..]))
            }
            (Method::PUT, path) if path.starts_with("/objects/") => {
                self.put_object(&path["/objects/".len()..], request).await
            }
            _ => Ok(http::error(StatusCode::NOT_FOUND, "no such call")),
        }
    }
}

impl server::Application for Application {
    async fn handle(
        self: Arc<Self>,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/fault") => return self.put_fault(request, connection).await,
            (&Method::PUT, "/hosts") => return self.put_hosts(request).await,
            (&Method::GET, "/counters") => {
                return Ok(http::json(StatusCode::OK, &self.counters()));
            }
            _ => {}
        }
        let is_write = request.method() != Method::GET;
        self.count_request(request.method());
        let fault = *lock(&self.fault);
        match fault {
            Fault::Down => {
                return Ok(http::error(StatusCode::SERVICE_UNAVAILABLE, "down"));
            }
            Fault::Silent => future::pending().await,
            Fault::Slow { delay_ms } => time::sleep(Duration::from_millis(delay_ms)).await,
            _ => {}
        }
        let response = self.route(request).await?;
        if is_write && self.drops_response() {
            return Err(http::Disconnected);
        }
        Ok(response)
    }
}

fn set_etag(response: &mut http::Response, tag: &str) {
    if let Ok(value) = header::HeaderValue::from_str(tag) {
        response.headers_mut().insert(header::ETAG, value);
    }
}
