//! A validated request and its attempts at backend servers.

mod log;
mod wait;

use std::{sync::Arc, time::Duration};

use buffers::Charge;
use hyper::{HeaderMap, Method, Request, Uri};
use ingress::Payload;
use rollout::counts;
use scheduling::rank;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use units::{
    backend, pool,
    request::Fingerprint,
    time::{Instant, Millis},
    workspace,
};
use verdict::{Code, Refusal, Verdict};

pub use wait::{Held, Running, Waited};

use super::Context;
use crate::{
    attempt::{self, End, Response},
    connector::Path,
    dispatch::{self, AcquireRequest, Message, Permit},
    origins,
    pool::{Demand, Denial, Outcome, Placement},
    protocol::{Attempt, Head, Protocol},
    route::{KeyOwner, Route},
    shutdown::Phase,
    silence::{self, Silence},
};

/// The number of failed connection attempts after which a request is refused.
const MAX_FAILED_CONNECTS: u32 = 4;
/// The number of servers whose slots are waited for before a request is refused.
const MAX_WAITS: u32 = 2;
/// The queue timeout, as a multiple of the route's target time to first byte.
const QUEUE_TIMEOUT_TARGETS: u32 = 2;
/// The lower bound of the queue timeout.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(200);
/// The retry delay given to a caller when all servers are full: about the duration of a
/// short response.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(150);
/// The retry delay given to a caller when no server is available: about the time in which
/// the entry of a server returns.
const RETRY_AFTER_NO_SERVER: Duration = Duration::from_millis(400);
/// The retry delay given to a caller when neither this router nor another one that it knows
/// reaches a server: the caller's next attempt may get to a router that does.
const RETRY_AFTER_NO_PATH: Duration = Duration::from_millis(100);
/// The retry delay given to a caller whose prompt holds parts that crash servers: an operator has
/// to lift the refusal.
const RETRY_AFTER_QUARANTINED: Duration = Duration::from_secs(600);
/// The minimum time before the deadline for an attempt to be worthwhile.
const MIN_REMAINING: Duration = Duration::from_millis(5);
/// The least time without a response head after which a request may leave its server.
const MIN_SILENCE: Duration = Duration::from_millis(400);

/// A request that has passed validation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The head of the caller's request.
    pub head: Head,
    /// When the request arrived.
    pub arrived: Instant,
    /// The deadline of the response, from the route's timeout and the caller's.
    pub deadline: Instant,
    /// When the caller stops waiting.
    pub caller_deadline: Option<Instant>,
    /// The version of the configuration that the request was validated against.
    pub version: u64,
    /// The matched route.
    pub route: Arc<Route>,
    /// The owner of the caller's API key.
    pub key_owner: Option<Arc<KeyOwner>>,
    /// The service that processes the request.
    pub pool: pool::Id,
    /// Whether the service is an engine.
    pub is_engine: bool,
    /// The path at which servers of the service tell about themselves.
    pub health_path: String,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The request body, with its share of the memory for bodies.
    pub body: Payload,
    /// The key of the stream, if it can be taken up.
    pub stream: Option<origins::Key>,
    /// The body's share of the budget of held bytes.
    pub _held: Option<Arc<Charge>>,
    /// The fingerprint that the request shares with its retries by the caller.
    pub fingerprint: Fingerprint,
    /// The input to placement, including the servers that were already tried.
    pub demand: Demand,
}

/// A request and the state of its attempts.
#[derive(Debug)]
pub struct Exchange<P> {
    context: Arc<Context<P>>,
    plan: Plan,
    verdict: Verdict,
    sent_attempts: u32,
    failed_connects: u32,
    /// Servers to which this router could not connect itself.
    unreached: SmallVec<[backend::Server; 2]>,
    /// A failure response, forwarded to the caller if no other server responds.
    failure: Option<Box<Response>>,
    stage: Stage,
    /// Keeps the record of the stream alive while it is forwarded.
    lease: Option<Arc<origins::Lease>>,
}

/// How far the response to the caller has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The caller has received nothing.
    Pending,
    /// A response has begun, or the request was refused.
    Responded,
}

/// What to do after an attempt.
enum Step {
    Done(Box<Response>),
    Retry,
    Refuse(Refusal),
}

impl<P> Exchange<P> {
    /// Creates the state of a request that has not been sent to any server.
    pub fn new(context: Arc<Context<P>>, plan: Plan) -> Self {
        Self {
            context,
            plan,
            verdict: Verdict::NotRun,
            sent_attempts: 0,
            failed_connects: 0,
            unreached: SmallVec::new(),
            failure: None,
            stage: Stage::Pending,
            lease: None,
        }
    }

    /// The validated request.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The state that all requests share.
    pub fn context(&self) -> &Context<P> {
        &self.context
    }

    /// The number of attempts that were sent to a server.
    pub fn sent_attempts(&self) -> u32 {
        self.sent_attempts
    }

    /// The workspace to which the request is charged.
    pub fn workspace(&self) -> workspace::Id {
        match &self.plan.key_owner {
            Some(key_owner) => key_owner.workspace.clone(),
            None => self.context.anonymous.clone(),
        }
    }
}

impl<P: Protocol> Exchange<P> {
    /// Whether the request may be retried after a server may have run it.
    pub fn may_retry(&self) -> bool {
        self.plan.route.kind.is_idempotent() && self.sent_attempts < self.plan.route.max_attempts
    }

    /// Records that the first event of a response is forwarded to the caller. From now on, only
    /// `version` can continue the stream.
    pub fn begin(&mut self, version: &backend::Version) {
        let version = self.plan.demand.version.get_or_insert(version.clone());
        if let Some(key) = self.plan.stream {
            let record = origins::Record {
                key,
                version: version.clone(),
            };
            let lease = self.lease.get_or_insert_with(|| Arc::new(origins::Lease));
            let pool = self.plan.pool.clone();
            let began = origins::Message::Began(pool, record, Arc::downgrade(lease));
            // The task lives as long as the process.
            drop(self.context.origins.send(began));
        }
    }

    /// Sends attempts until a server responds or no further attempt is possible. The first one may
    /// be under way already.
    ///
    /// # Errors
    ///
    /// The refusal for the caller. Its verdict is "not run" only if no server may have run
    /// the request.
    pub async fn respond(
        &mut self,
        running: Option<Box<Running>>,
        last_event_id: Option<&str>,
    ) -> Result<Box<Response>, Refusal> {
        let result = self.run_attempts(running, last_event_id).await;
        self.stage = Stage::Responded;
        // It would keep its connection open for as long as the response lasts.
        self.failure = None;
        result
    }

    async fn run_attempts(
        &mut self,
        mut running: Option<Box<Running>>,
        last_event_id: Option<&str>,
    ) -> Result<Box<Response>, Refusal> {
        loop {
            let (placement, waited) = match running.take() {
                Some(mut attempt) => {
                    let placement = attempt.placement.clone();
                    let end = attempt.end();
                    let waited = self.wait_at(&placement, end, last_event_id).await;
                    (placement, waited)
                }
                None => {
                    let permit = match self.acquire(&[]).await {
                        Ok(permit) => permit,
                        Err(refusal) => return self.failure.take().ok_or(refusal),
                    };
                    let placement = permit.placement().clone();
                    let attempt = self.attempt(permit, last_event_id);
                    let waited = self.wait_at(&placement, attempt, last_event_id).await;
                    (placement, waited)
                }
            };
            let end = match waited {
                Waited::Received(end) => end,
                Waited::Replaced(response, _) => {
                    self.settle(placement, &End::TimedOut);
                    return Ok(response);
                }
                Waited::Left(attempt, end, _) => {
                    self.settle(placement, &end.unwrap_or(End::TimedOut));
                    running = Some(attempt);
                    continue;
                }
            };
            self.settle(placement, &end);
            match self.next_step(end).await {
                Step::Done(response) => return Ok(response),
                Step::Retry => {}
                Step::Refuse(refusal) => return self.failure.take().ok_or(refusal),
            }
        }
    }

    /// Waits for the response head of an attempt.
    async fn wait_at(
        &mut self,
        placement: &Placement,
        attempt: impl Future<Output = End>,
        last_event_id: Option<&str>,
    ) -> Waited<End> {
        let now = self.context.clock.now();
        let held = Held {
            placement,
            silence: Silence {
                since: now,
                due_at: now,
                leave_at: silence::leave_at(now, self.plan.route.target, MIN_SILENCE),
            },
            is_settled: false,
            last_event_id,
        };
        let is_usable = |response: &Response| !response.is_failure;
        let goes_on = |end: &End| matches!(end, End::Responded(response) if is_usable(response));
        self.wait(attempt, &held, goes_on, is_usable).await
    }

    /// Records the end of an attempt.
    fn settle(&mut self, placement: Placement, end: &End) {
        self.log_attempt(&placement, end);
        if end.is_sent() {
            self.sent_attempts += 1;
        }
        if end.may_have_run() {
            self.verdict = Verdict::MayHaveRun;
        }
        match (end, &placement.path) {
            (End::NoPath(_), _) => {}
            (End::Unsent(_), Path::Direct) => self.unreached.push(placement.server),
            _ => self.plan.demand.tried.push(placement.server),
        }
    }

    /// Sends the request to the server of `permit`.
    fn attempt(
        &self,
        permit: Permit,
        last_event_id: Option<&str>,
    ) -> impl Future<Output = End> + Send + use<P> {
        let request = self.request(permit.placement(), last_event_id);
        let context = Arc::clone(&self.context);
        let call = attempt::Call {
            id: self.plan.head.id.clone(),
            identity_path: self.identity_path(),
        };
        let deadline = self.plan.deadline;
        async move {
            let (connector, clock) = (&context.connector, context.clock);
            let metrics = &context.metrics;
            attempt::run(connector, permit, request, &call, clock, deadline, metrics).await
        }
    }

    /// Where a server tells which process it is, if only one version may serve the request.
    fn identity_path(&self) -> Option<String> {
        let is_bound = self.plan.is_engine && self.plan.demand.version.is_some();
        is_bound.then(|| self.plan.health_path.clone())
    }

    /// The request as it is sent to the server of `placement`.
    fn request(
        &self,
        placement: &Placement,
        last_event_id: Option<&str>,
    ) -> Request<ingress::Body> {
        let remaining = self.plan.deadline.since(self.context.clock.now());
        let attempt = Attempt {
            server: &placement.server,
            remaining: Millis::from(remaining),
            workspace: self
                .plan
                .key_owner
                .as_ref()
                .map(|key_owner| &key_owner.workspace),
            rank: self.rank_at(placement),
            last_event_id: last_event_id.or(self.plan.head.last_event_id.as_deref()),
            source: placement.source,
            is_engine: self.plan.is_engine,
        };
        let mut headers = self.plan.headers.clone();
        self.context
            .connector
            .protocol
            .compose(&mut headers, &attempt);
        let mut request = Request::new(self.plan.body.body());
        *request.method_mut() = self.plan.method.clone();
        *request.uri_mut() = self.plan.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// The rank that the server of `placement` is told.
    fn rank_at(&self, placement: &Placement) -> u8 {
        if placement.is_scheduled {
            rank::combine(self.rank(), self.plan.route.rank)
        } else {
            self.rank()
        }
    }

    fn rank(&self) -> u8 {
        let override_rank = self
            .plan
            .key_owner
            .as_ref()
            .and_then(|key_owner| key_owner.rank);
        override_rank.unwrap_or(self.plan.route.rank)
    }

    /// Acquires a slot at a server, queueing for it if necessary. The request is still at some of the
    /// servers that are `excluded`.
    async fn acquire(&self, excluded: &[backend::Server]) -> Result<Permit, Refusal> {
        let now = self.context.clock.now();
        if now + MIN_REMAINING >= self.plan.deadline {
            return Err(self.refusal(Code::Deadline, "The time was up."));
        }
        let mut demand = self.plan.demand.clone();
        demand.tried.extend(excluded.iter().cloned());
        let request = AcquireRequest {
            pool: self.plan.pool.clone(),
            route: counts::Route::named(&self.plan.route.name),
            workspace: self.workspace(),
            cost: self.plan.head.cost,
            // A stream that has begun precedes new ones: only servers of its version can go on.
            rank: match self.plan.demand.version {
                Some(_) => 0,
                None => self.rank(),
            },
            latest_start: self.latest_start(now),
            demand,
            unreached: self.unreached.clone(),
            is_retry: self.sent_attempts > 0 || !excluded.is_empty(),
            fingerprint: self.plan.fingerprint,
        };
        let (reply, response) = oneshot::channel();
        let sent = self.context.dispatch.send(Message::Acquire(request, reply));
        let response = tokio::select! {
            response = response => response,
            () = self.ending() => {
                let refusal = self.refusal(Code::NotReady, "This router is shutting down.");
                return Err(refusal.retry_at(self.context.clock.now()));
            }
        };
        let waited = self.context.clock.now().since(now);
        self.context.metrics.queue_wait(waited);
        match (sent, response) {
            (Ok(()), Ok(Ok(permit))) => Ok(permit),
            (Ok(()), Ok(Err(refusal))) => Err(self.refusal_for(refusal)),
            _ => Err(self.refusal(Code::Internal, "The router is ending.")),
        }
    }

    /// Waits until the process is about to end. A response that has begun goes on to the last.
    async fn ending(&self) {
        if self.stage == Stage::Responded {
            std::future::pending::<()>().await;
        }
        Phase::reached(&mut self.context.phase.clone(), Phase::Ending).await;
    }

    /// The latest instant until which the request may be queued.
    ///
    /// A response that takes several times the route's target is of little use, and a
    /// refusal must leave the caller time to retry.
    fn latest_start(&self, now: Instant) -> Instant {
        let targets = self.plan.route.target.duration() * QUEUE_TIMEOUT_TARGETS;
        let half_remaining = self.plan.deadline.since(now) / 2;
        now + half_remaining.min(targets.max(MIN_QUEUE_TIMEOUT))
    }

    fn refusal_for(&self, refusal: dispatch::Refusal) -> Refusal {
        let now = self.context.clock.now();
        match refusal {
            dispatch::Refusal::RetryBudget => self
                .refusal(Code::RetryBudget, "The repeats of the service are used up.")
                .retry_at(now + RETRY_AFTER_FULL),
            dispatch::Refusal::Suspect => {
                self.refusal(Code::Suspect, "Servers died while they ran this request.")
            }
            dispatch::Refusal::Quarantined => self
                .refusal(
                    Code::Quarantined,
                    "Servers crashed under a part of this prompt.",
                )
                .retry_at(now + RETRY_AFTER_QUARANTINED),
            dispatch::Refusal::NoPath(retry_at) => self
                .refusal(Code::NoServer, "This router reaches no server.")
                .retry_at(retry_at.max(now + RETRY_AFTER_NO_PATH)),
            dispatch::Refusal::Unknown => self
                .refusal(Code::NoServer, "No server of the service is known.")
                .retry_at(now + RETRY_AFTER_NO_SERVER),
            dispatch::Refusal::Denied(refusal) => {
                let (code, message) = match refusal.denial {
                    Denial::NoServer => (Code::NoServer, "No server takes the request."),
                    Denial::VersionGone => (
                        Code::VersionGone,
                        "No server of the version that began the stream is left.",
                    ),
                    Denial::ZonesUnreachable(_) => (Code::NoServer, "No server can be reached."),
                    Denial::Full => (Code::Busy, "All servers are at their limit."),
                    Denial::Throttled(_) => (Code::Busy, "All servers have asked for a pause."),
                    Denial::SlowStart(_) => (Code::Cold, "All servers with room are starting."),
                    Denial::Reading(_) => (Code::Busy, "All servers are reading long prompts."),
                    Denial::Oversized(oversize) => return self.refuse_oversized(oversize),
                };
                self.refusal(code, message).retry_at(refusal.retry_at)
            }
        }
    }

    /// Creates a refusal whose verdict states whether the request may have run.
    fn refusal(&self, code: Code, message: &str) -> Refusal {
        match self.verdict {
            Verdict::NotRun => Refusal::not_run(code, message),
            Verdict::MayHaveRun => Refusal::may_have_run(code, message),
        }
    }

    async fn next_step(&mut self, end: End) -> Step {
        match end {
            End::Unsent(_) | End::NoPath(_) => self.after_connect_failure(),
            End::Withdrawn => Step::Retry,
            End::NoSlot => self.after_no_slot(),
            End::Responded(response) => self.after_response(response),
            End::Full => self.after_rejection("The server is full.").await,
            End::Moved => self.after_rejection("The server has left.").await,
            End::Broken(_) => self.after_failure(Code::BackendDied, "The server broke off."),
            End::TimedOut => {
                self.after_failure(Code::Deadline, "The server did not answer in time.")
            }
        }
    }

    fn after_connect_failure(&mut self) -> Step {
        self.failed_connects += 1;
        if self.failed_connects < MAX_FAILED_CONNECTS {
            return Step::Retry;
        }
        let now = self.context.clock.now();
        let refusal = self.refusal(Code::NoServer, "No server could be reached.");
        Step::Refuse(refusal.retry_at(now + RETRY_AFTER_NO_SERVER))
    }

    fn after_no_slot(&mut self) -> Step {
        self.failed_connects += 1;
        if self.failed_connects < MAX_WAITS {
            return Step::Retry;
        }
        let now = self.context.clock.now();
        let refusal = self.refusal(Code::Busy, "All slots are in use.");
        Step::Refuse(refusal.retry_at(now + RETRY_AFTER_FULL))
    }

    fn after_response(&mut self, mut response: Box<Response>) -> Step {
        if response.is_failure && self.may_retry() {
            // If the permit were kept with the response, the slot would count as occupied
            // while another server works, and the attempt as cancelled in the end.
            if let Some(permit) = response.permit.take() {
                permit.end(Outcome::Failed);
            }
            self.failure = Some(response);
            return Step::Retry;
        }
        Step::Done(response)
    }

    async fn after_rejection(&mut self, message: &str) -> Step {
        if self.sent_attempts < self.plan.route.max_attempts {
            return Step::Retry;
        }
        let now = self.context.clock.now();
        let throttled_until = self.throttled_until().await.unwrap_or(Instant::ZERO);
        let refusal = self.refusal(Code::Busy, message);
        Step::Refuse(refusal.retry_at(throttled_until.max(now + RETRY_AFTER_FULL)))
    }

    /// When the first server of the service may receive requests again, if all have asked
    /// for a pause.
    async fn throttled_until(&self) -> Option<Instant> {
        let (reply, response) = oneshot::channel();
        let message = Message::ThrottledUntil(self.plan.pool.clone(), reply);
        // The dispatch task runs as long as the process.
        drop(self.context.dispatch.send(message));
        response.await.ok().flatten()
    }

    fn after_failure(&self, code: Code, message: &str) -> Step {
        if self.may_retry() {
            return Step::Retry;
        }
        Step::Refuse(self.refusal(code, message))
    }
}

impl<P> Drop for Exchange<P> {
    /// Logs requests whose caller disconnected before a response began.
    ///
    /// The task that serves the request is dropped then, so no other code would log it.
    fn drop(&mut self) {
        if self.stage == Stage::Pending {
            self.log_abandoned();
        }
    }
}
