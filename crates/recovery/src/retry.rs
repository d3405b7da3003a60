//! Whether a failed attempt is followed by another.

use units::{time::Instant, workspace};
use verdict::{Code, Refusal, Verdict};

use crate::{RetryBudget, Settings};

/// What an attempt failed of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The owner refused before anything left towards the backend server.
    Refused,
    /// No connection to the backend server came about.
    Unreachable,
    /// The backend server failed, or its answer was cut or crossed.
    Failed,
}

/// A failed attempt and what is left.
#[derive(Clone, Debug)]
pub struct Failure<'a> {
    /// The workspace that pays.
    pub workspace: &'a workspace::Id,
    /// What the attempt failed of.
    pub cause: Cause,
    /// The refusal that the caller gets if there is no further attempt.
    pub refusal: Refusal,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether part of an answer has reached the caller.
    pub response_started: bool,
    /// Attempts that have reached for a backend server, this one included.
    pub attempts: u32,
    /// Refusals by owners, this one included.
    pub refusals: u32,
    /// Backend servers that have not been tried.
    pub candidates: usize,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The next backend server is tried.
    Next,
    /// The caller gets the refusal at once.
    GiveUp(Refusal),
}

impl Retry {
    /// Decides what follows `failure`, and pays for a retry.
    ///
    /// A refusal by an owner costs no budget, since it cost the backend servers
    /// nothing; their number is bounded instead. A request that is given up on
    /// gets its answer now, with the instant to come back at where that helps.
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

    /// Whether another attempt may follow, and why not.
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

/// Whether another backend server would answer the same.
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
