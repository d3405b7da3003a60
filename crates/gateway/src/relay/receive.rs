//! Receives the body of a response from its server.

use std::{pin, time::Duration};

use bytes::{Bytes, BytesMut};
use framing::{Tracker, Truncation};
use tokio::time;
use units::time::Instant;

use super::{Excess, MIN_SILENCE, Progress, Relay, Splitter, continued, failure::Failure};
use crate::{
    attempt::Response,
    clock::Clock,
    connection::{self, Body},
    dispatch::Permit,
    protocol::Protocol,
    serve::{Held, Running, Waited},
    silence::{self, Cause, Silence},
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
struct Ahead {
    tracker: Tracker,
    progress: Progress,
    /// From when on bytes that are no progress are held back, so that they do not end the wait.
    hold_from: Instant,
    /// The most bytes that are held back.
    max_held: usize,
}

impl Ahead {
    /// Waits for the next bytes of `body`; from `hold_from` on, for some that are progress.
    async fn receive(
        mut self,
        body: &mut Body,
        permit: &Permit,
        clock: Clock,
        deadline: Instant,
    ) -> Next {
        let release_at = deadline.min(clock.now() + MAX_HOLD);
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

/// Waits for the next bytes of `body`, until `deadline` at the latest. Bytes that are there already are
/// returned after it as well.
async fn frame(body: &mut Body, permit: Option<&Permit>, clock: Clock, deadline: Instant) -> Next {
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

impl<P: Protocol> Relay<P> {
    /// Waits for the server's next bytes, until the request's deadline at the latest. A server that
    /// stays silent may be replaced meanwhile.
    pub(super) async fn receive(&mut self) -> Next {
        if let Some(excess) = self.limit.excess(&self.tracker) {
            return Next::Endless(excess);
        }
        if self.tracker.is_coded_stream() {
            return Next::Broken(Truncation::Undeclared.to_string());
        }
        if self.cutoff.is_reached(self.exchange.context().clock.now()) {
            return Next::TimedOut;
        }
        let can_resume = self.can_resume();
        let context = self.exchange.context();
        let (clock, max_held) = (context.clock, context.max_event_bytes);
        let plan = self.exchange.plan();
        let target = plan.route.target;
        let deadline = plan.deadline;
        self.progress.wait(clock.now());
        let Some(body) = &mut self.body else {
            return Next::End;
        };
        let Some(permit) = self.permit.as_ref().filter(|_| can_resume) else {
            return frame(body, self.permit.as_ref(), clock, deadline).await;
        };
        let silent_since = self.progress.silent_since();
        let held = Held {
            placement: permit.placement(),
            silence: Silence {
                since: silent_since,
                due_at: silent_since + self.usual_gap,
                leave_at: silence::leave_at(silent_since, target, MIN_SILENCE),
            },
            is_settled: true,
            last_event_id: self.splitter.as_ref().and_then(Splitter::last_id),
        };
        let ahead = Ahead {
            tracker: self.tracker.clone(),
            progress: self.progress,
            hold_from: held.silence.leave_at,
            max_held,
        };
        let frame = ahead.receive(body, permit, clock, deadline);
        let method = self.exchange.plan().method.clone();
        let tracker = &self.tracker;
        let is_usable = |response: &Response| continued(tracker, &method, response).is_some();
        let goes_on = |next: &Next| match next {
            Next::Broken(_) => false,
            Next::End => tracker.end().is_ok(),
            Next::Data(bytes) => has_event(tracker, bytes),
            _ => true,
        };
        let waited = self.exchange.wait(frame, &held, goes_on, is_usable);
        match waited.await {
            Waited::Received(next) => next,
            Waited::Replaced(response, cause) => Next::Replaced(response, cause),
            Waited::Left(running, Some(Next::Broken(reason)), _) => {
                Next::Left(running, Failure::Broken(reason))
            }
            Waited::Left(running, Some(Next::Data(_)), cause) => {
                Next::Left(running, Failure::Silent(cause))
            }
            Waited::Left(running, Some(_), _) => {
                Next::Left(running, Failure::Broken(String::from("truncated")))
            }
            Waited::Left(running, None, cause) => Next::Left(running, Failure::Silent(cause)),
        }
    }
}

/// Whether `bytes` complete an event of the stream that `tracker` follows.
fn has_event(tracker: &Tracker, bytes: &[u8]) -> bool {
    let mut ahead = tracker.clone();
    ahead.record(bytes);
    ahead.events() > tracker.events()
}
