//! A request's way from its caller to backend servers and back.

mod exchange;
mod intake;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use http_body_util::{Either, Full, StreamBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    header,
};
use tokio::{
    sync::{Semaphore, mpsc, watch},
    time,
};
use units::{time::Instant, workspace};
use verdict::{Code, Refusal};

pub use exchange::Exchange;
pub use intake::BODY_UNIT;

use crate::{
    activity, ages::Ages, clock::Clock, dispatch, metrics::Metrics, protocol::Protocol,
    readiness::Readiness, refusal, relay, route::Table, shutdown::Phase,
};

/// What all requests share.
#[derive(Debug)]
pub struct Context<P> {
    /// How callers and servers speak.
    pub protocol: P,
    /// The process's clock.
    pub clock: Clock,
    /// The configuration in force, once there is one.
    pub table: watch::Receiver<Option<Arc<Table>>>,
    /// The task that chooses servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// How far the process has come in its life.
    pub phase: watch::Receiver<Phase>,
    /// Who is charged for requests without a key.
    pub anonymous: workspace::Id,
    /// Memory for the bodies of requests, in units of [`BODY_UNIT`].
    pub body_memory: Arc<Semaphore>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// How old the views are that decide.
    pub ages: Arc<Ages>,
    /// Whether the router can serve.
    pub readiness: watch::Receiver<Readiness>,
    /// Until when requests wait for that at the start.
    pub start_deadline: Instant,
}

/// The body of an answer: a refusal's text, or a server's bytes.
pub type Body<S> = Either<Full<Bytes>, StreamBody<S>>;

/// Serves one request.
pub async fn serve<P: Protocol>(
    context: Arc<Context<P>>,
    request: Request<Incoming>,
    guard: activity::Guard,
) -> Response<Body<impl Stream<Item = Result<Frame<Bytes>, relay::Error>> + Send>> {
    let is_closing = *context.phase.borrow() > Phase::Serving;
    let started = context.clock.now();
    let mut response = match respond(&context, request).await {
        Ok((exchange, upstream)) => {
            let mut head = upstream.head.clone();
            crate::headers::strip(&mut head.headers);
            let stream = relay::stream(exchange, upstream, guard);
            Response::from_parts(head, Either::Right(StreamBody::new(stream)))
        }
        Err(refused) => {
            context.metrics.refused(&refused);
            let now = context.clock.now();
            let response = refusal::response(&context.protocol, &refused, now);
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

type Exchanged<P> = (Exchange<P>, Box<crate::attempt::Response>);

async fn respond<P: Protocol>(
    context: &Arc<Context<P>>,
    request: Request<Incoming>,
) -> Result<Exchanged<P>, Refusal> {
    let mut exchange = intake::accept(context, request).await?;
    match exchange.respond(None).await {
        Ok(upstream) => Ok((exchange, upstream)),
        Err(refusal) => {
            exchange.log_refusal(&refusal);
            Err(refusal)
        }
    }
}

/// How long requests that come right after the start wait for the configuration
/// and the servers: some calls to the store.
///
/// After a process was killed, its callers are there before what it has to know.
/// Refused, they would come back later than it takes to know it. A router that
/// knows nothing for longer refuses at once.
pub const START_TIMEOUT: Duration = Duration::from_millis(400);
/// When a caller may come back that met a router without configuration.
const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(200);

impl<P> Context<P> {
    /// Waits until the router can serve, or its start has taken too long.
    async fn wait_until_ready(&self) {
        if self.clock.now() >= self.start_deadline {
            return;
        }
        let mut readiness = self.readiness.clone();
        let ready = readiness.wait_for(|readiness| *readiness == Readiness::Ready);
        // If it takes too long the request is refused by what is missing.
        drop(time::timeout_at(self.clock.at(self.start_deadline), ready).await);
    }

    /// No configuration is known yet, so nothing can be said of a request.
    fn not_ready(&self) -> Refusal {
        let refusal = Refusal::not_run(Code::NotReady, "The router has no configuration yet.");
        refusal.retry_at(self.clock.now() + RETRY_AFTER_NOT_READY)
    }
}
