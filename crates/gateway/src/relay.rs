//! Forwards the body of a response from a backend server to the caller.

mod error;
mod events;
mod excess;
mod failure;
mod progress;
mod receive;

use std::time::Duration;

use bytes::Bytes;
use framing::{Delimiter, Format, Tracker};
use futures_util::{Stream, stream};
use hyper::{Method, body::Frame};
use tokio::task;
use units::{cost::Cost, time::Instant};
use verdict::Code;

pub use error::Error;
pub use events::Splitter;
pub use excess::{Excess, Limit};
pub use progress::Progress;

use failure::Failure;
use receive::Next;

use crate::{
    activity::Guard,
    attempt::Response,
    connection::Body,
    connector::Path,
    cutoff::Cutoff,
    dispatch::Permit,
    parts,
    pool::Outcome,
    protocol::Protocol,
    read_ahead::MAX_READ,
    route::Kind,
    serve::{Exchange, Running},
    silence,
};

/// The least time without a byte after which a resumable stream may leave its server.
const MIN_SILENCE: Duration = Duration::from_millis(900);

#[derive(Debug)]
struct Relay<P> {
    exchange: Exchange<P>,
    /// The rest of the response body; `None` while the stream moves to another server.
    body: Option<Body>,
    permit: Option<Permit>,
    /// Decides whether the body is complete.
    tracker: Tracker,
    progress: Progress,
    /// How much the server may write without an end in sight.
    limit: Limit,
    /// Holds the events of a resumable stream back until they are complete.
    splitter: Option<Splitter>,
    cutoff: Cutoff,
    first_byte_at: Option<Instant>,
    last_byte_at: Option<Instant>,
    longest_gap: Duration,
    /// The longest time without progress in which the server was not watched.
    usual_gap: Duration,
    status: u16,
    is_failure: bool,
    /// Whether a part of the body was forwarded.
    is_begun: bool,
    is_finished: bool,
    _guard: Guard,
}

/// Streams the body of a response whose head has been forwarded.
pub fn stream<P: Protocol>(
    exchange: Exchange<P>,
    response: Box<Response>,
    guard: Guard,
) -> impl Stream<Item = Result<Frame<Bytes>, Error>> + Send {
    let head = &response.head;
    let mut tracker = Tracker::new(&exchange.plan().method, head.status, &head.headers);
    let kind = exchange.plan().route.kind;
    if matches!(kind, Kind::Stream | Kind::Resumable) && head.status.is_success() {
        tracker = tracker.expecting_events();
    }
    if exchange.plan().head.last_event_id.is_some() {
        tracker = tracker.or_empty();
    }
    let is_resumable = kind == Kind::Resumable
        && response.head.status.is_success()
        && tracker.format() == Format::EventStream
        && !matches!(tracker.delimiter(), Delimiter::Length(_));
    let context = exchange.context();
    response.body.set_max_read(MAX_READ);
    let mut relay = Relay {
        progress: Progress::new(&tracker, context.clock.now()),
        limit: Limit::new(head.status, context.max_event_bytes),
        tracker,
        status: response.head.status.as_u16(),
        is_failure: response.is_failure,
        body: Some(response.body),
        permit: response.permit,
        splitter: is_resumable.then(Splitter::default),
        cutoff: Cutoff::new(exchange.plan().deadline),
        first_byte_at: None,
        last_byte_at: None,
        longest_gap: Duration::ZERO,
        usual_gap: Duration::ZERO,
        is_begun: false,
        is_finished: false,
        exchange,
        _guard: guard,
    };
    relay.finish_if_complete();
    stream::unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item, relay))
    })
}

impl<P: Protocol> Relay<P> {
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Error>> {
        if self.is_finished {
            return None;
        }
        loop {
            let (failure, running) = match self.receive().await {
                Next::Data(bytes) => match self.forward(bytes) {
                    Some(bytes) => {
                        self.finish_if_complete();
                        return Some(Ok(Frame::data(bytes)));
                    }
                    None => continue,
                },
                Next::End => match self.tracker.end() {
                    Ok(()) => {
                        self.finish(Outcome::Completed, "complete");
                        return None;
                    }
                    Err(truncation) => (Failure::Broken(truncation.to_string()), None),
                },
                Next::TimedOut => {
                    self.finish(Outcome::Cancelled, "late");
                    return Some(Err(broken_off(Error::Deadline).await));
                }
                Next::Replaced(response, cause) => {
                    self.leave(&Failure::Silent(cause));
                    self.go_on_with(response);
                    continue;
                }
                Next::Left(running, failure) => (failure, Some(running)),
                Next::Broken(reason) => (Failure::Broken(reason), None),
                Next::Endless(excess) => {
                    self.log_excess(excess);
                    (Failure::Endless(excess), None)
                }
            };
            if let Err(reason) = self.resume(&failure, running).await {
                let ending = reason.map_or_else(|| failure.to_string(), String::from);
                self.finish(failure.ending_outcome(), &ending);
                return Some(Err(broken_off(Error::Server).await));
            }
        }
    }

    /// Records received bytes and returns those that can be forwarded now.
    fn forward(&mut self, bytes: Bytes) -> Option<Bytes> {
        if bytes.is_empty() {
            return None;
        }
        let now = self.exchange.context().clock.now();
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_byte_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.since(last));
        }
        if let Some(permit) = &mut self.permit {
            permit.received(now);
        }
        let boundary = self.tracker.record(&bytes);
        if self.tracker.is_coded_stream() {
            return None;
        }
        let silent_since = self.progress.silent_since();
        if self.progress.receive(&self.tracker, now) {
            self.record_gap(silent_since, now);
        }
        let forwarded = match &mut self.splitter {
            Some(splitter) => {
                let protocol = &self.exchange.context().connector.protocol;
                let complete = splitter.push(&bytes, boundary, |line| {
                    protocol.event_id(line).map(String::from)
                });
                self.release_long_event(complete)
            }
            None => bytes.slice(..self.tracker.forwardable(bytes.len(), boundary)),
        };
        if forwarded.is_empty() {
            return None;
        }
        self.begin();
        Some(forwarded)
    }

    /// Records the time without progress before `now`, unless the server was watched in it.
    fn record_gap(&mut self, silent_since: Instant, now: Instant) {
        let target = self.exchange.plan().route.target;
        if now < silence::leave_at(silent_since, target, MIN_SILENCE) {
            self.usual_gap = self.usual_gap.max(now.since(silent_since));
        }
    }

    /// Records the version of a response of which a part is forwarded for the first time.
    fn begin(&mut self) {
        if self.is_begun || self.is_failure {
            return;
        }
        if let Some(permit) = &self.permit {
            self.exchange.begin(&permit.placement().version);
            self.is_begun = true;
        }
    }

    /// Stops holding events back if the buffered one is too long. Returns what can be forwarded
    /// now, after `complete` events.
    fn release_long_event(&mut self, complete: Bytes) -> Bytes {
        let context = self.exchange.context();
        let is_too_long = |splitter: &mut Splitter| splitter.buffered() > context.max_event_bytes;
        let Some(splitter) = self.splitter.take_if(is_too_long) else {
            return complete;
        };
        logging::event!(
            info,
            "event_too_long",
            request = self.exchange.plan().head.id,
            bytes = splitter.buffered(),
            most = context.max_event_bytes
        );
        let partial = splitter.into_partial();
        if complete.is_empty() {
            return partial;
        }
        Bytes::from([complete, partial].concat())
    }

    /// Finishes at the last byte of a response whose length is known, or immediately if the
    /// body is empty.
    ///
    /// The HTTP library does not poll the stream after the last byte, so its end would not
    /// be observed: the attempt would count as cancelled and the request would not be
    /// logged correctly, whether or not the server failed it.
    fn finish_if_complete(&mut self) {
        if self.tracker.is_exhausted() && self.tracker.end().is_ok() {
            self.finish(Outcome::Completed, "complete");
        }
    }

    /// Whether another server may continue the stream.
    fn can_resume(&self) -> bool {
        let events = self.tracker.events();
        let splitter = self.splitter.as_ref();
        let can_continue = splitter.is_some_and(|splitter| splitter.can_continue(events));
        can_continue && self.exchange.may_retry()
    }

    /// Continues the stream at another server, after the last complete event. It may be under way
    /// there already.
    ///
    /// The connection to the first server is closed first, so that it stops generating.
    ///
    /// # Errors
    ///
    /// If the stream ends here: why no server continues it, unless that follows from what is
    /// known of the stream or of the server that left it.
    async fn resume(
        &mut self,
        failure: &Failure,
        running: Option<Box<Running>>,
    ) -> Result<(), Option<&'static str>> {
        if !self.can_resume() {
            return Err(None);
        }
        let last_id = self.leave(failure);
        match self.exchange.respond(running, last_id.as_deref()).await {
            Ok(response) => self.go_on_with(response).then_some(()).ok_or(None),
            Err(refusal) => {
                logging::event!(
                    info,
                    "stream_not_resumed",
                    request = self.exchange.plan().head.id,
                    code = refusal.code,
                    reason = refusal.message
                );
                Err((refusal.code == Code::VersionGone).then_some("version_gone"))
            }
        }
    }

    /// Closes the connection to the server and frees its slot. Returns the id of the last complete
    /// event.
    fn leave(&mut self, failure: &Failure) -> Option<String> {
        let last_id = self.splitter.as_mut().and_then(Splitter::reset);
        // Dropping the body closes the connection.
        self.body = None;
        let now = self.exchange.context().clock.now();
        let last_byte_at = self.last_byte_at.unwrap_or(now);
        if let Some(permit) = self.permit.take() {
            logging::event!(
                info,
                "stream_resumed",
                request = self.exchange.plan().head.id,
                silent_ms = now.since(last_byte_at).as_millis(),
                server = permit.placement().server,
                version = permit.placement().version,
                after = last_id.as_deref().unwrap_or("none"),
                reason = failure
            );
            permit.end(failure.outcome());
        }
        last_id
    }

    /// Continues the stream with the response of another server. Returns whether it is one.
    fn go_on_with(&mut self, response: Box<Response>) -> bool {
        let method = &self.exchange.plan().method;
        let Some(tracker) = continued(&self.tracker, method, &response) else {
            return false;
        };
        self.progress = Progress::new(&tracker, self.exchange.context().clock.now());
        self.tracker = tracker;
        response.body.set_max_read(MAX_READ);
        self.body = Some(response.body);
        self.permit = response.permit;
        self.log_continuation();
        true
    }
}

/// The tracker of a stream that `response` continues, if it does.
fn continued(tracker: &Tracker, method: &Method, response: &Response) -> Option<Tracker> {
    let head = &response.head;
    let tracker = tracker.resumed(method, head.status, &head.headers);
    let is_continuation = head.status.is_success() && tracker.format() == Format::EventStream;
    is_continuation.then_some(tracker)
}

/// Lets the HTTP library write what it has of a response that breaks off: with the error it drops
/// what it has not written, the head included.
async fn broken_off(error: Error) -> Error {
    task::yield_now().await;
    error
}

impl<P> Relay<P> {
    /// Logs that a response has no end in sight.
    fn log_excess(&self, excess: Excess) {
        let placement = self.permit.as_ref().map(Permit::placement);
        logging::event!(
            info,
            "response_without_end",
            request = self.exchange.plan().head.id,
            server = placement.map_or("none", |placement| placement.server.as_str()),
            what = excess,
            received = self.tracker.received(),
            unfinished = self.tracker.unfinished()
        );
    }

    /// Logs the server that continues the stream.
    fn log_continuation(&self) {
        let Some(placement) = self.permit.as_ref().map(Permit::placement) else {
            return;
        };
        logging::event!(
            info,
            "stream_continued",
            request = self.exchange.plan().head.id,
            server = placement.server,
            version = placement.version
        );
    }

    fn finish(&mut self, outcome: Outcome, ending: &str) {
        self.is_finished = true;
        let context = self.exchange.context();
        let now = context.clock.now();
        let plan = self.exchange.plan();
        let waited = self.first_byte_at.unwrap_or(now).since(plan.arrived);
        let placement = self.permit.as_ref().map(Permit::placement);
        logging::event!(
            info,
            "request_done",
            request = plan.head.id,
            route = plan.route.name,
            kind = plan.route.kind,
            pool = plan.pool,
            workspace = self.exchange.workspace(),
            parts = parts::List(&self.exchange.shared_parts()),
            resumes = plan.head.resumes.as_deref().unwrap_or("none"),
            after = plan.head.last_event_id.as_deref().unwrap_or("none"),
            server = placement.map_or("none", |placement| placement.server.as_str()),
            version = placement.map_or("none", |placement| placement.version.as_str()),
            zone = placement.map_or("none", |placement| placement.zone.as_str()),
            path = placement.map_or(&Path::Direct, |placement| &placement.path),
            load = placement.map_or(0, |placement| placement.load),
            bound = format!("{:.1}", placement.map_or(0.0, |placement| placement.bound)),
            unread = placement.map_or(Cost(0), |placement| placement.uncached),
            copied = placement.is_some_and(|placement| placement.source.is_some()),
            status = self.status,
            delimiter = self.tracker.delimiter(),
            format = self.tracker.format(),
            inside_event = self.tracker.is_inside_event(),
            received = self.tracker.received(),
            unfinished = self.tracker.unfinished(),
            ending = ending,
            sends = self.exchange.sent_attempts(),
            first_ms = waited.as_millis(),
            total_ms = now.since(plan.arrived).as_millis(),
            gap_ms = self.longest_gap.as_millis(),
            servers_age_ms = context.ages.servers(now).as_millis(),
            config = plan.version
        );
        context.metrics.first_byte(waited);
        context.metrics.longest_gap(self.longest_gap);
        context.metrics.response_ended(&self.tracker, outcome);
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
    /// Logs responses whose caller disconnected before the end.
    ///
    /// The stream is not polled any more then. Without this, the request would not be
    /// logged, and a caller that disconnected could not be told from a lost request.
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish(Outcome::Cancelled, "caller left");
        }
    }
}
