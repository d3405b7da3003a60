//! The right to send one claimed request.

use once::Outcome;
use units::request;
use verdict::Refusal;

use super::{Handle, Message};

/// How far a claimed request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing was sent.
    Claimed,
    /// It may have been sent.
    Started,
    /// Its end was told.
    Ended,
}

/// Holds a claim until the request's outcome is known.
///
/// A claim that nobody gives back keeps the caller from ever repeating its
/// request. So a guard that is dropped before anything was sent takes the claim
/// back, and one that is dropped later says that the outcome is unknown.
#[derive(Debug)]
pub struct Guard {
    attempt: request::Attempt,
    stage: Stage,
    claims: Handle,
}

impl Guard {
    pub(super) fn new(attempt: request::Attempt, claims: Handle) -> Self {
        Self {
            attempt,
            stage: Stage::Claimed,
            claims,
        }
    }

    /// Asks for leave to send the request, at once before its first byte.
    ///
    /// A request that was started and is known not to have run may be started
    /// again, at another backend server, by the same guard.
    ///
    /// # Errors
    ///
    /// When the claim is too old; the request has not run.
    pub async fn start(&mut self) -> Result<(), Refusal> {
        if self.stage == Stage::Claimed {
            self.claims.start(self.attempt).await?;
            self.stage = Stage::Started;
        }
        Ok(())
    }

    /// Takes the claim back: the request has not run and will not be sent.
    pub fn not_run(mut self) {
        if self.stage == Stage::Started {
            self.claims.send(Message::Unsent(self.attempt));
        } else {
            self.claims.send(Message::Release(self.attempt));
        }
        self.stage = Stage::Ended;
    }

    /// Records the outcome of the request, `None` where it is unknown.
    pub fn finish(mut self, outcome: Option<Outcome>) {
        self.claims.send(Message::Finish(self.attempt, outcome));
        self.stage = Stage::Ended;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        match self.stage {
            Stage::Claimed => self.claims.send(Message::Release(self.attempt)),
            Stage::Started => self.claims.send(Message::Finish(self.attempt, None)),
            Stage::Ended => {}
        }
    }
}
