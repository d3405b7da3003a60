//! The task that claims non-idempotent requests in the platform's table.

mod guard;
mod store;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use once::{Bucket, Claim, Decision, Key, Ledger, Operation, Outcome, Resolution};
use storage::table;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{host, request};
use verdict::{Code, Refusal};

use crate::{clock::Clock, members::Members, request::Request};
pub use guard::Guard;
use store::Completion;

/// Maximum delay until the ledger is checked again.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Interval between deletions of old outcomes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);
/// Length of a bucket of outcomes, in seconds.
const BUCKET_SECONDS: u64 = 3600;

/// The result of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// The holder of the guard may send the request.
    Granted(Guard),
    /// The request ran before, with this outcome.
    Recorded(Outcome),
}

/// A message to the task.
#[derive(Debug)]
enum Message {
    Claim(Claim, oneshot::Sender<Result<Decision, Refusal>>),
    Start(request::Attempt, oneshot::Sender<Result<(), Refusal>>),
    Finish(request::Attempt, Option<Outcome>),
    Release(request::Attempt),
    Unsent(request::Attempt),
}

/// Handle for sending messages to the task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Claims a request by its idempotency key.
    ///
    /// # Errors
    ///
    /// The final refusal: the platform does not confirm the claim, or another
    /// request with the same key is running or may have run.
    pub async fn claim(&self, request: &Request, key: &str) -> Result<Claimed, Refusal> {
        let attempt = request::Attempt(rand::random());
        let claim = Claim {
            key: Key::new(&request.workspace, &request.route, key),
            attempt,
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            bucket: bucket(),
        };
        // If the caller disconnects while the claim is being written, dropping
        // the guard releases the claim.
        let guard = Guard::new(attempt, self.clone());
        let (reply, answer) = oneshot::channel();
        self.send(Message::Claim(claim, reply));
        match answer.await.map_err(|_| stopped())?? {
            Decision::Granted { .. } => Ok(Claimed::Granted(guard)),
            Decision::Recorded(outcome) => Ok(Claimed::Recorded(outcome)),
            Decision::Refused(refusal) => Err(refusal),
        }
    }

    async fn start(&self, attempt: request::Attempt) -> Result<(), Refusal> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Start(attempt, reply));
        answer.await.map_err(|_| stopped())?
    }

    fn send(&self, message: Message) {
        // The receiving task runs until the process ends.
        let _ = self.messages.send(message);
    }
}

fn stopped() -> Refusal {
    Refusal::not_run(Code::NotReady, "The router is shutting down.")
}

/// The current bucket of outcomes.
fn bucket() -> Bucket {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Bucket(since.as_secs() / BUCKET_SECONDS)
}

/// State of the task.
#[derive(Debug)]
pub struct Claims {
    clock: Clock,
    ledger: Ledger,
    table: Arc<table::Client>,
    waiting: BTreeMap<request::Attempt, oneshot::Sender<Result<Decision, Refusal>>>,
    messages: mpsc::UnboundedReceiver<Message>,
    done: mpsc::UnboundedReceiver<Completion>,
    done_sender: mpsc::UnboundedSender<Completion>,
    members: watch::Receiver<Arc<Members>>,
}

impl Claims {
    /// Creates a task without claims, and its handle.
    pub fn new(
        clock: Clock,
        router: host::Id,
        table: Arc<table::Client>,
        members: watch::Receiver<Arc<Members>>,
    ) -> (Self, Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (done_sender, done) = mpsc::unbounded_channel();
        let claims = Self {
            clock,
            ledger: Ledger::new(once::Settings::default(), router),
            table,
            waiting: BTreeMap::new(),
            messages,
            done,
            done_sender,
            members,
        };
        (claims, Handle { messages: sender })
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut sweep = time::interval(SWEEP_INTERVAL);
        loop {
            self.work();
            let wake_at = self.wake_at();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                Some(done) = self.done.recv() => self.done(done),
                () = time::sleep_until(wake_at) => {
                    let settled = self.ledger.expire(self.clock.now());
                    self.settle(settled);
                }
                changed = self.members.changed() => match changed {
                    Ok(()) => {
                        let routers = self.members.borrow_and_update().peers.len();
                        self.ledger.set_routers(routers);
                    }
                    Err(_) => return,
                },
                _ = sweep.tick() => {
                    tokio::spawn(store::sweep(Arc::clone(&self.table), bucket()));
                }
            }
        }
    }

    fn wake_at(&self) -> time::Instant {
        let latest = time::Instant::now() + MAX_WAIT;
        self.clock.at(self.ledger.wake_at()).min(latest)
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Claim(claim, reply) => {
                let attempt = claim.attempt;
                match self.ledger.claim(claim, now) {
                    Ok(()) => {
                        self.waiting.insert(attempt, reply);
                    }
                    Err(refusal) => {
                        // The requester may have dropped the receiver.
                        let _ = reply.send(Err(refusal));
                    }
                }
            }
            Message::Start(attempt, reply) => {
                // The requester may have dropped the receiver; dropping its
                // guard then releases the claim.
                let _ = reply.send(self.ledger.start(attempt, now));
            }
            Message::Finish(attempt, outcome) => self.ledger.finish(attempt, outcome),
            Message::Release(attempt) => {
                self.waiting.remove(&attempt);
                self.ledger.release(attempt);
            }
            Message::Unsent(attempt) => self.ledger.release_unsent(attempt),
        }
    }

    /// Starts the next read or write of the table, if one is due.
    fn work(&mut self) {
        let Some(operation) = self.ledger.next_operation(self.clock.now()) else {
            return;
        };
        let table = Arc::clone(&self.table);
        let done = self.done_sender.clone();
        tokio::spawn(async move {
            let result = match operation {
                Operation::Write(batch) => Completion::Wrote(store::write(&table, batch).await),
                Operation::Read(keys) => Completion::Read(store::read(&table, &keys).await),
            };
            // The receiving task runs until the process ends.
            let _ = done.send(result);
        });
    }

    fn done(&mut self, done: Completion) {
        let now = self.clock.now();
        let settled = match done {
            Completion::Wrote(result) => self.ledger.handle_write(result, now),
            Completion::Read(rows) => self.ledger.handle_read(rows, now),
        };
        self.settle(settled);
    }

    fn settle(&mut self, settled: impl IntoIterator<Item = Resolution>) {
        for Resolution { attempt, decision } in settled {
            let Some(reply) = self.waiting.remove(&attempt) else {
                continue;
            };
            // The requester may have dropped the receiver; its guard releases
            // the claim.
            let _ = reply.send(Ok(decision));
        }
    }
}
