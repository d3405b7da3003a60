//! The HTTP routes of a plain service.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::sync::{Semaphore, watch};

use crate::{
    http, payload, process,
    server::{self, lock},
    service::{Fault, Ledger, Settings, ledger::Runs},
};

/// The header with the attempt id, which the response echoes.
const ATTEMPT: &str = "x-weir-attempt";
/// The attempt id that a crossed response echoes and the booking id that it confirms.
const OTHER_ATTEMPT: &str = "ffffffffffffffff";

#[derive(Deserialize)]
struct Booking {
    id: Option<String>,
}

#[derive(Serialize)]
struct Confirmation<'a> {
    id: &'a str,
    confirmation: String,
}

#[derive(Serialize)]
struct Load {
    boot: String,
    seq: u64,
    running: u64,
    waiting: u64,
    capacity: u32,
    cached_tokens: u64,
    models: [String; 0],
}

/// The state of the service and the handlers of its calls.
#[derive(Debug)]
pub struct Application {
    settings: Settings,
    slots: Semaphore,
    in_flight: AtomicU64,
    calls: AtomicU64,
    reports: AtomicU64,
    boot: AtomicU64,
    runs: Mutex<Runs>,
    fault: watch::Sender<Fault>,
    control: Arc<server::Control>,
}

impl Application {
    pub(super) fn new(settings: Settings, control: Arc<server::Control>) -> Self {
        Self {
            slots: Semaphore::new(settings.capacity as usize),
            settings,
            in_flight: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            reports: AtomicU64::new(0),
            boot: AtomicU64::new(rand::random()),
            runs: Mutex::default(),
            fault: watch::Sender::default(),
            control,
        }
    }

    pub(super) fn ledger(&self) -> Ledger {
        lock(&self.runs).ledger()
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    pub(super) fn reboot(&self) {
        self.boot.store(rand::random(), Ordering::SeqCst);
    }

    /// Injects a fault. `from` is the connection of the request for it, which
    /// [`Fault::SilentConnections`] does not affect.
    pub(super) fn set_fault(&self, fault: Fault, from: Option<server::ConnectionId>) {
        match fault {
            Fault::Crash => self.control.crash(),
            Fault::SilentConnections => self.control.silence(from),
            Fault::Endless(endless) => self.control.set_endless(Some(endless)),
            other => {
                if other == Fault::Normal {
                    self.control.set_endless(None);
                }
                self.fault.send_replace(other);
            }
        }
    }

    async fn put_fault(
        &self,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match http::read_json::<Fault>(request).await? {
            Ok(fault) => self.set_fault(fault, Some(connection)),
            Err(malformed) => return Ok(malformed),
        }
        Ok(http::json(StatusCode::OK, &serde_json::json!({})))
    }

    fn load(&self) -> Load {
        let in_flight = self.in_flight.load(Ordering::SeqCst);
        let running = in_flight.min(u64::from(self.settings.capacity));
        Load {
            boot: format!("{:016x}", self.boot.load(Ordering::SeqCst)),
            seq: self.reports.fetch_add(1, Ordering::SeqCst),
            running,
            waiting: in_flight - running,
            capacity: self.settings.capacity,
            cached_tokens: 0,
            models: [],
        }
    }

    /// Waits while the service is frozen.
    async fn wait_until_unfrozen(&self) {
        let mut fault = self.fault.subscribe();
        // `self` keeps the sender alive, so the wait can't fail.
        drop(fault.wait_for(|fault| *fault != Fault::Freeze).await);
    }

    /// Waits for a slot and runs one call.
    async fn run(&self, request: http::Request) -> Result<http::Response, http::Disconnected> {
        let _slot = self.slots.acquire().await.map_err(|_| http::Disconnected)?;
        process::pause(self.settings.call_duration).await;
        if request.method() == Method::GET {
            let path = http::percent_decode(request.uri().path());
            return Ok(confirmation_response(&path));
        }
        let key = http::header(&request, "idempotency-key").map(String::from);
        let booking = match http::read_json::<Booking>(request).await? {
            Ok(booking) => booking,
            Err(malformed) => return Ok(malformed),
        };
        let Some(id) = booking.id.clone().or(key.clone()) else {
            let message = "an id in the body or an idempotency-key is required";
            return Ok(http::error(StatusCode::BAD_REQUEST, message));
        };
        lock(&self.runs).record(key.as_ref().unwrap_or(&id));
        Ok(confirmation_response(&id))
    }

    /// Runs one call under the fault that affects it.
    async fn handle_under_fault(
        &self,
        request: http::Request,
    ) -> Result<http::Response, http::Disconnected> {
        self.wait_until_unfrozen().await;
        let mut fault = Fault::Normal;
        self.fault.send_if_modified(|current| {
            fault = current.next();
            false
        });
        if fault == Fault::Down {
            return Ok(http::error(StatusCode::SERVICE_UNAVAILABLE, "down"));
        }
        if let Fault::Slow { delay_ms } = fault {
            process::pause(Duration::from_millis(delay_ms)).await;
        }
        let attempt = request.headers().get(ATTEMPT).cloned();
        let mut response = self.run(request).await?;
        if let Fault::LateAnswer { delay_ms } = fault {
            process::pause(Duration::from_millis(delay_ms)).await;
        }
        self.wait_until_unfrozen().await;
        let attempt = match fault {
            Fault::LoseAnswer { .. } => return Err(http::Disconnected),
            Fault::CrossedAnswer { .. } => {
                response = confirmation_response(OTHER_ATTEMPT);
                Some(header::HeaderValue::from_static(OTHER_ATTEMPT))
            }
            _ => attempt,
        };
        if let Some(attempt) = attempt {
            response.headers_mut().insert(ATTEMPT, attempt);
        }
        Ok(response)
    }
}

impl server::Application for Application {
    async fn handle(
        self: Arc<Self>,
        request: http::Request,
        connection: server::ConnectionId,
    ) -> Result<http::Response, http::Disconnected> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/fault") => return self.put_fault(request, connection).await,
            (&Method::GET, "/ledger") => return Ok(http::json(StatusCode::OK, &self.ledger())),
            (&Method::GET, "/load") => {
                self.wait_until_unfrozen().await;
                return Ok(http::json(StatusCode::OK, &self.load()));
            }
            _ => {}
        }
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let in_flight = InFlight(&self.in_flight);
        let response = self.handle_under_fault(request).await;
        drop(in_flight);
        response
    }
}

/// Decrements the number of calls in flight when dropped, also if the connection closes first.
struct InFlight<'a>(&'a AtomicU64);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn confirmation_response(id: &str) -> http::Response {
    let confirmation = payload::confirmation(id);
    http::json(StatusCode::OK, &Confirmation { id, confirmation })
}
