//! What the tracker is told when a request or an attempt ends.

use units::{backend, pool, request, workspace};

use super::Handle;

/// How an attempt on a server went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Its whole answer arrived.
    Completed,
    /// The server failed.
    Failed,
    /// The server died.
    Crashed,
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
    /// Names the death of the server, if it died.
    pub crash_id: u64,
    /// How it went.
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

    /// Tells how an attempt at this request went.
    pub fn attempt_ended(
        &self,
        pool: pool::Id,
        server: backend::Server,
        crash_id: u64,
        ending: Ending,
    ) {
        self.tracker.attempt_ended(AttemptEnded {
            pool,
            server,
            fingerprint: self.fingerprint,
            crash_id,
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
