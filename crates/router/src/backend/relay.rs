//! The wait for a backend server's answer, and what a broken wait means.

use std::{fmt, net, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming};
use tokio::time;
use units::{request, time::Instant};
use verdict::{Code, Refusal};

use super::{Connection, Failure, PROGRESS_TIMEOUT, load};
use crate::{clock::Clock, owner};

/// How often a server that is well may be found without progress before the
/// connection counts as silent.
const MAX_HEALTHY_CHECKS: u32 = 2;
/// The same where the request cannot be run again: a late answer is worth more
/// than none, but a caller must not be held until its deadline.
const MAX_HEALTHY_CHECKS_NO_RETRY: u32 = 3;
/// How long a caller should wait after a missed deadline.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a wait without progress leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The attempt's stream is resumed on a fresh connection.
    Resume,
    /// The request can be run again elsewhere.
    Retry,
    /// Nothing can be done but to wait for a while.
    Wait,
}

/// What bounds the wait for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    /// The clock that the deadline refers to.
    pub clock: Clock,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// What a wait without progress leads to.
    pub mode: Mode,
}

impl Watchdog {
    /// When the connection is examined if no byte has arrived by then.
    pub fn next_check(&self) -> time::Instant {
        let instant = self.deadline.min(self.clock.now() + PROGRESS_TIMEOUT);
        self.clock.at(instant)
    }

    /// Whether a server that is well was found without progress too often.
    pub fn is_stalled(&self, healthy_checks: u32) -> bool {
        let max_checks = match self.mode {
            Mode::Resume | Mode::Retry => MAX_HEALTHY_CHECKS,
            Mode::Wait => MAX_HEALTHY_CHECKS_NO_RETRY,
        };
        healthy_checks >= max_checks
    }

    /// Whether the caller has stopped waiting.
    pub fn is_expired(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}

/// Why there is no head of an answer.
#[derive(Debug)]
pub enum Error {
    /// No byte of the request has left.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke.
    Closed(hyper::Error),
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The connection went silent, and the server answers on a fresh one.
    Stalled,
    /// The server answers nowhere.
    Unresponsive,
}

impl fmt::Display for Error {
    /// The reason alone: the request that was not sent holds the caller's data,
    /// which has no place in a log.
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

/// Sends a request and waits for the head of the answer.
///
/// A connection can go silent for good while the server is well, because
/// something in between has lost track of it. The caller would wait until its
/// deadline for an answer that was given long ago. So a wait without progress
/// makes the router ask the server on a fresh connection, and only the silent
/// connection is dropped.
///
/// # Errors
///
/// Why there is no head.
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

/// What a server without progress says on a fresh connection.
#[derive(Debug)]
pub enum Check {
    /// It goes on with the attempt's stream there.
    Resumed(Box<Response<Incoming>>),
    /// It answers, but cannot resume the attempt.
    Healthy,
    /// It does not answer.
    Unresponsive,
}

/// Asks a server on a fresh connection about an attempt without progress.
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

/// Gives the permit back and tells what a broken wait means for the caller.
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

/// Tells whether a server that closed a connection has died.
///
/// Only a server that died counts towards the suspicion against the requests
/// that it ran; one that closed a single connection does not. A new boot id or
/// a refused connection shows that it died.
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
