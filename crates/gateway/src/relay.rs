//! The bytes of an answer, from its server to its caller.

mod events;

use std::{error, fmt, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming},
    header,
};
use tokio::time;
use units::{cost::Cost, time::Instant};

pub use events::Splitter;

use crate::{
    activity::Busy, attempt::Answer, dispatch::Permit, pool::Outcome, protocol::Protocol,
    route::Kind, serve::Exchange,
};

/// A stream that can go on elsewhere does so after this many of its longest
/// pauses without a byte.
const SILENCE_PAUSES: u32 = 3;
/// The least such time.
const LEAST_SILENCE: Duration = Duration::from_millis(900);

/// The answer ends here without being whole.
///
/// The caller's connection is closed in the middle of the answer, so that what
/// it has got does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The server broke off.
    Server,
    /// The time was up.
    Deadline,
}

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Server => "the server broke off",
            Self::Deadline => "the time was up",
        })
    }
}

impl error::Error for Cut {}

/// What the server sent next.
enum Next {
    Data(Bytes),
    End,
    Broken(String),
    Silent,
    Late,
}

#[derive(Debug)]
struct Relay<P> {
    exchange: Exchange<P>,
    /// The rest of the answer; none while the stream is between two servers.
    body: Option<Incoming>,
    permit: Option<Permit>,
    /// Splits the events of a stream that another server can continue.
    splitter: Option<Splitter>,
    first_byte_at: Option<Instant>,
    last_byte_at: Option<Instant>,
    longest_gap: Duration,
    status: u16,
    is_failure: bool,
    is_over: bool,
    _busy: Busy,
}

/// The rest of an answer whose head has been passed on.
pub fn stream<P: Protocol>(
    exchange: Exchange<P>,
    answer: Box<Answer>,
    busy: Busy,
) -> impl Stream<Item = Result<Frame<Bytes>, Cut>> + Send {
    let is_events = exchange.plan().route.kind == Kind::Resumable
        && answer.head.status.is_success()
        && !answer.head.headers.contains_key(header::CONTENT_LENGTH);
    let mut relay = Relay {
        status: answer.head.status.as_u16(),
        is_failure: answer.is_failure,
        body: Some(answer.body),
        permit: answer.permit,
        splitter: is_events.then(Splitter::default),
        first_byte_at: None,
        last_byte_at: None,
        longest_gap: Duration::ZERO,
        is_over: false,
        exchange,
        _busy: busy,
    };
    relay.finish_if_whole();
    stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    })
}

impl<P: Protocol> Relay<P> {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Cut>> {
        if self.is_over {
            return None;
        }
        loop {
            let failure = match self.receive().await {
                Next::Data(bytes) => match self.pass(bytes) {
                    Some(bytes) => {
                        self.finish_if_whole();
                        return Some(Ok(Frame::data(bytes)));
                    }
                    None => continue,
                },
                Next::End if self.is_in_event() => String::from("ended inside an event"),
                Next::End => {
                    self.finish(Outcome::Completed, "complete");
                    return None;
                }
                Next::Late => {
                    self.finish(Outcome::Cancelled, "late");
                    return Some(Err(Cut::Deadline));
                }
                Next::Silent => String::from("silent"),
                Next::Broken(reason) => reason,
            };
            if !self.resume(&failure).await {
                self.finish(Outcome::Broken, &failure);
                return Some(Err(Cut::Server));
            }
        }
    }

    /// Waits for the server's next bytes, to the end of the request's time.
    async fn receive(&mut self) -> Next {
        let clock = self.exchange.context().clock;
        let plan = self.exchange.plan();
        let deadline = plan.deadline;
        let pause = plan.route.target.duration() * SILENCE_PAUSES;
        let silent_at = clock.now() + pause.max(LEAST_SILENCE);
        let can_resume = self.splitter.is_some() && self.exchange.may_repeat();
        let until = if can_resume {
            deadline.min(silent_at)
        } else {
            deadline
        };
        let Some(body) = &mut self.body else {
            return Next::End;
        };
        match time::timeout_at(clock.at(until), body.frame()).await {
            Err(_) if until < deadline => Next::Silent,
            Err(_) => Next::Late,
            Ok(None) => Next::End,
            Ok(Some(Err(error))) => Next::Broken(error.to_string()),
            Ok(Some(Ok(frame))) => Next::Data(frame.into_data().unwrap_or_default()),
        }
    }

    /// What of the bytes can be passed on now.
    fn pass(&mut self, bytes: Bytes) -> Option<Bytes> {
        if bytes.is_empty() {
            return None;
        }
        let now = self.exchange.context().clock.now();
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_byte_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        if let Some(permit) = &mut self.permit {
            permit.first_byte();
        }
        let Some(splitter) = &mut self.splitter else {
            return Some(bytes);
        };
        let protocol = &self.exchange.context().protocol;
        let whole = splitter.push(&bytes, |line| protocol.event(line).map(String::from));
        (!whole.is_empty()).then_some(whole)
    }

    /// Ends with the last byte of an answer whose length is known, or before any
    /// byte where there is none.
    ///
    /// The HTTP library asks for nothing after it, so the end would never be
    /// seen: the place would count as cancelled and the request would have no
    /// line in the log, whether its server failed it or not.
    fn finish_if_whole(&mut self) {
        let is_whole = self.body.as_ref().is_some_and(Body::is_end_stream);
        if is_whole && !self.is_in_event() {
            self.finish(Outcome::Completed, "complete");
        }
    }

    fn is_in_event(&self) -> bool {
        self.splitter.as_ref().is_some_and(Splitter::is_partial)
    }

    /// Continues the stream at another server, after the last whole event.
    ///
    /// The connection to the first server is closed before, so that it stops.
    async fn resume(&mut self, reason: &str) -> bool {
        if !self.exchange.may_repeat() {
            return false;
        }
        let Some(splitter) = &mut self.splitter else {
            return false;
        };
        let last = splitter.restart();
        // This closes the connection.
        self.body = None;
        if let Some(permit) = self.permit.take() {
            logging::event!(
                info,
                "stream_resumed",
                request = self.exchange.plan().head.id,
                server = permit.placement().server,
                after = last.as_deref().unwrap_or("none"),
                reason = reason
            );
            permit.end(Outcome::Broken);
        }
        let Ok(answer) = self.exchange.answer(last.as_deref()).await else {
            return false;
        };
        if !answer.head.status.is_success() {
            return false;
        }
        self.body = Some(answer.body);
        self.permit = answer.permit;
        true
    }
}

impl<P> Relay<P> {
    fn finish(&mut self, outcome: Outcome, ending: &str) {
        self.is_over = true;
        let context = self.exchange.context();
        let now = context.clock.now();
        let plan = self.exchange.plan();
        let waited = self.first_byte_at.unwrap_or(now).since(plan.arrived);
        let place = self.permit.as_ref().map(Permit::placement);
        logging::event!(
            info,
            "request_done",
            request = plan.head.id,
            route = plan.route.name,
            pool = plan.pool,
            workspace = self.exchange.workspace(),
            server = place.map_or("none", |place| place.server.as_str()),
            zone = place.map_or("none", |place| place.zone.as_str()),
            load = place.map_or(0, |place| place.load),
            bound = format!("{:.1}", place.map_or(0.0, |place| place.bound)),
            unread = place.map_or(Cost(0), |place| place.uncached),
            copied = place.is_some_and(|place| place.source.is_some()),
            status = self.status,
            ending = ending,
            sends = self.exchange.sends(),
            first_ms = waited.as_millis(),
            total_ms = now.since(plan.arrived).as_millis(),
            gap_ms = self.longest_gap.as_millis(),
            servers_age_ms = context.ages.servers(now).as_millis(),
            config = plan.version
        );
        context.metrics.first_byte(waited);
        context.metrics.longest_gap(self.longest_gap);
        let outcome = match outcome {
            Outcome::Completed if self.is_failure => Outcome::Failed,
            other => other,
        };
        if let Some(permit) = self.permit.take() {
            permit.end(outcome);
        }
    }
}

impl<P> Drop for Relay<P> {
    /// The caller left in the middle of the answer.
    ///
    /// Nobody asks for the rest then. Without this the request would have no line
    /// in the log, and nobody could tell a caller that left from a lost one.
    fn drop(&mut self) {
        if !self.is_over {
            self.finish(Outcome::Cancelled, "caller left");
        }
    }
}
