//! One attempt to send a request to one backend server.

use std::{pin, time::Duration};

use hyper::{Request, http::response};
use tokio::time;
use units::{
    backend,
    time::{Instant, Millis},
};

use crate::{
    clock::Clock,
    connection::{Body, Failure, Received},
    connector::Connector,
    dispatch::Permit,
    identity::{self, Process},
    metrics::Metrics,
    pool::{Outcome, Placement},
    protocol::{Classification, Protocol},
    silence::CHECK_TIMEOUT,
};

/// The time without a response after which its server is probed.
///
/// An engine may read a long prompt, or others, for a second before its first byte.
const PROBE_AFTER: Duration = Duration::from_millis(1500);

/// Why a request is not sent after its deadline.
const PASSED: &str = "the deadline passed before the request was sent";

/// The head of a server's response, with the body and the permit of the attempt.
#[derive(Debug)]
pub struct Response {
    /// The status and headers.
    pub head: response::Parts,
    /// The body, of which nothing has been read.
    pub body: Body,
    /// The slot that the request occupies at the server, until it is released.
    pub permit: Option<Permit>,
    /// Whether the server failed to process the request.
    pub is_failure: bool,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum End {
    /// The server sent a response head.
    Responded(Box<Response>),
    /// No byte of the request was sent.
    Unsent(String),
    /// The same, because there was no path to the server.
    NoPath(String),
    /// Nothing was sent, because all slots of the server are in use.
    NoSlot,
    /// The server is full and has not run the request.
    Full,
    /// Nothing was sent, because the server has announced meanwhile that it wants nothing, or
    /// the request is refused by now.
    Withdrawn,
    /// Another server now listens on the address; it has not run the request.
    Moved,
    /// The connection broke before a response, and the server may have run the request.
    Broken(String),
    /// The attempt timed out, and the server may have run the request.
    TimedOut,
}

impl End {
    /// Whether the request was sent.
    pub fn is_sent(&self) -> bool {
        !matches!(
            self,
            Self::Unsent(_) | Self::NoPath(_) | Self::NoSlot | Self::Withdrawn
        )
    }

    /// Whether the server failed after it may have run the request.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Responded(response) => response.is_failure,
            Self::Broken(_) | Self::TimedOut => true,
            _ => false,
        }
    }
}

/// Logs a response head that does not arrive, when it is dropped.
struct Awaited<'a> {
    id: &'a str,
    server: backend::Server,
    received: Received,
    metrics: &'a Metrics,
    has_arrived: bool,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        let bytes = self.received.bytes();
        if self.has_arrived || bytes == 0 {
            return;
        }
        self.metrics.head_missing(bytes);
        logging::event!(
            info,
            "head_missing",
            request = self.id,
            server = self.server,
            bytes = bytes,
            interim_responses = self.received.interim_responses()
        );
    }
}

/// The request of an attempt, as far as the attempt depends on it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The id of the request.
    pub id: String,
    /// Where the server tells which process it is, if only one version may serve the request.
    pub identity_path: Option<String>,
}

/// Sends a request on a new connection and waits for the response head.
///
/// Connections are not reused. On a reused connection, a close, a reset or a duplicate
/// response to the previous request could arrive after the next request was sent, and it
/// would be unknown whether that request has run.
pub async fn run<P: Protocol>(
    connector: &Connector<P>,
    mut permit: Permit,
    request: Request<ingress::Body>,
    call: &Call,
    clock: Clock,
    deadline: Instant,
    metrics: &Metrics,
) -> End {
    let placement = permit.placement();
    let timeout = clock.remaining(deadline.min(placement.connect_deadline));
    let remaining = Millis::from(clock.remaining(deadline));
    let mut connection = match connector.connect(placement, remaining, timeout).await {
        Ok(connection) => connection,
        Err(error) => {
            let reason = error.to_string();
            let outcome = error.outcome();
            permit.set_provider(error.into_provider());
            permit.end(outcome);
            return match outcome {
                Outcome::NoPath => End::NoPath(reason),
                Outcome::Withdrawn => End::NoSlot,
                _ => End::Unsent(reason),
            };
        }
    };
    let now = clock.now();
    permit.connected(now);
    // If the process was paused while connecting, the deadline may have passed.
    if now >= deadline {
        return End::Unsent(String::from(PASSED));
    }
    if permit.is_withdrawn(now) {
        permit.end(Outcome::Withdrawn);
        return End::Withdrawn;
    }
    if let Some(path) = &call.identity_path {
        let placement = permit.placement();
        let check_deadline = clock.at(deadline.min(now + identity::TIMEOUT));
        let asked = identity::ask(&mut connection, &connector.protocol, path, placement);
        let process = time::timeout_at(check_deadline, asked).await;
        let process = process.unwrap_or(Process::Silent);
        log_process(&call.id, placement, process);
        let unfit = match process {
            Process::Expected | Process::Unknown => None,
            Process::Other => Some(Outcome::Moved),
            Process::Silent => Some(Outcome::Withdrawn),
        };
        if let Some(outcome) = unfit {
            permit.end(outcome);
            return End::Withdrawn;
        }
        // A server may close the connection after each response.
        if !connection.is_usable() {
            let timeout = clock.remaining(deadline.min(clock.now() + CHECK_TIMEOUT));
            connection = match connector.connect(placement, remaining, timeout).await {
                Ok(connection) => connection,
                Err(error) => {
                    permit.end(error.outcome());
                    return End::Unsent(error.to_string());
                }
            };
        }
        if clock.now() >= deadline {
            return End::Unsent(String::from(PASSED));
        }
    }
    permit.sent();
    let id = call.id.as_str();
    let mut awaited = Awaited {
        id,
        server: permit.placement().server.clone(),
        received: connection.received().clone(),
        metrics,
        has_arrived: false,
    };
    let probe_at = deadline.min(now + PROBE_AFTER);
    let mut response = pin::pin!(connection.send(request));
    let mut sent = time::timeout_at(clock.at(probe_at), &mut response).await;
    if sent.is_err() && probe_at < deadline {
        permit.stalled();
        sent = time::timeout_at(clock.at(deadline), response).await;
    }
    match sent {
        Err(_) => End::TimedOut,
        Ok(Err(Failure::Unsent(_))) => {
            permit.end(Outcome::Unreachable);
            End::Unsent(String::from(
                "the connection was closed before the request was sent",
            ))
        }
        Ok(Err(Failure::Broken(error))) => {
            permit.end(Outcome::Broken);
            End::Broken(error.to_string())
        }
        Ok(Err(failure @ (Failure::Exceeded(_) | Failure::Malformed(_)))) => {
            // The server is reached and works, so that this is no sign of a crash.
            permit.end(Outcome::Failed);
            End::Broken(failure.to_string())
        }
        Ok(Ok(response)) => {
            awaited.has_arrived = true;
            let (head, body) = response.into_parts();
            let body = awaited.received.body(body);
            let classification = connector.protocol.classify(id, head.status, &head.headers);
            if classification != Classification::Foreign {
                let advisory = connector
                    .protocol
                    .advisory(head.status, &head.headers, clock.now());
                permit.record_advisory(id, advisory);
                if let Some(report) = connector.protocol.load_report(&head.headers) {
                    permit.record_load_report(report);
                }
            }
            end_attempt(classification, head, body, permit)
        }
    }
}

fn log_process(id: &str, placement: &Placement, process: Process) {
    logging::event!(
        info,
        "server_identified",
        request = id,
        server = placement.server,
        incarnation = placement.incarnation,
        version = placement.version,
        process = process
    );
}

fn end_attempt(
    classification: Classification,
    head: response::Parts,
    body: Body,
    mut permit: Permit,
) -> End {
    match classification {
        Classification::Response | Classification::Failure => {
            let is_failure = classification == Classification::Failure;
            if is_failure {
                permit.failed();
            } else if head.status.is_success() {
                permit.succeeded();
            }
            End::Responded(Box::new(Response {
                head,
                body,
                permit: Some(permit),
                is_failure,
            }))
        }
        Classification::Full | Classification::NotRun => {
            permit.end(Outcome::Full);
            End::Full
        }
        Classification::Moved => {
            permit.end(Outcome::Moved);
            End::Moved
        }
        Classification::Foreign => {
            permit.end(Outcome::Failed);
            End::Broken(String::from("the response does not belong to the request"))
        }
    }
}
