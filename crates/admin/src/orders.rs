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
pub const LEASE_KEY: &str = "lease/orders";

/// How many orders may wait for the lease.
const MAX_QUEUED: usize = 64;

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
struct Queued {
    target: Target,
    order: Order,
    deadline: Instant,
    reply: oneshot::Sender<Result<orders::Fence, Failure>>,
}

/// Hands orders to the task that holds the lease.
#[derive(Clone, Debug)]
pub struct Orders {
    sender: mpsc::Sender<Queued>,
}

impl Orders {
    /// Starts the task on `tasks`.
    pub fn start<T: Table + 'static>(
        table: Arc<T>,
        host: host::Id,
        settings: settings::Orders,
        tasks: &mut task::JoinSet<()>,
    ) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let clock = Clock::start();
        let lease = Lease::new(settings.lease.clone(), host, rand::random());
        let worker = Worker {
            clock,
            driver: Driver::new(table, clock),
            lease,
            settings,
            queue: Vec::new(),
            release_at: None,
        };
        tasks.spawn(worker.run(receiver));
        Self { sender }
    }

    /// Gives `order` to the engine at `target` once the lease is held.
    ///
    /// # Errors
    ///
    /// [`Failure`], which tells whether the order may have run.
    pub async fn submit(
        &self,
        target: Target,
        order: Order,
        deadline: Instant,
    ) -> Result<orders::Fence, Failure> {
        let (reply, response) = oneshot::channel();
        let queued = Queued {
            target,
            order,
            deadline,
            reply,
        };
        if self.sender.try_send(queued).is_err() {
            return Err(Failure::NotHeld(None));
        }
        // The task ends only with the process, which then answers nobody.
        response.await.unwrap_or(Err(Failure::NotHeld(None)))
    }
}

/// The task that holds the lease while there are orders.
struct Worker<T> {
    clock: Clock,
    driver: Driver<T>,
    lease: Lease,
    settings: settings::Orders,
    queue: Vec<Queued>,
    /// When the lease is given back. `None`: it is not wanted.
    release_at: Option<Instant>,
}

impl<T: Table + 'static> Worker<T> {
    async fn run(mut self, mut receiver: mpsc::Receiver<Queued>) {
        loop {
            match self.driver.drive(&mut self.lease).await {
                Ok(()) => self.dispatch(),
                Err(error) => self.fail_queued(&error),
            }
            tokio::select! {
                queued = receiver.recv() => match queued {
                    Some(queued) => self.enqueue(queued),
                    None => return,
                },
                () = sleep_until(self.wake_at()) => {}
            }
        }
    }

    fn enqueue(&mut self, queued: Queued) {
        self.queue.push(queued);
        self.release_at = Some(Instant::now() + self.settings.idle_timeout);
        self.lease.acquire();
    }

    /// Refuses what waits: nobody can tell who holds the lease, nor for how long.
    fn fail_queued(&mut self, error: &storage::Error) {
        for queued in self.queue.drain(..) {
            let failure = Failure::Unavailable(error.to_string());
            drop(queued.reply.send(Err(failure)));
        }
    }

    /// Sends the orders that may be sent and gives up those that are late.
    fn dispatch(&mut self) {
        let now = Instant::now();
        for queued in std::mem::take(&mut self.queue) {
            if queued.reply.is_closed() {
                continue;
            }
            // The permit is asked for last: the order leaves right after it.
            match self.lease.permit(queued.target.fencing, self.clock.now()) {
                Ok(permit) => self.send(queued, permit),
                Err(Denial::NotHeld | Denial::Wait(_)) if now < queued.deadline => {
                    self.queue.push(queued);
                }
                Err(_) => {
                    let holder = self.lease.holder().cloned();
                    drop(queued.reply.send(Err(Failure::NotHeld(holder))));
                }
            }
        }
        if self.queue.is_empty() && self.release_at.is_some_and(|at| now >= at) {
            self.release_at = None;
            self.lease.release();
        }
    }

    fn send(&self, queued: Queued, permit: Permit) {
        let deadline = self.clock.to_tokio(permit.deadline).min(queued.deadline);
        task::spawn(async move {
            let result = post(&queued.target, permit.fence, &queued.order, deadline).await;
            drop(queued.reply.send(result));
        });
    }

    /// When there is something to do without a new order.
    fn wake_at(&self) -> Option<Instant> {
        let lease = self.clock.to_tokio_deadline(self.lease.wake_at());
        let earliest_deadline = self.queue.iter().map(|queued| queued.deadline).min();
        // While orders wait, the lease may become clear at any time.
        let poll = (!self.queue.is_empty()).then(|| Instant::now() + driver::POLL_INTERVAL);
        [lease, earliest_deadline, poll, self.release_at]
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
struct Body<'a> {
    fence: orders::Fence,
    order: &'a Order,
}

/// Sends one order. Its connection is closed when the call ends, so that
/// nothing of it arrives after the deadline of the permit.
async fn post(
    target: &Target,
    fence: orders::Fence,
    order: &Order,
    deadline: Instant,
) -> Result<orders::Fence, Failure> {
    let unreachable = |error: storage::Error| Failure::Unreachable(error.to_string());
    let body = serde_json::to_vec(&Body { fence, order })
        .map_err(|error| Failure::Refused(error.to_string()))?;
    let request = http::request(Method::POST, "/orders", Bytes::from(body)).map_err(unreachable)?;
    let client = http::Client::new(target.address);
    match client.call(request, deadline).await {
        Ok(response) if response.status.is_success() => Ok(fence),
        Ok(response) if response.status == StatusCode::CONFLICT => Err(Failure::Refused(format!(
            "the engine has seen a higher fencing number than {fence}"
        ))),
        Ok(response) if response.status.is_client_error() => {
            Err(Failure::Refused(format!("status {}", response.status)))
        }
        Ok(response) => Err(Failure::Unknown(format!("status {}", response.status))),
        Err(error @ storage::Error::MayHaveRun(_)) => Err(Failure::Unknown(error.to_string())),
        Err(error) => Err(unreachable(error)),
    }
}
