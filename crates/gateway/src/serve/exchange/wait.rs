//! Waits for a backend server, and sends the request to another one if it stays silent.

use std::{
    future,
    pin::{self, Pin},
    time::Duration,
};

use smallvec::SmallVec;
use tokio::{
    sync::oneshot,
    task::JoinSet,
    time::{sleep, timeout, timeout_at},
};
use units::backend;
use verdict::{Refusal, Verdict};

use super::Exchange;
use crate::{
    attempt::{End, Response},
    check::Check,
    dispatch::Permit,
    pool::{Outcome, Placement},
    protocol::Protocol,
    silence::{Cause, Health, MAX_OVERLAP, Overlap, Silence, Step, Watch},
};

/// The most servers whose slots are taken for one move of a request from a silent server.
const MAX_PLACES: usize = 3;
/// The time within which a server that works responds to a check.
const MAX_CHECK_DELAY: Duration = Duration::from_millis(100);
/// The interval between two checks of a server that has received the request as the second one.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The servers that a request must not be sent to.
pub(super) type Excluded = SmallVec<[backend::Server; MAX_PLACES + 1]>;

/// The server that a request is waiting for.
#[derive(Clone, Copy, Debug)]
pub struct Held<'a> {
    /// The server.
    pub placement: &'a Placement,
    /// Since when it has sent nothing, and until when it may.
    pub silence: Silence,
    /// Whether its response has begun, so that the attempt is counted already.
    pub is_settled: bool,
    /// The id of the event after which another server continues the stream.
    pub last_event_id: Option<&'a str>,
}

/// How the wait for a server ended.
#[derive(Debug)]
pub enum Waited<T> {
    /// The server has sent something.
    Received(T),
    /// Another server has responded. The connection to the first one is closed.
    Replaced(Box<Response>, Cause),
    /// The request is under way at another server. The connection to the first one is closed, or has
    /// ended with a failure.
    Left(Box<Running>, Option<T>, Cause),
}

/// An attempt that is under way, in a task that is aborted when this is dropped.
#[derive(Debug)]
pub struct Running {
    /// The server.
    pub(super) placement: Placement,
    task: JoinSet<End>,
}

impl Running {
    fn spawn(placement: Placement, attempt: impl Future<Output = End> + Send + 'static) -> Self {
        let mut task = JoinSet::new();
        task.spawn(attempt);
        Self { placement, task }
    }

    /// Waits for the end of the attempt.
    pub(super) async fn end(&mut self) -> End {
        match self.task.join_next().await {
            Some(Ok(end)) => end,
            Some(Err(error)) => End::Broken(error.to_string()),
            None => End::Broken(String::from("the attempt has ended before")),
        }
    }
}

impl<P: Protocol> Exchange<P> {
    /// Waits for `first`, which comes from the server of `held` and ends at the deadline of the
    /// request at the latest.
    ///
    /// If the server stays silent, the request is sent to another one. The first one is kept until
    /// that one has sent a response for which `is_usable`, or has itself sent something for which
    /// `goes_on`, so that nothing is lost if there is no place or the server only paused.
    pub async fn wait<T>(
        &mut self,
        first: impl Future<Output = T>,
        held: &Held<'_>,
        goes_on: impl Fn(&T) -> bool,
        is_usable: impl Fn(&Response) -> bool,
    ) -> Waited<T> {
        let mut first = pin::pin!(first);
        let clock = self.context.clock;
        let mut watch = Watch::new(held.silence, self.plan.deadline);
        while self.may_leave(held) {
            match watch.step(clock.now()) {
                Step::Wait(until) => {
                    if let Ok(received) = timeout_at(clock.at(until), &mut first).await {
                        return self.received(received, &watch);
                    }
                }
                Step::Check => tokio::select! {
                    biased;
                    received = &mut first => return self.received(received, &watch),
                    health = self.check(held.placement) => watch.checked(health, clock.now()),
                },
                Step::Leave(overlap) => {
                    let judges = (&goes_on, &is_usable);
                    let left = self.leave(first.as_mut(), held, &watch, overlap, judges);
                    if let Some(waited) = left.await {
                        return waited;
                    }
                    watch.stay(clock.now());
                }
            }
        }
        Waited::Received(first.await)
    }

    /// Whether another server may get the request while the one of `held` has it.
    fn may_leave(&self, held: &Held<'_>) -> bool {
        let counted = self.sent_attempts + u32::from(!held.is_settled);
        self.plan.route.kind.is_idempotent() && counted < self.plan.route.max_attempts
    }

    fn received<T>(&self, received: T, watch: &Watch) -> Waited<T> {
        if watch.has_checked() {
            self.context.metrics.silence_ended("went_on");
        }
        Waited::Received(received)
    }

    /// Sends the request to another server. Returns nothing if it stays at the first one.
    async fn leave<T>(
        &mut self,
        mut first: Pin<&mut impl Future<Output = T>>,
        held: &Held<'_>,
        watch: &Watch,
        overlap: Overlap,
        (goes_on, is_usable): (impl Fn(&T) -> bool, impl Fn(&Response) -> bool),
    ) -> Option<Waited<T>> {
        let mut permit = tokio::select! {
            biased;
            received = &mut first => return Some(self.received(received, watch)),
            permit = self.place_beside(held, watch) => permit?,
        };
        let is_sent = permit.signal_sent();
        let placement = permit.placement().clone();
        let attempt = self.attempt(permit, held.last_event_id);
        let mut running = Running::spawn(placement.clone(), attempt);
        let end = tokio::select! {
            biased;
            received = &mut first => {
                if goes_on(&received) {
                    self.withdraw(placement);
                    return Some(self.received(received, watch));
                }
                let running = Box::new(running);
                return Some(Waited::Left(running, Some(received), watch.cause()));
            }
            end = running.end() => end,
            () = self.overlap(&placement, is_sent, overlap) => {
                self.log_leaving(held, watch, &placement);
                return Some(Waited::Left(Box::new(running), None, watch.cause()));
            }
        };
        self.settle(placement.clone(), &end);
        match end {
            End::Responded(response) if is_usable(&response) => {
                self.log_leaving(held, watch, &placement);
                Some(Waited::Replaced(response, watch.cause()))
            }
            End::Responded(mut response) => {
                if let Some(permit) = response.permit.take() {
                    permit.end(Outcome::Failed);
                }
                None
            }
            _ => None,
        }
    }

    /// Waits until the request has been at the server of `placement` for as long as it may be at two.
    async fn overlap(
        &self,
        placement: &Placement,
        is_sent: oneshot::Receiver<()>,
        overlap: Overlap,
    ) {
        if overlap == Overlap::UntilResponse || is_sent.await.is_err() {
            return future::pending().await;
        }
        sleep(MAX_OVERLAP).await;
        while self.check(placement).await != Health::Responds {
            sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Acquires a slot at a server other than the one of `held`. If that one may only have paused,
    /// the other one has to respond to a check, since it may have paused as well.
    async fn place_beside(&self, held: &Held<'_>, watch: &Watch) -> Option<Permit> {
        let mut excluded = Excluded::from_iter([held.placement.server.clone()]);
        while excluded.len() <= MAX_PLACES {
            let permit = match self.acquire(&excluded).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    self.log_staying(held, watch, &refusal);
                    return None;
                }
            };
            if watch.health() == Some(Health::Responds)
                || self.responds_promptly(permit.placement()).await
            {
                return Some(permit);
            }
            excluded.push(permit.placement().server.clone());
            permit.end(Outcome::Withdrawn);
        }
        None
    }

    /// Whether a server responds to a check at once.
    async fn responds_promptly(&self, placement: &Placement) -> bool {
        let checked = timeout(MAX_CHECK_DELAY, self.check(placement)).await;
        checked.is_ok_and(|health| health == Health::Responds)
    }

    /// Records an attempt that is given up because the server before it has responded.
    fn withdraw(&mut self, placement: Placement) {
        self.context.metrics.attempt_ended("superseded");
        self.sent_attempts += 1;
        self.verdict = Verdict::MayHaveRun;
        self.plan.demand.tried.push(placement.server);
    }

    /// Checks whether a server responds on a new connection.
    async fn check(&self, placement: &Placement) -> Health {
        let (reply, health) = oneshot::channel();
        let check = Check {
            // A check needs no slot of a server.
            placement: Placement {
                is_gated: false,
                ..placement.clone()
            },
            path: self.plan.health_path.clone(),
            reply,
        };
        // The task lives as long as the process.
        drop(self.context.checks.send(check));
        health.await.unwrap_or(Health::Silent)
    }

    /// Logs that no other server takes the request of a silent one.
    fn log_staying(&self, held: &Held<'_>, watch: &Watch, refusal: &Refusal) {
        self.context.metrics.silence_ended("stayed");
        logging::event!(
            info,
            "request_stays",
            request = self.plan.head.id,
            server = held.placement.server,
            silent_ms = self.silent_ms(held),
            health = health(watch),
            code = refusal.code
        );
    }

    /// Logs that a request has left a silent server.
    fn log_leaving(&self, held: &Held<'_>, watch: &Watch, next: &Placement) {
        self.context.metrics.silence_ended("left");
        logging::event!(
            info,
            "request_leaves",
            request = self.plan.head.id,
            server = held.placement.server,
            silent_ms = self.silent_ms(held),
            health = health(watch),
            next = next.server
        );
    }

    fn silent_ms(&self, held: &Held<'_>) -> u128 {
        let now = self.context.clock.now();
        now.since(held.silence.since).as_millis()
    }
}

fn health(watch: &Watch) -> &'static str {
    watch.health().map_or("unknown", Health::name)
}
