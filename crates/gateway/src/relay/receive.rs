//! Receives the body of a response from its server.

use std::{pin, time::Duration};

use bytes::{Bytes, BytesMut};
use framing::Tracker;
use tokio::time;
use units::time::Instant;

use super::{Excess, Progress, failure::Failure};
use crate::{
    attempt::Response,
    clock::Clock,
    connection::{self, Body},
    dispatch::Permit,
    serve::Running,
    silence::Cause,
};

/// The time without a byte of a response that has begun after which its server is probed.
const PROBE_AFTER: Duration = Duration::from_millis(500);

/// The longest for which bytes that are no progress are held back while the server counts as silent:
/// enough for a check and a move, and less than the gap after which callers leave.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// The next event on the connection to the server.
pub(super) enum Next {
    Data(Bytes),
    End,
    Broken(String),
    TimedOut,
    /// The response has no end in sight.
    Endless(Excess),
    /// Another server continues the stream.
    Replaced(Box<Response>, Cause),
    /// The server was given up, and another one may continue the stream.
    Left(Box<Running>, Failure),
}

/// Receives a stream ahead of what is recorded, while its server may be replaced.
pub(super) struct Ahead {
    pub tracker: Tracker,
    pub progress: Progress,
    /// From when on bytes that are no progress are held back, so that they do not end the wait.
    pub hold_from: Instant,
    /// The most bytes that are held back.
    pub max_held: usize,
}

impl Ahead {
    /// Waits for the next bytes of `body`; from `hold_from` on, for some that are progress.
    pub async fn receive(
        mut self,
        body: &mut Body,
        permit: &Permit,
        clock: Clock,
        deadline: Instant,
    ) -> Next {
        let release_at = clock.now() + MAX_HOLD;
        let mut held = BytesMut::new();
        loop {
            let bytes = match frame(body, Some(permit), clock, deadline).await {
                Next::Data(bytes) => bytes,
                // The body ends again when the next frame is waited for.
                Next::End if !held.is_empty() => return Next::Data(held.freeze()),
                next => return next,
            };
            let now = clock.now();
            if now < self.hold_from {
                return Next::Data(bytes);
            }
            self.tracker.record(&bytes);
            held.extend_from_slice(&bytes);
            let is_progress = self.progress.receive(&self.tracker, now);
            if is_progress || now >= release_at || held.len() > self.max_held {
                return Next::Data(held.freeze());
            }
        }
    }
}

/// Waits for the next bytes of `body`, until `deadline` at the latest.
pub(super) async fn frame(
    body: &mut Body,
    permit: Option<&Permit>,
    clock: Clock,
    deadline: Instant,
) -> Next {
    let probe_at = deadline.min(clock.now() + PROBE_AFTER);
    let mut frame = pin::pin!(body.frame());
    let mut received = time::timeout_at(clock.at(probe_at), &mut frame).await;
    if received.is_err() && probe_at < deadline {
        if let Some(permit) = permit {
            permit.stalled();
        }
        received = time::timeout_at(clock.at(deadline), frame).await;
    }
    match received {
        Err(_) => Next::TimedOut,
        Ok(Ok(None)) => Next::End,
        Ok(Ok(Some(frame))) => Next::Data(frame.into_data().unwrap_or_default()),
        Ok(Err(connection::Failure::Exceeded(_))) => Next::Endless(Excess::Framing),
        Ok(Err(failure)) => Next::Broken(failure.to_string()),
    }
}
