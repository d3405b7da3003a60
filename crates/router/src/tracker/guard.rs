//! Reports to the tracker when a request or an attempt ends.

use recovery::Crash;
use units::{backend, pool, request, time::Instant, workspace};

use super::Handle;

/// How an attempt on a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its complete response arrived.
    Completed,
    /// The server failed.
    Failed,
    /// There was no response by the deadline.
    TimedOut,
    /// The server crashed.
    Crashed,
}

/// An attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Identifies the crash of the server, if it crashes during the attempt.
    pub crash: Crash,
    /// When the attempt began.
    pub began_at: Instant,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The server's pool.
    pub pool: pool::Id,
    /// The server.
    pub server: backend::Server,
    /// The request.
    pub fingerprint: request::Fingerprint,
    /// The attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub ending: Ending,
}

/// A request that ended.
#[derive(Clone, Debug)]
pub struct RequestEnded {
    /// Its workspace.
    pub workspace: workspace::Id,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    workspace: workspace::Id,
    fingerprint: request::Fingerprint,
    tracker: Handle,
}

impl Guard {
    /// A guard that reports to `tracker`.
    pub(super) fn new(
        workspace: workspace::Id,
        fingerprint: request::Fingerprint,
        tracker: Handle,
    ) -> Self {
        Self {
            workspace,
            fingerprint,
            tracker,
        }
    }

    /// Reports how an attempt at this request ended.
    pub fn attempt_ended(
        &self,
        pool: pool::Id,
        server: backend::Server,
        attempt: Attempt,
        ending: Ending,
    ) {
        self.tracker.attempt_ended(AttemptEnded {
            pool,
            server,
            fingerprint: self.fingerprint,
            attempt,
            ending,
        });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.tracker.request_ended(RequestEnded {
            workspace: self.workspace.clone(),
        });
    }
}
