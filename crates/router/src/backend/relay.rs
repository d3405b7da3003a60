//! Waiting for the response of a backend server, and handling of stalls and
//! connection failures.

use std::{fmt, net, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time;
use units::{request, time::Instant};
use verdict::{Code, Refusal};

use super::{Connection, Failure, PROGRESS_TIMEOUT, load};
use crate::{clock::Clock, owner};

/// Number of checks without progress, with the server healthy in each of them,
/// after which the connection counts as stalled.
const MAX_HEALTHY_CHECKS: u32 = 2;
/// As [`MAX_HEALTHY_CHECKS`], for requests that cannot be retried. The limit is
/// higher, since a late response is better than none, but finite, so that the
/// caller does not have to wait until its deadline.
const MAX_HEALTHY_CHECKS_NO_RETRY: u32 = 3;
/// Delay after which a caller may retry a request that missed its deadline.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The action for a response without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Resume the event stream of the attempt over a new connection.
    Resume,
    /// Fail the attempt, so that the request is retried on another server.
    Retry,
    /// Keep waiting up to a limit, since the request cannot be retried.
    Wait,
}

/// Limits of the wait for a response.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    /// The clock of the deadline.
    pub clock: Clock,
    /// The instant at which the caller stops waiting.
    pub deadline: Instant,
    /// The action for a response without progress.
    pub mode: Mode,
}

impl Watchdog {
    /// Returns the instant of the next check, if no byte is received before.
    pub fn next_check(&self) -> time::Instant {
        let instant = self.deadline.min(self.clock.now() + PROGRESS_TIMEOUT);
        self.clock.at(instant)
    }

    /// Returns whether the connection counts as stalled after `healthy_checks`
    /// checks without progress.
    pub fn is_stalled(&self, healthy_checks: u32) -> bool {
        let max_checks = match self.mode {
            Mode::Resume | Mode::Retry => MAX_HEALTHY_CHECKS,
            Mode::Wait => MAX_HEALTHY_CHECKS_NO_RETRY,
        };
        healthy_checks >= max_checks
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}

/// Why no response head was received.
#[derive(Debug)]
pub enum Error {
    /// No byte of the request was sent.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection was closed or failed.
    Closed(hyper::Error),
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The connection stalled, while the server responds over a new one.
    Stalled,
    /// The server does not respond over a new connection either.
    Unresponsive,
}

impl fmt::Display for Error {
    /// Writes the reason without the unsent request, since the data of callers
    /// must not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(_) => f.write_str("unsent"),
            Self::Closed(error) => write!(f, "closed: {error}"),
            Self::DeadlineExceeded => f.write_str("late"),
            Self::Stalled => f.write_str("silent"),
            Self::Unresponsive => f.write_str("dead"),
        }
    }
}

/// Sends a request and waits for the response head.
///
/// A connection can stop delivering data while the server is healthy, for
/// example if a device on the network path lost the state of the connection.
/// The caller would then wait until its deadline for a response that was
/// already sent. After a time without progress, the router therefore checks the
/// server over a new connection, and drops only the stalled connection.
///
/// # Errors
///
/// If no response head was received.
pub async fn head(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    permit: &owner::Permit,
    watchdog: &Watchdog,
) -> Result<Response<Incoming>, Error> {
    let sent = connection.send(request);
    tokio::pin!(sent);
    let mut healthy_checks = 0;
    loop {
        tokio::select! {
            result = &mut sent => return result.map_err(head_error),
            () = time::sleep_until(watchdog.next_check()) => {}
        }
        if watchdog.is_expired() {
            return Err(Error::DeadlineExceeded);
        }
        match check_backend(permit, watchdog, 0).await {
            Check::Resumed(response) => return Ok(*response),
            Check::Unresponsive => return Err(Error::Unresponsive),
            Check::Healthy => healthy_checks += 1,
        }
        if watchdog.is_stalled(healthy_checks) {
            return Err(Error::Stalled);
        }
    }
}

fn head_error(failure: Failure) -> Error {
    match failure {
        Failure::Unsent(request) => Error::Unsent(request),
        Failure::Broken(error) => Error::Closed(error),
    }
}

/// Result of a check of a server over a new connection.
#[derive(Debug)]
pub enum Check {
    /// The server resumed the event stream of the attempt.
    Resumed(Box<Response<Incoming>>),
    /// The server responds, but did not resume the attempt.
    Healthy,
    /// The server does not respond.
    Unresponsive,
}

/// Checks the server of an attempt without progress over a new connection, and
/// resumes the event stream after `from` events if the mode allows it.
pub async fn check_backend(permit: &owner::Permit, watchdog: &Watchdog, from: u64) -> Check {
    let address = permit.address();
    if watchdog.mode != Mode::Resume {
        return classify_check(time::timeout(load::TIMEOUT, load::get(address, "/load")).await);
    }
    let target = resume_target(permit.attempt(), from);
    match time::timeout(load::TIMEOUT, load::get(address, &target)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => {
            Check::Resumed(Box::new(response))
        }
        other => classify_check(other),
    }
}

fn classify_check<T, E>(result: Result<Result<T, load::Error>, E>) -> Check {
    match result {
        Ok(Ok(_)) => Check::Healthy,
        Ok(Err(_)) | Err(_) => Check::Unresponsive,
    }
}

fn resume_target(attempt: request::Attempt, from: u64) -> String {
    format!("/streams/{attempt}?from={from}")
}

/// Releases the permit and returns the refusal for an attempt without a
/// response head.
pub async fn into_refusal(permit: owner::Permit, error: Error, watchdog: &Watchdog) -> Refusal {
    logging::event!(
        warn,
        "backend_broken",
        server = permit.server(),
        attempt = permit.attempt(),
        reason = error
    );
    let server = permit.server().clone();
    match error {
        Error::Unsent(_) => {
            permit.finish(owner::Outcome::Failed, None);
            let message = format!("Backend server {server} closed the connection.");
            Refusal::not_run(Code::NoServer, message)
        }
        Error::Closed(_) => {
            let code = classify_close(permit.address(), permit.boot()).await;
            permit.finish(owner::Outcome::Failed, None);
            let message = format!("Backend server {server} closed the connection.");
            Refusal::may_have_run(code, message)
        }
        Error::DeadlineExceeded => {
            permit.finish(owner::Outcome::DeadlineExceeded, None);
            Refusal::may_have_run(Code::Deadline, "The answer did not come by the deadline.")
                .retry_at(watchdog.clock.now() + RETRY_DELAY)
        }
        Error::Stalled => {
            permit.finish(owner::Outcome::Cancelled, None);
            let message = format!("The connection to backend server {server} went silent.");
            Refusal::may_have_run(Code::BackendFailed, message)
        }
        Error::Unresponsive => {
            permit.finish(owner::Outcome::Unreachable, None);
            let message = format!("Backend server {server} stopped answering.");
            Refusal::may_have_run(Code::BackendFailed, message)
        }
    }
}

/// Determines whether a server that closed a connection has crashed.
///
/// Only a crash counts as a strike against the requests that the server was
/// running; a single closed connection does not. A changed boot id or a refused
/// connection indicates a crash.
pub async fn classify_close(address: net::SocketAddr, boot: Option<&str>) -> Code {
    match time::timeout(load::TIMEOUT, load::read(address)).await {
        Ok(Ok(report)) => match boot {
            Some(boot) if boot != report.boot => Code::BackendDied,
            _ => Code::BackendFailed,
        },
        Ok(Err(load::Error::Connect(_))) | Err(_) => Code::BackendDied,
        Ok(Err(_)) => Code::BackendFailed,
    }
}
