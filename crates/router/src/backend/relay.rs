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
const PATIENCE: u32 = 2;
/// The same where the request cannot be run again: a late answer is worth more
/// than none, but a caller must not be held until its deadline.
const LAST_PATIENCE: u32 = 3;
/// How long a caller should wait after a missed deadline.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// What a wait without progress leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The attempt's stream is resumed on a fresh connection.
    Resume,
    /// The request can be run again elsewhere.
    Repeat,
    /// Nothing can be done but to wait for a while.
    Wait,
}

/// What bounds the wait for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The clock that the deadline refers to.
    pub clock: Clock,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// What a wait without progress leads to.
    pub mode: Mode,
}

impl Watch {
    /// When the connection is examined if no byte has arrived by then.
    pub fn examine_at(&self) -> time::Instant {
        let instant = self.deadline.min(self.clock.now() + PROGRESS_TIMEOUT);
        self.clock.at(instant)
    }

    /// Whether a server that is well was found without progress too often.
    pub fn is_silent(&self, found_well: u32) -> bool {
        let patience = match self.mode {
            Mode::Resume | Mode::Repeat => PATIENCE,
            Mode::Wait => LAST_PATIENCE,
        };
        found_well >= patience
    }

    /// Whether the caller has stopped waiting.
    pub fn is_over(&self) -> bool {
        self.clock.now() >= self.deadline
    }
}

/// Why there is no head of an answer.
#[derive(Debug)]
pub enum Broken {
    /// No byte of the request has left.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection broke.
    Closed(hyper::Error),
    /// The caller's deadline passed.
    Late,
    /// The connection went silent, and the server answers on a fresh one.
    Silent,
    /// The server answers nowhere.
    Dead,
}

impl fmt::Display for Broken {
    /// The reason alone: the request that was not sent holds the caller's data,
    /// which has no place in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(_) => f.write_str("unsent"),
            Self::Closed(error) => write!(f, "closed: {error}"),
            Self::Late => f.write_str("late"),
            Self::Silent => f.write_str("silent"),
            Self::Dead => f.write_str("dead"),
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
    watch: &Watch,
) -> Result<Response<Incoming>, Broken> {
    let sent = connection.send(request);
    tokio::pin!(sent);
    let mut found_well = 0;
    loop {
        tokio::select! {
            result = &mut sent => return result.map_err(broken),
            () = time::sleep_until(watch.examine_at()) => {}
        }
        if watch.is_over() {
            return Err(Broken::Late);
        }
        match examine_silence(permit, watch, 0).await {
            Silence::Resumed(response) => return Ok(*response),
            Silence::Dead => return Err(Broken::Dead),
            Silence::Well => found_well += 1,
        }
        if watch.is_silent(found_well) {
            return Err(Broken::Silent);
        }
    }
}

fn broken(failure: Failure) -> Broken {
    match failure {
        Failure::Unsent(request) => Broken::Unsent(request),
        Failure::Broken(error) => Broken::Closed(error),
    }
}

/// What a server without progress says on a fresh connection.
#[derive(Debug)]
pub enum Silence {
    /// It goes on with the attempt's stream there.
    Resumed(Box<Response<Incoming>>),
    /// It answers, but cannot resume the attempt.
    Well,
    /// It does not answer.
    Dead,
}

/// Asks a server on a fresh connection about an attempt without progress.
pub async fn examine_silence(permit: &owner::Permit, watch: &Watch, from: u64) -> Silence {
    let address = permit.address();
    if watch.mode != Mode::Resume {
        return well(time::timeout(load::TIMEOUT, load::get(address, "/load")).await);
    }
    let target = stream_target(permit.attempt(), from);
    match time::timeout(load::TIMEOUT, load::get(address, &target)).await {
        Ok(Ok(response)) if response.status() == StatusCode::OK => {
            Silence::Resumed(Box::new(response))
        }
        other => well(other),
    }
}

fn well<T, E>(answer: Result<Result<T, load::Error>, E>) -> Silence {
    match answer {
        Ok(Ok(_)) => Silence::Well,
        Ok(Err(_)) | Err(_) => Silence::Dead,
    }
}

fn stream_target(attempt: request::Attempt, from: u64) -> String {
    format!("/streams/{attempt}?from={from}")
}

/// Gives the permit back and tells what a broken wait means for the caller.
pub async fn explain(permit: owner::Permit, broken: Broken, watch: &Watch) -> Refusal {
    logging::event!(
        warn,
        "backend_broken",
        server = permit.server(),
        attempt = permit.attempt(),
        reason = broken
    );
    let server = permit.server().clone();
    match broken {
        Broken::Unsent(_) => {
            permit.finish(owner::Outcome::Failed, None);
            let message = format!("Backend server {server} closed the connection.");
            Refusal::not_run(Code::NoServer, message)
        }
        Broken::Closed(_) => {
            let code = examine_closed(permit.address(), permit.boot()).await;
            permit.finish(owner::Outcome::Failed, None);
            let message = format!("Backend server {server} closed the connection.");
            Refusal::may_have_run(code, message)
        }
        Broken::Late => {
            permit.finish(owner::Outcome::DeadlineExceeded, None);
            Refusal::may_have_run(Code::Deadline, "The answer did not come by the deadline.")
                .retry_at(watch.clock.now() + RETRY_WAIT)
        }
        Broken::Silent => {
            permit.finish(owner::Outcome::Cancelled, None);
            let message = format!("The connection to backend server {server} went silent.");
            Refusal::may_have_run(Code::BackendFailed, message)
        }
        Broken::Dead => {
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
pub async fn examine_closed(address: net::SocketAddr, boot: Option<&str>) -> Code {
    match time::timeout(load::TIMEOUT, load::read(address)).await {
        Ok(Ok(report)) => match boot {
            Some(boot) if boot != report.boot => Code::BackendDied,
            _ => Code::BackendFailed,
        },
        Ok(Err(load::Error::Connect(_))) | Err(_) => Code::BackendDied,
        Ok(Err(_)) => Code::BackendFailed,
    }
}
