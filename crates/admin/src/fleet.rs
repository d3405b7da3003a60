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
const PATH: &str = "/weir/status";

/// The most routers that are asked for their own backend servers at once.
///
/// At the size of a thousand nodes asking all would cost too much; the others
/// are known by what these tell of them.
const MAX_SURVEY: usize = 16;

/// The most that looks at the fleet may cost each router that is asked, in bytes a second.
///
/// The answer grows with the fleet; asked each second for a thousand routers,
/// it would cost the router many times what it may spend on control traffic.
const BUDGET: u64 = 1_000;

/// What one router tells.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
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

impl Page {
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
    pub told: Option<time::Instant>,
    /// The size of the longest answer in bytes.
    size: u64,
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
    turn: AtomicUsize,
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
            turn: AtomicUsize::new(0),
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
    pub async fn look(&self, timeout: time::Duration) {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let chosen = choose(&self.zones(), turn);
        self.ask(&chosen, timeout).await;
    }

    /// How long to wait between two looks, so that they stay within the budget.
    pub fn pause(&self) -> time::Duration {
        pause(self.view().size, &self.zones())
    }

    /// Asks the first 16 routers at once.
    pub async fn survey(&self, timeout: time::Duration) -> Survey {
        let all: Vec<usize> = (0..self.clients.len().min(MAX_SURVEY)).collect();
        let pages = self.ask(&all, timeout).await;
        Survey {
            asked: all.len(),
            answered: pages.len(),
            engines: pages.iter().flat_map(|page| page.engines.clone()).collect(),
            refusals: add_up(&pages),
        }
    }

    /// Asks the routers with these numbers and holds what they tell.
    ///
    /// Where they disagree about another router, the higher revision is the
    /// later news, and a router's own word goes before that of others.
    async fn ask(&self, numbers: &[usize], timeout: time::Duration) -> Vec<Page> {
        let deadline = time::Instant::now() + timeout;
        let mut asked = task::JoinSet::new();
        for &number in numbers {
            let client = Arc::clone(&self.clients[number]);
            asked.spawn(async move { (number, ask(&client, deadline).await) });
        }
        let mut pages = Vec::new();
        let mut size = 0;
        while let Some(Ok((number, answer))) = asked.join_next().await {
            self.note_zone(number, answer.as_ref().map(|(page, _)| page.zone.clone()));
            if let Some((page, bytes)) = answer {
                size = size.max(bytes);
                pages.push(page);
            }
        }
        // Answers come in any order; the view must not depend on it.
        pages.sort_by(|a: &Page, b: &Page| a.host.cmp(&b.host));
        if !pages.is_empty() {
            self.hold(merge(&pages), size);
        }
        pages
    }

    fn hold(&self, routers: Vec<Router>, size: u64) {
        self.view.send_replace(View {
            routers: Arc::new(routers),
            told: Some(time::Instant::now()),
            size,
        });
    }

    fn zones(&self) -> Vec<Option<availability::Zone>> {
        self.lock_zones().clone()
    }

    fn note_zone(&self, number: usize, zone: Option<availability::Zone>) {
        self.lock_zones()[number] = zone;
    }

    fn lock_zones(&self) -> MutexGuard<'_, Vec<Option<availability::Zone>>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The numbers of the routers to ask: one of each zone in turn, and those whose
/// zone is not known, since they have not answered.
fn choose(zones: &[Option<availability::Zone>], turn: usize) -> Vec<usize> {
    let mut known: BTreeMap<&availability::Zone, Vec<usize>> = BTreeMap::new();
    let mut chosen = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        match zone {
            Some(zone) => known.entry(zone).or_default().push(number),
            None => chosen.push(number),
        }
    }
    chosen.extend(known.values().map(|numbers| numbers[turn % numbers.len()]));
    chosen.truncate(MAX_SURVEY);
    chosen
}

/// The time between two looks whose answers have `size` bytes, so that the
/// router that is asked most often stays within the budget.
pub fn pause(size: u64, zones: &[Option<availability::Zone>]) -> time::Duration {
    let mut counts: BTreeMap<&availability::Zone, u64> = BTreeMap::new();
    for zone in zones.iter().flatten() {
        *counts.entry(zone).or_default() += 1;
    }
    let fewest = counts.into_values().min().unwrap_or(1);
    time::Duration::from_millis(size.saturating_mul(1_000) / BUDGET.saturating_mul(fewest))
}

/// What a router tells, and the size of its answer in bytes.
async fn ask(client: &http::Client, deadline: time::Instant) -> Option<(Page, u64)> {
    let request = http::request(Method::GET, PATH, Bytes::new()).ok()?;
    let answer = client.call(request, deadline).await.ok()?;
    let page = http::parse(&answer).ok()?;
    Some((page, answer.body.len() as u64))
}

fn merge(pages: &[Page]) -> Vec<Router> {
    let mut routers: BTreeMap<host::Id, Router> = BTreeMap::new();
    for router in pages.iter().flat_map(Page::routers) {
        match routers.get(&router.host) {
            Some(known) if known.revision >= router.revision => {}
            _ => drop(routers.insert(router.host.clone(), router)),
        }
    }
    for router in pages.iter().filter_map(|page| page.routers().pop()) {
        routers.insert(router.host.clone(), router);
    }
    routers.into_values().collect()
}

fn add_up(pages: &[Page]) -> Vec<Refusals> {
    let mut counts: BTreeMap<(String, String), u64> = BTreeMap::new();
    for refusals in pages.iter().flat_map(|page| &page.refusals) {
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
