//! The state of the fleet, polled from routers.

use std::{
    collections::BTreeMap,
    net,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use config::{
    response::{Engine, Refusals},
    state::Router,
};
use hyper::Method;
use serde::Deserialize;
use storage::http;
use tokio::{sync::watch, task, time};
use units::{availability, host, revision};

/// Path of the status endpoint of a router.
const STATUS_PATH: &str = "/weir/status";

/// Maximum number of routers that are queried at once.
///
/// In a fleet of a thousand nodes, querying all routers would cost too much; the
/// state of the others is taken from the reports of these.
const MAX_POLLED: usize = 16;

/// Maximum bandwidth of status responses per queried router, in bytes per second.
///
/// The response grows with the fleet. With a thousand routers and one query per
/// second, it would exceed the control traffic budget of a router many times over.
const BUDGET_BYTES_PER_S: u64 = 1_000;

/// The status report of one router.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The host of the router.
    pub host: host::Id,
    /// The availability zone of the router.
    pub zone: availability::Zone,
    /// The revision that the router has applied.
    pub revision: revision::Id,
    /// Whether the router accepts requests of callers.
    pub ready: bool,
    /// The members of the fleet that the router has in its membership list.
    #[serde(default)]
    pub members: Vec<Router>,
    /// The backend servers that the router owns.
    #[serde(default)]
    pub engines: Vec<Engine>,
    /// The numbers of requests that the router refused, by code and verdict.
    #[serde(default)]
    pub refusals: Vec<Refusals>,
}

impl Report {
    /// Returns the other members followed by the reporting router itself.
    fn routers(&self) -> Vec<Router> {
        let mut routers = self.members.clone();
        routers.retain(|router| router.host != self.host);
        let state = if self.ready { "ready" } else { "starting" };
        routers.push(Router {
            host: self.host.clone(),
            zone: self.zone.clone(),
            revision: self.revision,
            state: String::from(state),
        });
        routers
    }
}

/// The routers of the fleet as of the last poll.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All known routers.
    pub routers: Arc<Vec<Router>>,
    /// When a router last responded. `None`: never.
    pub updated_at: Option<time::Instant>,
    /// Size of the largest response of the last poll in bytes.
    response_bytes: u64,
}

/// The combined reports of several routers.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    /// Number of routers queried.
    pub queried: usize,
    /// Number of routers that responded.
    pub responded: usize,
    /// The backend servers that these routers own.
    pub engines: Vec<Engine>,
    /// The numbers of requests that these routers refused, by code and verdict.
    pub refusals: Vec<Refusals>,
}

/// A view of the fleet that is refreshed by polling routers.
#[derive(Debug)]
pub struct Fleet {
    clients: Vec<Arc<http::Client>>,
    /// The zone of each router. `None` if the router was not queried or did not
    /// respond to its last query.
    zones: Mutex<Vec<Option<availability::Zone>>>,
    /// Number of polls so far, for round-robin selection.
    round: AtomicUsize,
    view: watch::Sender<View>,
}

impl Fleet {
    /// Returns an empty view that is refreshed from the routers at `addresses`.
    pub fn new(addresses: &[net::SocketAddr]) -> Self {
        let clients = addresses.iter().copied().map(http::Client::new);
        let (view, _) = watch::channel(View::default());
        Self {
            clients: clients.map(Arc::new).collect(),
            zones: Mutex::new(vec![None; addresses.len()]),
            round: AtomicUsize::new(0),
            view,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Refreshes the view from one router of each zone.
    ///
    /// A router learns early which revisions the routers of its own zone have applied
    /// and late those of other zones, so each zone is queried.
    pub async fn poll(&self, timeout: time::Duration) {
        let round = self.round.fetch_add(1, Ordering::Relaxed);
        let selected = select_routers(&self.zones(), round);
        self.query(&selected, timeout).await;
    }

    /// Returns the shortest interval between two polls that stays within the bandwidth
    /// budget.
    pub fn min_poll_interval(&self) -> time::Duration {
        min_poll_interval(self.view().response_bytes, &self.zones())
    }

    /// Queries the first 16 routers concurrently.
    pub async fn survey(&self, timeout: time::Duration) -> Survey {
        let all: Vec<usize> = (0..self.clients.len().min(MAX_POLLED)).collect();
        let reports = self.query(&all, timeout).await;
        Survey {
            queried: all.len(),
            responded: reports.len(),
            engines: reports
                .iter()
                .flat_map(|report| report.engines.clone())
                .collect(),
            refusals: sum_refusals(&reports),
        }
    }

    /// Queries the routers at these indices and updates the view from their reports.
    ///
    /// If reports about a router differ, the higher revision is the newer one. What a
    /// router reports about itself takes precedence over the reports of others.
    async fn query(&self, indices: &[usize], timeout: time::Duration) -> Vec<Report> {
        let deadline = time::Instant::now() + timeout;
        let mut requests = task::JoinSet::new();
        for &index in indices {
            let client = Arc::clone(&self.clients[index]);
            requests.spawn(async move { (index, fetch(&client, deadline).await) });
        }
        let mut reports = Vec::new();
        let mut response_bytes = 0;
        while let Some(Ok((index, response))) = requests.join_next().await {
            self.set_zone(
                index,
                response.as_ref().map(|(report, _)| report.zone.clone()),
            );
            if let Some((report, bytes)) = response {
                response_bytes = response_bytes.max(bytes);
                reports.push(report);
            }
        }
        // Responses arrive in any order; the view must not depend on it.
        reports.sort_by(|a: &Report, b: &Report| a.host.cmp(&b.host));
        if !reports.is_empty() {
            self.update(merge_routers(&reports), response_bytes);
        }
        reports
    }

    fn update(&self, routers: Vec<Router>, response_bytes: u64) {
        self.view.send_replace(View {
            routers: Arc::new(routers),
            updated_at: Some(time::Instant::now()),
            response_bytes,
        });
    }

    fn zones(&self) -> Vec<Option<availability::Zone>> {
        self.lock_zones().clone()
    }

    fn set_zone(&self, index: usize, zone: Option<availability::Zone>) {
        self.lock_zones()[index] = zone;
    }

    fn lock_zones(&self) -> MutexGuard<'_, Vec<Option<availability::Zone>>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the indices of the routers to query: one router per zone, chosen round
/// robin, and all routers of unknown zone, since these have not responded.
fn select_routers(zones: &[Option<availability::Zone>], round: usize) -> Vec<usize> {
    let mut by_zone: BTreeMap<&availability::Zone, Vec<usize>> = BTreeMap::new();
    let mut selected = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        match zone {
            Some(zone) => by_zone.entry(zone).or_default().push(index),
            None => selected.push(index),
        }
    }
    selected.extend(
        by_zone
            .values()
            .map(|indices| indices[round % indices.len()]),
    );
    selected.truncate(MAX_POLLED);
    selected
}

/// Returns the interval between two polls with responses of `response_bytes` bytes at
/// which the router that is queried most often stays within the bandwidth budget.
pub fn min_poll_interval(
    response_bytes: u64,
    zones: &[Option<availability::Zone>],
) -> time::Duration {
    let mut counts: BTreeMap<&availability::Zone, u64> = BTreeMap::new();
    for zone in zones.iter().flatten() {
        *counts.entry(zone).or_default() += 1;
    }
    let min_routers = counts.into_values().min().unwrap_or(1);
    time::Duration::from_millis(
        response_bytes.saturating_mul(1_000) / BUDGET_BYTES_PER_S.saturating_mul(min_routers),
    )
}

/// Fetches the report of a router. Returns the report and the response size in bytes.
async fn fetch(client: &http::Client, deadline: time::Instant) -> Option<(Report, u64)> {
    let request = http::request(Method::GET, STATUS_PATH, Bytes::new()).ok()?;
    let response = client.call(request, deadline).await.ok()?;
    let report = http::parse(&response).ok()?;
    Some((report, response.body.len() as u64))
}

fn merge_routers(reports: &[Report]) -> Vec<Router> {
    let mut routers: BTreeMap<host::Id, Router> = BTreeMap::new();
    for router in reports.iter().flat_map(Report::routers) {
        match routers.get(&router.host) {
            Some(existing) if existing.revision >= router.revision => {}
            _ => drop(routers.insert(router.host.clone(), router)),
        }
    }
    for router in reports.iter().filter_map(|report| report.routers().pop()) {
        routers.insert(router.host.clone(), router);
    }
    routers.into_values().collect()
}

fn sum_refusals(reports: &[Report]) -> Vec<Refusals> {
    let mut counts: BTreeMap<(String, String), u64> = BTreeMap::new();
    for refusals in reports.iter().flat_map(|report| &report.refusals) {
        let kind = (refusals.code.clone(), refusals.verdict.clone());
        *counts.entry(kind).or_default() += refusals.count;
    }
    counts
        .into_iter()
        .map(|((code, verdict), count)| Refusals {
            code,
            verdict,
            count,
        })
        .collect()
}
