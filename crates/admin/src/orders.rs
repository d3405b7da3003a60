//! Sends orders to engines while holding a lease.

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
/// One lease covers the whole deployment: orders are rare, and concurrent orders
/// that operators send through different hosts have to be serialized.
pub const LEASE_KEY: &str = "lease/orders";

/// Capacity of the channel between API calls and the task that holds the lease.
const MAX_QUEUED: usize = 64;

/// The kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Loads a model, an adapter or a version.
    Load,
    /// Unloads a model, an adapter or a version.
    Unload,
    /// Changes the engine's role.
    Role,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The kind of the order.
    pub kind: Kind,
    /// The model to load or unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The adapter to load or unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// The version to load or unload.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// The engine's new role.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
}

/// The engine that receives an order.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// The engine's address.
    pub address: net::SocketAddr,
    /// Whether the engine rejects orders with an outdated fencing token.
    pub fencing: Fencing,
}

/// Why an order failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The lease could not be acquired before the deadline, or too many orders are
    /// queued; the order was not sent.
    /// Contains the current holder if it is known.
    NotHeld(Option<host::Id>),
    /// The platform cannot be reached; the order was not sent.
    Unavailable(String),
    /// The engine refused the order for this reason; the order has not run.
    Refused(String),
    /// The engine could not be reached; the order has not run.
    Unreachable(String),
    /// The order was sent and its response was lost; the order may have run.
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

/// An order that is queued until the lease is held.
#[derive(Debug)]
struct Queued {
    target: Target,
    order: Order,
    deadline: Instant,
    reply: oneshot::Sender<Result<orders::Fence, Failure>>,
}

/// Handle that submits orders to the task that holds the lease.
#[derive(Clone, Debug)]
pub struct Orders {
    sender: mpsc::Sender<Queued>,
}

impl Orders {
    /// Spawns the task that holds the lease on `tasks`.
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

    /// Sends `order` to the engine at `target` once the lease is held.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`], whose variant shows whether the order may have run.
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
        // The task ends only with the process, after which no response is sent.
        response.await.unwrap_or(Err(Failure::NotHeld(None)))
    }
}

/// The task that queues orders and holds the lease while there are any.
struct Worker<T> {
    clock: Clock,
    driver: Driver<T>,
    lease: Lease,
    settings: settings::Orders,
    queue: Vec<Queued>,
    /// When the lease is released. `None` if the lease is not needed.
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

    /// Fails all queued orders: while the table cannot be read, neither the holder of
    /// the lease nor its expiry is known.
    fn fail_queued(&mut self, error: &storage::Error) {
        for queued in self.queue.drain(..) {
            let failure = Failure::Unavailable(error.to_string());
            drop(queued.reply.send(Err(failure)));
        }
    }

    /// Sends the orders that the lease permits and fails those past their deadline.
    fn dispatch(&mut self) {
        let now = Instant::now();
        for queued in std::mem::take(&mut self.queue) {
            if queued.reply.is_closed() {
                continue;
            }
            // The permit is requested last, so that the order is sent immediately after it
            // is granted.
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

    /// Returns when the task has to wake up if no new order arrives.
    fn wake_at(&self) -> Option<Instant> {
        let lease = self.clock.to_tokio_deadline(self.lease.wake_at());
        let earliest_deadline = self.queue.iter().map(|queued| queued.deadline).min();
        // While orders are queued, a permit may become available at any time.
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

/// The body of the request that carries an order.
#[derive(Serialize)]
struct Body<'a> {
    fence: orders::Fence,
    order: &'a Order,
}

/// Sends one order. The connection is closed when the call ends, so that no part of
/// the order arrives after the deadline of the permit.
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
