//! Waiting for the response of a backend server, and handling of stalls and
//! connection failures.

use std::{fmt, net, time::Duration};

use hyper::{Request, Response, StatusCode, body::Incoming};
use storage::head;
use tokio::time;
use units::{request, time::Instant};
use verdict::{Code, Refusal};

use super::{
    Connection, Failure, load,
    silence::{Loss, Silence},
};
use crate::{clock::Clock, owner};

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
    /// Whether another server can take the request.
    pub can_move: bool,
}

impl Watchdog {
    /// Returns the instant after `delay`, or the deadline if that is earlier.
    pub fn after(&self, delay: Duration) -> time::Instant {
        self.clock.at(self.deadline.min(self.clock.now() + delay))
    }

    /// Returns the deadline for the runtime's clock.
    pub fn at_deadline(&self) -> time::Instant {
        self.clock.at(self.deadline)
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
    Unsent(Box<Request<ingress::Body>>),
    /// The connection was closed or failed.
    Closed(hyper::Error),
    /// The server sent too many bytes before the end of the head.
    Exceeded(head::Exceeded),
    /// The head of the response is not valid.
    Malformed(framing::head::Fault),
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// The attempt was given up after checks of its server.
    Lost(Loss),
}

impl fmt::Display for Error {
    /// Writes the reason without the unsent request, since the data of callers
    /// must not appear in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(_) => f.write_str("unsent"),
            Self::Closed(error) => write!(f, "closed: {error}"),
            Self::Exceeded(exceeded) => exceeded.fmt(f),
            Self::Malformed(fault) => fault.fmt(f),
            Self::DeadlineExceeded => f.write_str("late"),
            Self::Lost(Loss::Stalled) => f.write_str("silent"),
            Self::Lost(Loss::Refused) => f.write_str("dead"),
            Self::Lost(Loss::Hung) => f.write_str("hung"),
        }
    }
}

/// Sends a request and waits for the response head.
///
/// A connection can stop delivering data while the server is healthy, for
/// example if a device on the network path lost the state of the connection.
/// The caller would then wait until its deadline for a response that was
/// already sent. After a time without progress, the router therefore checks the
/// server over a new connection, and drops only the stalled connection. A server
/// that does not answer the check either may only pause, so the router keeps the
/// connection and checks again.
///
/// # Errors
///
/// If no response head was received.
pub async fn head(
    connection: &mut Connection,
    request: Request<ingress::Body>,
    permit: &owner::Permit,
    watchdog: &Watchdog,
) -> Result<Response<Incoming>, Error> {
    match first_head(connection, request, permit, watchdog).await? {
        Head::Sent(response) => Ok(*response),
        Head::Resumed(resumed) => {
            *connection = resumed.connection;
            Ok(resumed.response)
        }
    }
}

/// A response head.
enum Head {
    /// The head of the response to the request.
    Sent(Box<Response<Incoming>>),
    /// The head of the response to a resumption of the stream.
    Resumed(Box<Resumed>),
}

async fn first_head(
    connection: &mut Connection,
    request: Request<ingress::Body>,
    permit: &owner::Permit,
    watchdog: &Watchdog,
) -> Result<Head, Error> {
    let sent = connection.send(request);
    tokio::pin!(sent);
    let mut silence = Silence::default();
    loop {
        let checked = tokio::select! {
            biased;
            result = &mut sent => {
                let response = result.map_err(head_error)?;
                return Ok(Head::Sent(Box::new(response)));
            }
            checked = next_check(permit, watchdog, &silence, 0) => checked,
        };
        let Some(check) = checked else {
            return Err(Error::DeadlineExceeded);
        };
        if let Some(loss) = silence.record(&check, watchdog) {
            return Err(Error::Lost(loss));
        }
        if let Check::Resumed(resumed) = check {
            return Ok(Head::Resumed(resumed));
        }
    }
}

fn head_error(failure: Failure) -> Error {
    match failure {
        Failure::Unsent(request) => Error::Unsent(request),
        Failure::Broken(error) => Error::Closed(error),
        Failure::Exceeded(exceeded) => Error::Exceeded(exceeded),
        Failure::Malformed(fault) => Error::Malformed(fault),
    }
}

/// The response to a resumption of an event stream.
#[derive(Debug)]
pub struct Resumed {
    /// The connection of the response.
    pub connection: Connection,
    /// The response.
    pub response: Response<Incoming>,
}

/// Result of a check of a server over a new connection.
#[derive(Debug)]
pub enum Check {
    /// The server resumed the event stream of the attempt.
    Resumed(Box<Resumed>),
    /// The server responds, but did not resume the attempt.
    Healthy,
    /// The server refuses or closes connections.
    Refused,
    /// The server did not respond in time; it may pause, or be lost.
    Unanswered,
}

/// Waits until the next check is due, and checks the server. Returns `None` if
/// the deadline passed.
pub async fn next_check(
    permit: &owner::Permit,
    watchdog: &Watchdog,
    silence: &Silence,
    from: u64,
) -> Option<Check> {
    time::sleep_until(watchdog.after(silence.check_interval())).await;
    if watchdog.is_expired() {
        return None;
    }
    Some(check_backend(permit, watchdog, from).await)
}

/// Tries to resume an interrupted event stream after `from` events, until the
/// server answers. Returns `None` if the deadline passed.
pub async fn resume(permit: &owner::Permit, watchdog: &Watchdog, from: u64) -> Option<Check> {
    let mut silence = Silence::default();
    let mut check = check_backend(permit, watchdog, from).await;
    while matches!(check, Check::Unanswered) {
        silence.record(&check, watchdog);
        check = next_check(permit, watchdog, &silence, from).await?;
    }
    Some(check)
}

/// Checks the server of an attempt without progress over a new connection, and
/// resumes the event stream after `from` events if the mode allows it.
async fn check_backend(permit: &owner::Permit, watchdog: &Watchdog, from: u64) -> Check {
    let address = permit.address();
    let until = watchdog.after(load::TIMEOUT);
    if watchdog.mode != Mode::Resume {
        return classify_check(time::timeout_at(until, load::get(address, "/load")).await);
    }
    let target = resume_target(permit.attempt(), from);
    match time::timeout_at(until, load::get(address, &target)).await {
        Ok(Ok((connection, response))) if response.status() == StatusCode::OK => {
            Check::Resumed(Box::new(Resumed {
                connection,
                response,
            }))
        }
        other => classify_check(other),
    }
}

fn classify_check<T, E>(result: Result<Result<T, load::Error>, E>) -> Check {
    match result {
        Ok(Ok(_)) => Check::Healthy,
        Ok(Err(load::Error::Closed)) => Check::Refused,
        Ok(Err(error)) if error.is_refused() => Check::Refused,
        Ok(Err(_)) | Err(_) => Check::Unanswered,
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
        Error::Exceeded(_) | Error::Malformed(_) => {
            permit.finish(owner::Outcome::Failed, None);
            let message = format!("Backend server {server} sent no answer.");
            Refusal::may_have_run(Code::BackendFailed, message)
        }
        Error::DeadlineExceeded => {
            permit.finish(owner::Outcome::DeadlineExceeded, None);
            Refusal::may_have_run(Code::Deadline, "The answer did not come by the deadline.")
                .retry_at(watchdog.clock.now() + RETRY_DELAY)
        }
        Error::Lost(Loss::Stalled) => {
            permit.finish(owner::Outcome::Cancelled, None);
            let message = format!("The connection to backend server {server} went silent.");
            Refusal::may_have_run(Code::BackendFailed, message)
        }
        Error::Lost(Loss::Refused | Loss::Hung) => {
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
/// connection indicates a crash. No answer does not, since the server may pause.
pub async fn classify_close(address: net::SocketAddr, boot: Option<&str>) -> Code {
    match time::timeout(load::TIMEOUT, load::read(address)).await {
        Ok(Ok(report)) => match boot {
            Some(boot) if boot != report.boot => Code::BackendDied,
            _ => Code::BackendFailed,
        },
        Ok(Err(error)) if error.is_refused() => Code::BackendDied,
        Ok(Err(_)) | Err(_) => Code::BackendFailed,
    }
}
