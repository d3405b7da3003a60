//! Whether a failed request is retried.

use units::{time::Instant, workspace};
use verdict::{Code, Refusal, Verdict};

use crate::{RetryBudget, Settings};

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The owner refused the request before anything was sent to the backend server.
    Refused,
    /// The connection to the backend server could not be established.
    Unreachable,
    /// The backend server failed, or its response was truncated or belonged to
    /// another request.
    Failed,
}

/// A failed attempt, and what remains for further ones.
#[derive(Clone, Debug)]
pub struct Failure<'a> {
    /// The workspace whose budget pays for the retry.
    pub workspace: &'a workspace::Id,
    /// Why the attempt failed.
    pub cause: Cause,
    /// The refusal that the caller gets if the request is not retried.
    pub refusal: Refusal,
    /// Whether the request is idempotent and may run more than once.
    pub idempotent: bool,
    /// Whether part of a response has been sent to the caller.
    pub response_started: bool,
    /// The number of attempts that were sent, or tried to connect, to a backend
    /// server, including this one.
    pub attempts: u32,
    /// The number of refusals by owners, including this one.
    pub refusals: u32,
    /// The number of backend servers that have not been tried.
    pub candidates: usize,
    /// The deadline of the request.
    pub deadline: Instant,
}

/// What to do after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try the next backend server.
    Next,
    /// Return the refusal to the caller immediately.
    GiveUp(Refusal),
}

impl Retry {
    /// Decides whether to retry after `failure`, and takes the cost of the retry
    /// from `budget`.
    ///
    /// A retry after a refusal by an owner is not charged to the budget, since the
    /// refusal caused no load on the backend servers; the number of refusals is
    /// limited instead. A request that is not retried is refused immediately, with
    /// the time at which the caller may retry, if a retry can succeed.
    pub fn decide(
        failure: Failure<'_>,
        settings: &Settings,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Self {
        let Err(code) = Self::allowed(&failure, settings, budget, now) else {
            return Self::Next;
        };
        let is_retry_useful = !is_final(failure.refusal.code) && !failure.response_started;
        let default_retry_at = is_retry_useful.then(|| now + settings.retry_after);
        Self::GiveUp(Refusal {
            code,
            retry_at: failure.refusal.retry_at.or(default_retry_at),
            ..failure.refusal
        })
    }

    /// Checks whether another attempt is allowed; the error is the reason why not.
    fn allowed(
        failure: &Failure<'_>,
        settings: &Settings,
        budget: &mut RetryBudget,
        now: Instant,
    ) -> Result<(), Code> {
        let code = failure.refusal.code;
        let may_run_twice = failure.idempotent || failure.refusal.verdict == Verdict::NotRun;
        if failure.response_started || !may_run_twice || is_final(code) || failure.candidates == 0 {
            return Err(code);
        }
        if now >= failure.deadline {
            return Err(Code::Deadline);
        }
        if failure.cause == Cause::Refused {
            let is_below_limit = failure.refusals < settings.max_refusals;
            return if is_below_limit { Ok(()) } else { Err(code) };
        }
        if failure.attempts >= settings.max_attempts {
            return Err(code);
        }
        if !budget.try_withdraw(failure.workspace, now) {
            return Err(Code::RetryBudget);
        }
        Ok(())
    }
}

/// Whether every other backend server would give the same response.
fn is_final(code: Code) -> bool {
    !matches!(
        code,
        Code::Busy
            | Code::Cold
            | Code::Moved
            | Code::NoServer
            | Code::NotReady
            | Code::BackendFailed
            | Code::BackendDied
            | Code::BadAnswer
            | Code::Internal
    )
}
