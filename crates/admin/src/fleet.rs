//! What the routers tell of the fleet.

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
    answer::{Engine, Refusals},
    state::Router,
};
use hyper::Method;
use serde::Deserialize;
use storage::http;
use tokio::{sync::watch, task, time};
use units::{availability, host, revision};

/// The page of a router at which it tells of its state.
const STATUS_PATH: &str = "/weir/status";

/// The most routers that are asked for their own backend servers at once.
///
/// At the size of a thousand nodes asking all would cost too much; the others
/// are known by what these tell of them.
const MAX_POLLED: usize = 16;

/// The most that looks at the fleet may cost each router that is asked, in bytes a second.
///
/// The answer grows with the fleet; asked each second for a thousand routers,
/// it would cost the router many times what it may spend on control traffic.
const BUDGET_BYTES_PER_S: u64 = 1_000;

/// What one router tells.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Its host.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Zone,
    /// The revision that it applied.
    pub revision: revision::Id,
    /// Whether it takes callers.
    pub ready: bool,
    /// The routers that it knows of.
    #[serde(default)]
    pub members: Vec<Router>,
    /// The backend servers that it owns.
    #[serde(default)]
    pub engines: Vec<Engine>,
    /// What it refused.
    #[serde(default)]
    pub refusals: Vec<Refusals>,
}

impl Report {
    /// The routers that it knows of and itself.
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

/// The routers at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The routers.
    pub routers: Arc<Vec<Router>>,
    /// When a router told of them. `None`: never.
    pub updated_at: Option<time::Instant>,
    /// The size of the longest answer in bytes.
    response_bytes: u64,
}

/// What some routers answered to one question.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    /// How many were asked.
    pub asked: usize,
    /// How many answered.
    pub answered: usize,
    /// The backend servers that they own.
    pub engines: Vec<Engine>,
    /// What they refused.
    pub refusals: Vec<Refusals>,
}

/// A view of the fleet that is brought up to date by asking routers.
#[derive(Debug)]
pub struct Fleet {
    clients: Vec<Arc<http::Client>>,
    /// The zones of the routers as far as they answered when asked last.
    zones: Mutex<Vec<Option<availability::Zone>>>,
    /// Counts the looks.
    round: AtomicUsize,
    view: watch::Sender<View>,
}

impl Fleet {
    /// A view through the routers at `addresses`.
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

    /// The routers as they were told of last.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Looks at the fleet through one router of each zone.
    ///
    /// Routers know well what those of their own zone have applied, and late
    /// what the others have, so each zone is to be asked.
    pub async fn poll(&self, timeout: time::Duration) {
        let round = self.round.fetch_add(1, Ordering::Relaxed);
        let selected = select_routers(&self.zones(), round);
        self.query(&selected, timeout).await;
    }

    /// How long to wait between two looks, so that they stay within the budget.
    pub fn min_poll_interval(&self) -> time::Duration {
        min_poll_interval(self.view().response_bytes, &self.zones())
    }

    /// Asks the first 16 routers at once.
    pub async fn survey(&self, timeout: time::Duration) -> Survey {
        let all: Vec<usize> = (0..self.clients.len().min(MAX_POLLED)).collect();
        let reports = self.query(&all, timeout).await;
        Survey {
            asked: all.len(),
            answered: reports.len(),
            engines: reports
                .iter()
                .flat_map(|report| report.engines.clone())
                .collect(),
            refusals: sum_refusals(&reports),
        }
    }

    /// Asks the routers with these numbers and holds what they tell.
    ///
    /// Where they disagree about another router, the higher revision is the
    /// later news, and a router's own word goes before that of others.
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
        // Answers come in any order; the view must not depend on it.
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

/// The numbers of the routers to ask: one of each zone in turn, and those whose
/// zone is not known, since they have not answered.
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

/// The time between two looks whose answers have `response_bytes` bytes, so that the
/// router that is asked most often stays within the budget.
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

/// What a router tells, and the size of its answer in bytes.
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
