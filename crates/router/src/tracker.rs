//! The task that keeps the state of the entry router across requests: in-flight
//! counts and retry budgets of workspaces, ejected backend servers, and
//! requests that are suspected of crashing servers.

mod guard;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use recovery::{
    Evidence, Interval, OutlierDetector, Report, Retry, RetryBudget, Standing, Strike, Suspects,
};
use smallvec::SmallVec;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{backend, pool, request, workspace};
use verdict::{Code, Refusal};

use crate::{clock::Clock, gossip, view::View};
pub use guard::{Attempt, AttemptEnded, Ending, Guard, RequestEnded};

/// Interval at which ejections are published.
const TICK: Duration = Duration::from_millis(200);
/// Delay after which a caller may retry when its workspace is at its limit.
const LIMIT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The backend servers ejected by outlier detection.
pub type Ejected = BTreeSet<backend::Server>;

/// A failed attempt, for the decision whether it is retried.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The workspace whose retry budget is charged.
    pub workspace: workspace::Id,
    /// Why the attempt failed.
    pub cause: recovery::Cause,
    /// The refusal to return to the caller if no further attempt is made.
    pub refusal: Refusal,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Number of attempts so far that were sent, or tried to connect, to a
    /// backend server.
    pub attempts: u32,
    /// Number of refusals by owners.
    pub refusals: u32,
    /// Number of backend servers that have not been tried.
    pub candidates: usize,
    /// The deadline of the request.
    pub deadline: units::time::Instant,
}

/// A message to the task.
#[derive(Debug)]
enum Message {
    Begin {
        workspace: workspace::Id,
        limit: Option<u32>,
        fingerprint: request::Fingerprint,
        reply: oneshot::Sender<Result<Begun, Refusal>>,
    },
    Decide(Box<Failure>, oneshot::Sender<Retry>),
    RequestEnded(RequestEnded),
    AttemptEnded(AttemptEnded),
    Evidence(Evidence),
    Crashed(request::Fingerprint, Attempt),
    Check {
        fingerprint: request::Fingerprint,
        crashes: SmallVec<[Report; 2]>,
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
}

/// A request that may be served.
#[derive(Debug)]
pub struct Begun {
    /// Held until the end of the response.
    pub guard: Guard,
    /// Whether it is suspected of crashing servers.
    pub standing: admission::Standing,
}

/// Handle for sending messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
    ejected: watch::Receiver<Arc<Ejected>>,
}

impl Handle {
    /// The backend servers that are currently ejected.
    pub fn ejected(&self) -> Arc<Ejected> {
        Arc::clone(&self.ejected.borrow())
    }

    /// Counts a request as in flight, unless its workspace is at its limit or
    /// the request has crashed servers.
    ///
    /// # Errors
    ///
    /// The refusal, which is final; the request has not run.
    pub async fn begin(
        &self,
        workspace: workspace::Id,
        limit: Option<u32>,
        fingerprint: request::Fingerprint,
    ) -> Result<Begun, Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Begin {
            workspace,
            limit,
            fingerprint,
            reply,
        });
        answer.await.map_err(|_| stopped())?
    }

    /// Decides whether a failed attempt is retried.
    pub async fn decide(&self, failure: Failure) -> Retry {
        let (reply, answer) = oneshot::channel();
        let refusal = failure.refusal.clone();
        self.send(Message::Decide(Box::new(failure), reply));
        answer.await.unwrap_or(Retry::GiveUp(refusal))
    }

    /// Reports how an attempt on a server ended.
    pub fn attempt_ended(&self, ended: AttemptEnded) {
        self.send(Message::AttemptEnded(ended));
    }

    /// Reports what another router has learned of a request.
    pub fn record_evidence(&self, evidence: Evidence) {
        self.send(Message::Evidence(evidence));
    }

    /// Reports that a server crashed during an attempt of a request.
    pub fn record_crash(&self, fingerprint: request::Fingerprint, attempt: Attempt) {
        self.send(Message::Crashed(fingerprint, attempt));
    }

    /// Records the crashes that another router saw, and checks the request.
    ///
    /// # Errors
    ///
    /// The refusal of a request that crashes servers; it has not run.
    pub async fn check(
        &self,
        fingerprint: request::Fingerprint,
        crashes: &[Report],
    ) -> Result<(), Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Check {
            fingerprint,
            crashes: SmallVec::from_slice(crashes),
            reply,
        });
        answer.await.map_err(|_| stopped())?
    }

    fn request_ended(&self, ended: RequestEnded) {
        self.send(Message::RequestEnded(ended));
    }

    fn send(&self, message: Message) {
        // The receiving task runs until the process ends.
        let _ = self.messages.send(message);
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(Code::NotReady, "The router is shutting down.")
}

/// State of the task.
#[derive(Debug)]
pub struct Tracker {
    clock: Clock,
    settings: recovery::Settings,
    in_flight: BTreeMap<workspace::Id, u32>,
    budget: RetryBudget,
    suspects: Suspects,
    detectors: BTreeMap<pool::Id, OutlierDetector>,
    view: watch::Receiver<Arc<View>>,
    gossip: mpsc::UnboundedSender<gossip::Message>,
    ejected_sender: watch::Sender<Arc<Ejected>>,
    messages: mpsc::UnboundedReceiver<Message>,
    handle: Handle,
}

impl Tracker {
    /// Creates a task with empty state, and its handle.
    pub fn new(
        clock: Clock,
        view: watch::Receiver<Arc<View>>,
        gossip: mpsc::UnboundedSender<gossip::Message>,
    ) -> (Self, Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (ejected_sender, ejected) = watch::channel(Arc::default());
        let handle = Handle {
            messages: sender,
            ejected,
        };
        let settings = recovery::Settings::default();
        let tracker = Self {
            clock,
            budget: RetryBudget::new(settings.clone(), clock.now()),
            suspects: Suspects::new(settings.clone()),
            settings,
            in_flight: BTreeMap::new(),
            detectors: BTreeMap::new(),
            view,
            gossip,
            ejected_sender,
            messages,
            handle: handle.clone(),
        };
        (tracker, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                changed = self.view.changed() => match changed {
                    Ok(()) => self.refresh(),
                    Err(_) => return,
                },
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Begin {
                workspace,
                limit,
                fingerprint,
                reply,
            } => {
                let begun = self.begin(workspace, limit, fingerprint);
                // The requester may have dropped the receiver; dropping the
                // guard in the reply then decrements the count.
                let _ = reply.send(begun);
            }
            Message::Decide(failure, reply) => {
                // The requester may have dropped the receiver.
                let _ = reply.send(self.decide(&failure));
            }
            Message::RequestEnded(ended) => self.request_ended(&ended),
            Message::AttemptEnded(ended) => self.attempt_ended(&ended),
            Message::Evidence(evidence) => {
                self.suspects.apply(&evidence, self.clock.now());
            }
            Message::Crashed(fingerprint, attempt) => self.record_crash(fingerprint, attempt),
            Message::Check {
                fingerprint,
                crashes,
                reply,
            } => {
                let now = self.clock.now();
                for report in crashes {
                    self.record_evidence(report.evidence(now));
                }
                // The requester may have dropped the receiver.
                let _ = reply.send(self.check(fingerprint));
            }
        }
    }

    fn check(&self, fingerprint: request::Fingerprint) -> Result<(), Refusal> {
        match self.suspects.standing(fingerprint, self.clock.now()) {
            Standing::Clear | Standing::Suspect => Ok(()),
            Standing::Refused(refusal) => Err(refusal),
        }
    }

    /// Records that a server crashed during an attempt.
    fn record_crash(&mut self, fingerprint: request::Fingerprint, attempt: Attempt) {
        let now = self.clock.now();
        self.record_evidence(Evidence::Strike(Strike {
            fingerprint,
            crash: attempt.crash,
            interval: Interval::new(attempt.began_at, now),
        }));
    }

    /// Records what this router saw or an entry router reported, and notifies the fleet if
    /// it is new.
    fn record_evidence(&mut self, evidence: Evidence) {
        if self.suspects.apply(&evidence, self.clock.now()) {
            // The receiving task runs until the process ends.
            let _ = self.gossip.send(gossip::Message::Evidence(evidence));
        }
    }

    fn begin(
        &mut self,
        workspace: workspace::Id,
        limit: Option<u32>,
        fingerprint: request::Fingerprint,
    ) -> Result<Begun, Refusal> {
        let now = self.clock.now();
        let standing = match self.suspects.standing(fingerprint, now) {
            Standing::Clear => admission::Standing::Clear,
            Standing::Suspect => admission::Standing::Suspect,
            Standing::Refused(refusal) => return Err(refusal),
        };
        let count = self.in_flight.entry(workspace.clone()).or_default();
        if limit.is_some_and(|limit| *count >= limit) {
            return Err(Refusal::not_run(
                Code::WorkspaceLimit,
                "The workspace is at its limit of requests in flight.",
            )
            .retry_at(now + LIMIT_RETRY_AFTER));
        }
        *count += 1;
        self.budget.record_request(&workspace, now);
        Ok(Begun {
            guard: Guard::new(workspace, fingerprint, self.handle.clone()),
            standing,
        })
    }

    fn decide(&mut self, failure: &Failure) -> Retry {
        let decided = recovery::Failure {
            workspace: &failure.workspace,
            cause: failure.cause,
            refusal: failure.refusal.clone(),
            idempotent: failure.idempotent,
            response_started: false,
            attempts: failure.attempts,
            refusals: failure.refusals,
            candidates: failure.candidates,
            deadline: failure.deadline,
        };
        Retry::decide(decided, &self.settings, &mut self.budget, self.clock.now())
    }

    fn request_ended(&mut self, ended: &RequestEnded) {
        if let Some(count) = self.in_flight.get_mut(&ended.workspace) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&ended.workspace);
            }
        }
    }

    /// Records how an attempt ended, for the outlier detection of its server
    /// and the suspicion against its request.
    fn attempt_ended(&mut self, ended: &AttemptEnded) {
        let now = self.clock.now();
        let detector = self.detectors.get_mut(&ended.pool);
        match (ended.ending, detector) {
            (Ending::Completed, detector) => {
                let completion = self.suspects.record_completion(ended.fingerprint, now);
                if let Some(completion) = completion {
                    // The receiving task runs until the process ends.
                    let message = gossip::Message::Evidence(Evidence::Completion(completion));
                    let _ = self.gossip.send(message);
                }
                if let Some(detector) = detector {
                    detector.record_success(&ended.server, now);
                }
            }
            (Ending::Failed, Some(detector)) => detector.record_failure(&ended.server, now),
            (Ending::TimedOut, Some(detector)) => {
                detector.record_timeout(&ended.server, ended.attempt.began_at, now);
            }
            (Ending::Failed | Ending::TimedOut, None) => {}
            (Ending::Crashed, detector) => {
                if let Some(detector) = detector {
                    detector.record_failure(&ended.server, now);
                }
                self.record_crash(ended.fingerprint, ended.attempt);
            }
        }
    }

    fn refresh(&mut self) {
        let view = Arc::clone(&self.view.borrow_and_update());
        self.detectors
            .retain(|pool, _| view.pools.contains_key(pool));
        for (name, pool) in &view.pools {
            let settings = &self.settings;
            let detector = self
                .detectors
                .entry(name.clone())
                .or_insert_with(|| OutlierDetector::new(settings.clone()));
            let members = pool.history.current().eligible();
            detector.set_servers(members.map(|member| (member.id.clone(), member.zone.clone())));
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let ejected: Ejected = self
            .detectors
            .values()
            .flat_map(|detector| detector.ejected(now))
            .map(|(server, _)| server)
            .collect();
        self.ejected_sender.send_if_modified(|present| {
            if **present == ejected {
                return false;
            }
            for server in ejected.difference(present) {
                logging::event!(warn, "server_ejected", server = server);
            }
            for server in present.difference(&ejected) {
                logging::event!(info, "server_returned", server = server);
            }
            *present = Arc::new(ejected);
            true
        });
    }
}
