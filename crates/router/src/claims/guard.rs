//! The right to send one claimed request.

use once::Outcome;
use units::request;
use verdict::Refusal;

use super::{Handle, Message};

/// Stage of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of the request has been sent.
    Claimed,
    /// The request may have been sent.
    Started,
    /// The end of the request has been reported.
    Ended,
}

/// Holds a claim until the request's outcome is known.
///
/// A claim that is never released keeps the caller from ever repeating its
/// request. So a guard that is dropped before anything was sent releases the
/// claim, and one that is dropped later reports the outcome as unknown.
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

    /// Checks that the request may still be sent; to be called immediately
    /// before its first byte is sent.
    ///
    /// A request that was started and is known not to have run may be started
    /// again at another backend server, by the same guard.
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

    /// Releases the claim: the request has not run and will not be sent.
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
