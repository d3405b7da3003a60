//! A load test: runs all callers concurrently, then checks the ledgers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, Uri};
use tokio::{task::JoinSet, time};

use crate::{
    balancer::Balancer,
    booking, chat,
    client::Pool,
    lookup,
    report::{self, Report},
    settings::Settings,
};

/// Timeout for the first router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for fetching the ledger of a service.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a load test has no report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// No router became ready within the timeout.
    NotReady,
    /// A ledger could not be fetched, so it is unknown which bookings ran.
    NoLedger(SocketAddr, String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotReady => f.write_str("no router became ready"),
            Self::NoLedger(address, reason) => {
                write!(f, "the ledger at {address} could not be fetched: {reason}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Runs all callers and returns their results.
///
/// # Errors
///
/// Returns an [`Error`] if no router became ready or a ledger could not be fetched.
pub async fn run(settings: Settings) -> Result<Report, Error> {
    let settings = Arc::new(settings);
    let balancer = Arc::new(Balancer::new(&settings.routers, settings.skew));
    wait_until_ready(&balancer).await?;
    let probes = tokio::spawn(Arc::clone(&balancer).probe_periodically());
    let started = Instant::now();
    let (sender, mut records) = report::channel();
    let mut callers = spawn_callers(&settings, &balancer, &sender, started + settings.duration);
    drop(sender);
    let mut report = Report::new(started, &settings.phases);
    while let Some(record) = records.recv().await {
        report.add(record);
    }
    while callers.join_next().await.is_some() {}
    probes.abort();
    report.reconcile(&fetch_ledgers(&settings.ledgers).await?);
    Ok(report)
}

async fn wait_until_ready(balancer: &Balancer) -> Result<(), Error> {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        balancer.probe().await;
        if balancer.pick().is_some() {
            return Ok(());
        }
        time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::NotReady)
}

/// Starts all callers. They start no new requests after `end`.
fn spawn_callers(
    settings: &Arc<Settings>,
    balancer: &Arc<Balancer>,
    records: &report::Sender,
    end: Instant,
) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let shared = || (Arc::clone(settings), Arc::clone(balancer), records.clone());
    for caller in 0..settings.chats {
        let (settings, balancer, records) = shared();
        callers.spawn(chat::run_caller(settings, balancer, records, caller, end));
    }
    for caller in 0..settings.booking_callers {
        let (settings, balancer, records) = shared();
        callers.spawn(booking::run_caller(
            settings, balancer, records, caller, end,
        ));
    }
    for caller in 0..settings.lookup_callers {
        let (settings, balancer, records) = shared();
        callers.spawn(lookup::run_caller(settings, balancer, records, caller, end));
    }
    callers
}

/// Fetches the ledgers and returns how often each booking ran on all services together.
async fn fetch_ledgers(services: &[SocketAddr]) -> Result<BTreeMap<String, u64>, Error> {
    let mut runs = BTreeMap::new();
    let pool = Pool::default();
    for service in services {
        let fetched = time::timeout(LEDGER_TIMEOUT, fetch_ledger(&pool, *service)).await;
        let ledger = fetched
            .unwrap_or_else(|_| Err(String::from("no response within the timeout")))
            .map_err(|reason| Error::NoLedger(*service, reason))?;
        for entry in ledger.entries {
            *runs.entry(entry.id).or_default() += entry.runs;
        }
    }
    Ok(runs)
}

async fn fetch_ledger(
    pool: &Pool,
    service: SocketAddr,
) -> Result<standin::service::Ledger, String> {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/ledger");
    let exchange = pool.send(service, request).await;
    let response = exchange.map_err(|e| format!("{e:?}"))?.split().0;
    if response.status() != StatusCode::OK {
        return Err(response.status().to_string());
    }
    let body = response.into_body().collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
