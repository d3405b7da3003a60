//! HTTP/1.1 client for backend servers.

pub mod load;
pub mod relay;
pub mod response;
pub mod silence;

use std::{io, time::Duration};

pub use gateway::connection::{Connection, Failure};
use hyper::{Request, header};
use ingress::Payload;
use units::{request, time::Instant};
use verdict::{Code, Refusal};
use wire::hop;

use crate::{clock::Clock, owner, response::Upstream};

/// Time without a received byte of a response after which the backend server is
/// checked over a new connection.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_secs(3);

/// The header with the attempt id, which the backend server echoes in its
/// response.
pub const ATTEMPT_HEADER: &str = "x-weir-attempt";

/// Runs an admitted request on its backend server, until `deadline` at the latest.
///
/// Returns once the response head was received; the body is streamed through
/// the channel of the response. The permit is released when the body ends.
///
/// # Errors
///
/// A refusal, with the verdict `NotRun` only if no byte of the request was sent.
pub async fn run(
    mut permit: owner::Permit,
    open: &hop::Open,
    body: &Payload,
    clock: Clock,
    deadline: Instant,
) -> Result<Upstream, Refusal> {
    let request = build_request(open, body, permit.attempt())?;
    let (mut connection, request) = match permit.take_connection() {
        Some(idle) => (idle, request),
        None => match Connection::open(permit.address()).await {
            Ok(fresh) => (fresh, request),
            Err(error) => return Err(unreachable(permit, &error)),
        },
    };
    let watchdog = relay::Watchdog {
        clock,
        deadline,
        mode: mode(open),
        can_move: open.idempotent,
    };
    let first = relay::head(&mut connection, request, &permit, &watchdog).await;
    let response = match first {
        Ok(response) => response,
        Err(relay::Error::Unsent(request)) => {
            // The server closed the idle connection. No byte of the request was
            // sent, so the same attempt is made over a new connection.
            connection = match Connection::open(permit.address()).await {
                Ok(fresh) => fresh,
                Err(error) => return Err(unreachable(permit, &error)),
            };
            match relay::head(&mut connection, *request, &permit, &watchdog).await {
                Ok(response) => response,
                Err(relay::Error::Unsent(_)) => {
                    permit.finish(owner::Outcome::Failed, None);
                    return Err(closed_before_send());
                }
                Err(error) => return Err(relay::into_refusal(permit, error, &watchdog).await),
            }
        }
        Err(error) => return Err(relay::into_refusal(permit, error, &watchdog).await),
    };
    response::start(permit, connection, response, open, watchdog)
}

/// Selects the action for a response without progress.
fn mode(open: &hop::Open) -> relay::Mode {
    if open.events {
        relay::Mode::Resume
    } else if open.idempotent {
        relay::Mode::Retry
    } else {
        relay::Mode::Wait
    }
}

fn unreachable(permit: owner::Permit, error: &io::Error) -> Refusal {
    logging::event!(
        warn,
        "backend_unreachable",
        server = permit.server(),
        error = error
    );
    let message = format!(
        "Backend server {} does not accept connections.",
        permit.server()
    );
    permit.finish(owner::Outcome::Unreachable, None);
    Refusal::not_run(Code::NoServer, message)
}

fn closed_before_send() -> Refusal {
    Refusal::not_run(
        Code::NoServer,
        "The backend server closed the connection before the request was sent.",
    )
}

fn build_request(
    open: &hop::Open,
    body: &Payload,
    attempt: request::Attempt,
) -> Result<Request<ingress::Body>, Refusal> {
    let malformed =
        |_| Refusal::not_run(Code::Malformed, "The request's head cannot be forwarded.");
    let mut builder = Request::builder()
        .method(open.method.as_str())
        .uri(open.target.as_str());
    for header in &open.headers {
        builder = builder.header(header.name.as_str(), header.value.as_slice());
    }
    builder
        .header(header::HOST, open.server.as_str())
        .header(ATTEMPT_HEADER, attempt.to_string())
        .body(body.body())
        .map_err(malformed)
}
