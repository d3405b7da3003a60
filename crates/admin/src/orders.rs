//! Gives orders to engines under a lease.

mod driver;

use std::{fmt, future, net, sync::Arc};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use orders::{Denial, Fencing, Lease, Permit};
use serde::{Deserialize, Serialize};
use storage::{http, table::Table};
use tokio::{
    sync::{mpsc, oneshot},
    task,
    time::{self, Instant},
};
use units::host;

use crate::settings;
use driver::{Clock, Driver};

/// The key of the row that holds the lease.
///
/// One lease serves the whole deployment: orders are rare, and operators who
/// order at two hosts at once are to come one after the other.
pub const LEASE: &str = "lease/orders";

/// How many orders may wait for the lease.
const MAX_WAITING: usize = 64;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Loads a model, an adapter or a version.
    Load,
    /// Unloads it.
    Unload,
    /// Changes the engine's role.
    Role,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What it does.
    pub kind: Kind,
    /// The model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The new role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// Where an order goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The engine's address.
    pub address: net::SocketAddr,
    /// Whether it refuses an old fencing number.
    pub fencing: Fencing,
}

/// Why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, since the lease could not be had in time.
    NotHeld(Option<host::Id>),
    /// Nothing was sent, since the platform cannot be reached.
    Unavailable(String),
    /// The engine refused it, for this reason; it has not run.
    Refused(String),
    /// The engine could not be reached; it has not run.
    Unreachable(String),
    /// It was sent and its answer was lost. It may have run.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotHeld(Some(holder)) => write!(f, "the lease is held by {holder}"),
            Self::NotHeld(None) => f.write_str("the lease could not be had in time"),
            Self::Unavailable(reason) => f.write_str(reason),
            Self::Refused(reason) => write!(f, "refused by the engine: {reason}"),
            Self::Unreachable(reason) => write!(f, "engine: {reason}"),
            Self::Unknown(reason) => write!(f, "engine: {reason}"),
        }
    }
}

/// An order that waits for the lease.
#[derive(Debug)]
struct Waiting {
    target: Target,
    order: Order,
    deadline: Instant,
    reply: oneshot::Sender<Result<orders::Fence, Failure>>,
}

/// Hands orders to the task that holds the lease.
#[derive(Clone, Debug)]
pub struct Orders {
    sender: mpsc::Sender<Waiting>,
}

impl Orders {
    /// Starts the task on `tasks`.
    pub fn start<T: Table + 'static>(
        table: Arc<T>,
        host: host::Id,
        settings: settings::Orders,
        tasks: &mut task::JoinSet<()>,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_WAITING);
        let clock = Clock::start();
        let lease = Lease::new(settings.lease.clone(), host, rand::random());
        let holder = Holder {
            clock,
            driver: Driver::new(table, clock),
            lease,
            settings,
            waiting: Vec::new(),
            idle_at: None,
        };
        tasks.spawn(holder.run(receiver));
        Self { sender }
    }

    /// Gives `order` to the engine at `target` once the lease is held.
    ///
    /// # Errors
    ///
    /// [`Failure`], which tells whether the order may have run.
    pub async fn give(
        &self,
        target: Target,
        order: Order,
        deadline: Instant,
    ) -> Result<orders::Fence, Failure> {
        let (reply, answer) = oneshot::channel();
        let waiting = Waiting {
            target,
            order,
            deadline,
            reply,
        };
        if self.sender.try_send(waiting).is_err() {
            return Err(Failure::NotHeld(None));
        }
        // The task ends only with the process, which then answers nobody.
        answer.await.unwrap_or(Err(Failure::NotHeld(None)))
    }
}

/// The task that holds the lease while there are orders.
struct Holder<T> {
    clock: Clock,
    driver: Driver<T>,
    lease: Lease,
    settings: settings::Orders,
    waiting: Vec<Waiting>,
    /// When the lease is given back. `None`: it is not wanted.
    idle_at: Option<Instant>,
}

impl<T: Table + 'static> Holder<T> {
    async fn run(mut self, mut receiver: mpsc::Receiver<Waiting>) {
        loop {
            match self.driver.work(&mut self.lease).await {
                Ok(()) => self.serve(),
                Err(error) => self.give_up(&error),
            }
            tokio::select! {
                waiting = receiver.recv() => match waiting {
                    Some(waiting) => self.take(waiting),
                    None => return,
                },
                () = sleep_until(self.wake_at()) => {}
            }
        }
    }

    fn take(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
        self.idle_at = Some(Instant::now() + self.settings.keep);
        self.lease.acquire();
    }

    /// Refuses what waits: nobody can tell who holds the lease, nor for how long.
    fn give_up(&mut self, error: &storage::Error) {
        for waiting in self.waiting.drain(..) {
            let failure = Failure::Unavailable(error.to_string());
            drop(waiting.reply.send(Err(failure)));
        }
    }

    /// Sends the orders that may be sent and gives up those that are late.
    fn serve(&mut self) {
        let now = Instant::now();
        for waiting in std::mem::take(&mut self.waiting) {
            if waiting.reply.is_closed() {
                continue;
            }
            // The permit is asked for last: the order leaves right after it.
            match self.lease.permit(waiting.target.fencing, self.clock.now()) {
                Ok(permit) => self.send(waiting, permit),
                Err(Denial::NotHeld | Denial::Wait(_)) if now < waiting.deadline => {
                    self.waiting.push(waiting);
                }
                Err(_) => {
                    let holder = self.lease.holder().cloned();
                    drop(waiting.reply.send(Err(Failure::NotHeld(holder))));
                }
            }
        }
        if self.waiting.is_empty() && self.idle_at.is_some_and(|at| now >= at) {
            self.idle_at = None;
            self.lease.release();
        }
    }

    fn send(&self, waiting: Waiting, permit: Permit) {
        let deadline = self.clock.at(permit.deadline).min(waiting.deadline);
        task::spawn(async move {
            let done = call(&waiting.target, permit.fence, &waiting.order, deadline).await;
            drop(waiting.reply.send(done));
        });
    }

    /// When there is something to do without a new order.
    fn wake_at(&self) -> Option<Instant> {
        let lease = self.clock.until(self.lease.wake_at());
        let late = self.waiting.iter().map(|waiting| waiting.deadline).min();
        // While orders wait, the lease may become clear at any time.
        let look = (!self.waiting.is_empty()).then(|| Instant::now() + driver::PAUSE);
        [lease, late, look, self.idle_at]
            .into_iter()
            .flatten()
            .min()
    }
}

async fn sleep_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => time::sleep_until(instant).await,
        None => future::pending().await,
    }
}

/// The body of an order.
#[derive(Serialize)]
struct Fenced<'a> {
    fence: orders::Fence,
    order: &'a Order,
}

/// Sends one order. Its connection is closed when the call ends, so that
/// nothing of it arrives after the deadline of the permit.
async fn call(
    target: &Target,
    fence: orders::Fence,
    order: &Order,
    deadline: Instant,
) -> Result<orders::Fence, Failure> {
    let unreachable = |error: storage::Error| Failure::Unreachable(error.to_string());
    let body = serde_json::to_vec(&Fenced { fence, order })
        .map_err(|error| Failure::Refused(error.to_string()))?;
    let request = http::request(Method::POST, "/orders", Bytes::from(body)).map_err(unreachable)?;
    let client = http::Client::new(target.address);
    match client.call(request, deadline).await {
        Ok(answer) if answer.status.is_success() => Ok(fence),
        Ok(answer) if answer.status == StatusCode::CONFLICT => Err(Failure::Refused(format!(
            "the engine has seen a higher fencing number than {fence}"
        ))),
        Ok(answer) if answer.status.is_client_error() => {
            Err(Failure::Refused(format!("status {}", answer.status)))
        }
        Ok(answer) => Err(Failure::Unknown(format!("status {}", answer.status))),
        Err(error @ storage::Error::MayHaveRun(_)) => Err(Failure::Unknown(error.to_string())),
        Err(error) => Err(unreachable(error)),
    }
}
