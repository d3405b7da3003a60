//! Serves requests of callers: validation, attempts at backend servers, and the response.

mod exchange;
mod intake;
mod origin;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    Request, Response, Version,
    body::{Frame, Incoming},
    header,
};
use ingress::Pool;
use tokio::{
    sync::{mpsc, watch},
    time,
};
use units::{time::Instant, workspace};
use verdict::{Code, Refusal};

pub use exchange::{Exchange, Held, Running, Waited};
pub use intake::UNREAD;
pub use origin::Finding;

use crate::{
    activity, check, clock::Clock, confirmation, connector::Connector, discard, dispatch, held,
    journal, metrics::Metrics, origins, protocol::Protocol, read_ahead, readiness::Readiness,
    refusal, relay, route::Table, shutdown::Phase, staleness::Staleness,
};

/// The state that all requests share.
#[derive(Debug)]
pub struct Context<P> {
    /// The protocol of callers and backend servers, and the connections to servers.
    pub connector: Connector<P>,
    /// The clock of the process.
    pub clock: Clock,
    /// The configuration in force; `None` until one is received.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// The task that selects backend servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// The task that checks silent servers.
    pub checks: mpsc::UnboundedSender<check::Check>,
    /// The shutdown phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// The workspace charged for requests without an API key.
    pub anonymous: workspace::Id,
    /// The memory for request bodies.
    pub body_memory: Pool,
    /// The memory for what is held for callers and servers that read slowly.
    pub held: Arc<held::Memory>,
    /// The most bytes that the kernel holds for a caller and has not sent yet. By itself it holds some
    /// megabytes that count toward no budget. What is under way to the caller comes on top, so that
    /// throughput does not depend on this.
    pub unsent: u32,
    /// The connections that are read on after a refusal.
    pub discards: discard::Room,
    /// The most bytes of an event that are held back.
    pub max_event_bytes: usize,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The ages of the replicated views.
    pub ages: Arc<Staleness>,
    /// The task that exchanges the versions that began streams with other routers.
    pub origins: mpsc::UnboundedSender<origins::Message>,
    /// The task that reads the journal.
    pub journal: mpsc::UnboundedSender<journal::Request>,
    /// The task that confirms the view of the servers.
    pub confirmations: mpsc::UnboundedSender<confirmation::Request>,
    /// The versions of each service that were seen.
    pub history: watch::Receiver<origins::History>,
    /// Whether the router can serve.
    pub readiness: watch::Receiver<Readiness>,
    /// Whether the stages of all roll-outs are known.
    pub stages_known: watch::Receiver<bool>,
    /// Until when requests wait for readiness after the start of the process.
    pub start_deadline: Instant,
}

/// A response that is read ahead of its caller.
pub type ReadAhead<S> = read_ahead::Body<S, relay::Error, activity::Guard>;

/// The body of a response: the text of a refusal, or the bytes of a server.
pub type Body<S> = Either<Full<Bytes>, Either<StreamBody<S>, ReadAhead<S>>>;

/// Serves one request.
pub async fn serve<P: Protocol>(
    context: Arc<Context<P>>,
    request: Request<Incoming>,
    guard: activity::Guard,
) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, relay::Error>> + Send>> {
    let mut is_closing = *context.phase.borrow() > Phase::Serving;
    let started = context.clock.now();
    let version = request.version();
    let mut response = match respond(&context, request, &guard).await {
        Ok((exchange, upstream)) => {
            let mut head = upstream.head.clone();
            crate::headers::strip(&mut head.headers);
            if version < Version::HTTP_11 && !head.headers.contains_key(header::CONTENT_LENGTH) {
                guard.end_with_connection();
            }
            guard.send_by(exchange.plan().deadline);
            let share = context.held.open();
            let id = exchange.plan().head.id.clone();
            let delivery = guard.share();
            let stream = Box::pin(relay::stream(exchange, upstream, guard));
            let body = match share {
                Some(share) => Either::Right(ReadAhead::new(id, stream, share, delivery)),
                None => Either::Left(StreamBody::new(stream)),
            };
            Response::from_parts(head, Either::Right(body))
        }
        Err(Rejected { refusal, unread }) => {
            context.metrics.refused(&refusal);
            let now = context.clock.now();
            let response = refusal::response(&context.connector.protocol, &refusal, now);
            is_closing |= unread.is_some_and(|unread| !unread.discard(&context, guard));
            response.map(|body| Either::Left(Full::new(body)))
        }
    };
    let waited = context.clock.now().since(started);
    context.metrics.response_started(response.status(), waited);
    if is_closing {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A refused request.
#[derive(Debug)]
struct Rejected {
    refusal: Refusal,
    /// What the caller still sends of it.
    unread: Option<discard::Unread>,
}

impl From<Refusal> for Rejected {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            unread: None,
        }
    }
}

type Exchanged<P> = (Exchange<P>, Box<crate::attempt::Response>);

async fn respond<P: Protocol>(
    context: &Arc<Context<P>>,
    request: Request<Incoming>,
    guard: &activity::Guard,
) -> Result<Exchanged<P>, Rejected> {
    let mut exchange = intake::accept(context, request, guard.allowance()).await?;
    // A request whose body is awaited takes no memory for its attempts.
    match Box::pin(exchange.respond(None, None)).await {
        Ok(upstream) => Ok((exchange, upstream)),
        Err(refusal) => {
            exchange.log_refusal(&refusal);
            Err(refusal.into())
        }
    }
}

/// How long requests that arrive right after the start wait for the configuration and the
/// servers: enough for a few store calls.
///
/// When a killed process restarts, callers reconnect before its state is loaded. A refused
/// caller would retry later than the state takes to load. A router that has no state after
/// this time refuses requests immediately.
pub const START_TIMEOUT: Duration = Duration::from_millis(400);
/// The retry delay given to a caller when the router has no configuration.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(200);

impl<P> Context<P> {
    /// Waits until the router is ready and knows the stages of roll-outs, or the start timeout
    /// has passed.
    async fn wait_until_ready(&self) {
        if self.clock.now() >= self.start_deadline {
            return;
        }
        let (mut readiness, mut stages_known) = (self.readiness.clone(), self.stages_known.clone());
        let ready = async {
            let is_ready = readiness.wait_for(|readiness| *readiness == Readiness::Ready);
            // The senders live as long as the process.
            drop(is_ready.await);
            // The servers of the version in service may be about to stop.
            drop(stages_known.wait_for(|are_known| *are_known).await);
        };
        // After a timeout, later checks refuse the request for whatever is missing.
        drop(time::timeout_at(self.clock.at(self.start_deadline), ready).await);
    }

    /// The most bytes of a body that the configuration allows.
    fn body_limit(&self) -> u64 {
        let table = self.table.borrow();
        table.as_ref().map_or(0, |table| table.limits.body_bytes)
    }

    /// Checks that the router still takes requests.
    ///
    /// # Errors
    ///
    /// The refusal of a request that came too late in the shutdown to be finished. It has not run, and
    /// its caller may come back at once: a new connection reaches another router.
    fn check_open(&self) -> Result<(), Refusal> {
        if *self.phase.borrow() < Phase::Closing {
            return Ok(());
        }
        let refusal = Refusal::not_run(Code::NotReady, "This router is shutting down.");
        Err(refusal.retry_at(self.clock.now()))
    }

    /// Creates the refusal of a request that arrived before any configuration.
    fn not_ready(&self) -> Refusal {
        let refusal = Refusal::not_run(Code::NotReady, "The router has no configuration yet.");
        refusal.retry_at(self.clock.now() + RETRY_AFTER_NOT_READY)
    }
}
