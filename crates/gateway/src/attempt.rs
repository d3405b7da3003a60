//! One request at one backend server.

use std::{io, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, body::Incoming, http::response};
use storage::traffic::Traffic;
use tokio::time;
use units::time::Instant;

use crate::{
    clock::Clock,
    connection::{Connection, Failure},
    dispatch::Permit,
    pool::Outcome,
    protocol::{Classification, Protocol},
};

/// The head of a server's answer, and what is needed to follow it to its end.
#[derive(Debug)]
pub struct Response {
    /// Its status and headers.
    pub head: response::Parts,
    /// Its body, of which nothing has been read.
    pub body: Incoming,
    /// The place that it takes at the server, until that is given back.
    pub permit: Option<Permit>,
    /// Whether the server failed the request.
    pub is_failure: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum End {
    /// The server's own answer begins.
    Responded(Box<Response>),
    /// No byte of the request was sent.
    Unsent(String),
    /// The server is full and has not run the request.
    Full,
    /// Another server has the address; it has not run the request.
    Moved,
    /// The server may have run the request, and there is no answer.
    Broken(String),
    /// The time is up, and the server may have run the request.
    TimedOut,
}

/// Sends a request on a new connection and waits for the head of its answer.
///
/// Each request has its own connection. On one that is used again, a close, a
/// reset or a second answer to the request before would meet a request that
/// has been sent already, and nobody could say whether it has run.
pub async fn run<P: Protocol>(
    protocol: &P,
    mut permit: Permit,
    request: Request<Full<Bytes>>,
    id: &str,
    clock: Clock,
    deadline: Instant,
) -> End {
    let placement = permit.placement();
    let timeout = clock.remaining(deadline.min(placement.connect_deadline));
    let connected =
        Connection::with_timeout(placement.address, Arc::<Traffic>::default(), timeout).await;
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => {
            permit.end(connect_failure(&error));
            return End::Unsent(error.to_string());
        }
    };
    let now = clock.now();
    permit.connected(now);
    // After a pause of the process the time may be long over.
    if now >= deadline {
        return End::Unsent(String::from("the time was up before it was sent"));
    }
    let sent = time::timeout_at(clock.at(deadline), connection.send(request)).await;
    match sent {
        Err(_) => End::TimedOut,
        Ok(Err(Failure::Unsent(_))) => {
            permit.end(Outcome::Unreachable);
            End::Unsent(String::from("closed before the request was sent"))
        }
        Ok(Err(Failure::Broken(error))) => {
            permit.end(Outcome::Broken);
            End::Broken(error.to_string())
        }
        Ok(Ok(response)) => {
            let (head, body) = response.into_parts();
            let classification = protocol.classify(id, head.status, &head.headers);
            end_attempt(classification, head, body, permit)
        }
    }
}

/// What an attempt to connect says of the server.
fn connect_failure(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Outcome::Refused,
        _ => Outcome::Unreachable,
    }
}

fn end_attempt(
    classification: Classification,
    head: response::Parts,
    body: Incoming,
    permit: Permit,
) -> End {
    match classification {
        Classification::Response | Classification::Failure => End::Responded(Box::new(Response {
            head,
            body,
            permit: Some(permit),
            is_failure: classification == Classification::Failure,
        })),
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
            End::Broken(String::from("the answer does not belong to the request"))
        }
    }
}
