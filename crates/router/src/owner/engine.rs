//! State that the owner keeps of one backend server.

mod offer;
mod service;

use std::{collections::BTreeMap, net, sync::Arc, time::Duration};

use admission::Actions;
use config::resource;
use placement::TotalLoad;
use tokio::sync::mpsc;
use units::{chat, request, time};
use wire::hop;
use xxhash_rust::xxh3;

use super::{
    Ended, Message, Outcome,
    message::{Delivery, Usage},
    probe::{Probe, Schedule},
};
use crate::{
    backend::{Connection, load},
    metrics::Metrics,
    status,
    view::Target,
};
use offer::{Waiter, busy};
use service::{Learned, Reachability, Service};

/// Maximum number of idle connections kept per server.
const MAX_IDLE: usize = 32;
/// How long the previous owner of an acquired server may still admit requests
/// to it, until all routers agree on the new owner.
const OVERLAP: Duration = Duration::from_millis(1500);
/// Run time from which a call counts in full for the growth of a plain
/// service's limit.
const SERVICE_GROWTH_TIME: Duration = Duration::from_millis(10);
/// Sender of messages to the owner task.
type Sender = mpsc::UnboundedSender<Message>;

/// The previous owner of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Predecessor {
    /// A live router that may not know yet that it lost the server; its
    /// address.
    Live(net::SocketAddr),
    /// The server had no owner, or its owner is down.
    Gone,
}

/// The chat of an attempt, the estimated length of its context in tokens, and
/// how its response is delivered.
#[derive(Clone, Copy, Debug)]
struct Context {
    chat: Option<chat::Key>,
    tokens: u32,
    delivery: Delivery,
}

/// One backend server: an engine or a plain service.
#[derive(Debug)]
pub struct Engine {
    /// Its address, zone and state by the configuration and the host list.
    pub target: Target,
    /// Admission control for the server.
    pub admission: admission::Server,
    metrics: Arc<Metrics>,
    waiting: BTreeMap<request::Attempt, Waiter>,
    running: BTreeMap<request::Attempt, Context>,
    service: Service,
    /// State saved when the server was closed, for its reopening.
    learned: Option<Learned>,
    /// Until when the state of a lost server is kept for its next owner.
    retain_until: time::Instant,
    reachability: Reachability,
    pool_load: hop::Load,
    cache_index: placement::CacheIndex,
    bound: placement::Bound,
    placement: placement::Settings,
    boot: Option<String>,
    reports_load: bool,
    probe: Option<Probe>,
    idle: Vec<Connection>,
}

impl Engine {
    /// Creates the state of a server that this router acquires. It counts as
    /// cold.
    pub fn new(
        target: Target,
        declared: &resource::Pool,
        predecessor: Predecessor,
        metrics: Arc<Metrics>,
        now: time::Instant,
    ) -> Self {
        let settings = settings(declared);
        let placement = crate::view::placement_settings(declared);
        Self {
            target,
            metrics,
            admission: match predecessor {
                Predecessor::Live(_) => {
                    admission::Server::taking_over(settings, now + OVERLAP, now)
                }
                Predecessor::Gone => admission::Server::new(settings, now),
            },
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            service: Service::Open,
            learned: None,
            retain_until: time::Instant::ZERO,
            reachability: Reachability::Reachable,
            pool_load: hop::Load::default(),
            cache_index: placement::CacheIndex::new(placement.clone()),
            bound: placement::Bound::new(placement.clone()),
            placement,
            boot: None,
            reports_load: declared.reports_load,
            probe: None,
            idle: Vec::new(),
        }
    }

    /// Applies the current configuration.
    pub fn update(&mut self, target: &Target, declared: &resource::Pool) {
        if self.target.address != target.address {
            self.idle.clear();
            self.boot = None;
            self.probe = None;
        }
        self.target = target.clone();
        self.reports_load = declared.reports_load;
    }

    /// The server's contribution to the load of its pool, given the pool's mean
    /// load.
    pub fn load_contribution(&self, mean: f64) -> TotalLoad {
        let limit = self.admission.handover().limit;
        TotalLoad::contribution(self.in_flight(), self.target.weight, limit, mean)
    }

    /// Whether this router owns the server.
    pub fn is_owned(&self) -> bool {
        self.service != Service::Lost
    }

    /// Requests in flight through this router.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Whether this router admits new requests to the server.
    pub fn is_open(&self) -> bool {
        self.service == Service::Open
    }

    /// Sets the total load of this router's servers in the pool.
    pub fn set_pool_load(&mut self, own: TotalLoad) {
        self.pool_load = hop::Load {
            requests: own.requests,
            weight: own.weight,
        };
    }

    /// The total load of this router's servers in the pool; `None` if it does
    /// not own this server.
    pub fn pool_load(&self) -> Option<hop::Load> {
        self.is_owned().then_some(self.pool_load)
    }

    /// Records the end of an attempt.
    pub fn ended(&mut self, ended: &Ended, now: time::Instant) -> Actions {
        let outcome = match ended.outcome {
            Outcome::Completed => admission::Outcome::Completed {
                first_token_at: ended.first_byte_at,
                ended_at: ended.ended_at,
            },
            Outcome::Failed | Outcome::Unreachable | Outcome::DeadlineExceeded => {
                admission::Outcome::Failed
            }
            Outcome::Cancelled => admission::Outcome::Cancelled,
        };
        let context = self.running.remove(&ended.attempt);
        let mut actions = self.admission.finish(ended.attempt, outcome, now);
        match (ended.outcome, context) {
            (Outcome::Unreachable, _) => actions.extend(self.mark_unreachable(now)),
            (Outcome::Completed, Some(context)) => self.record_served(context, ended.usage, now),
            _ => {}
        }
        actions
    }

    /// Handles the result of a load probe.
    pub fn reported(
        &mut self,
        report: Result<load::Report, load::Error>,
        now: time::Instant,
    ) -> Actions {
        match report {
            Ok(report) => {
                let mut actions = self.mark_reachable(now);
                let boot = xxh3::xxh3_64(report.boot.as_bytes());
                self.cache_index
                    .observe_boot(placement::cache::BootId(boot));
                let received = admission::Report {
                    boot,
                    seq: report.seq,
                    running: report.running,
                    waiting: report.waiting,
                    capacity: report.capacity,
                };
                if self.boot.as_ref() != Some(&report.boot) {
                    self.idle.clear();
                    self.boot = Some(report.boot);
                }
                actions.extend(self.admission.report(received, now));
                actions
            }
            Err(load::Error::Connect(_)) => self.mark_unreachable(now),
            Err(error) => {
                logging::event!(
                    debug,
                    "probe_failed",
                    server = self.target.server,
                    error = error
                );
                Actions::new()
            }
        }
    }

    /// Drops unusable idle connections, refuses queued offers whose caller has gone
    /// or whose queue deadline has passed, and runs admission's timers.
    pub fn tick(&mut self, now: time::Instant) -> Actions {
        self.idle.retain(Connection::is_usable);
        let is_expired =
            |waiting: &Waiter| waiting.reply.is_closed() || waiting.queue_deadline <= now;
        let expired: Vec<request::Attempt> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_expired(waiting))
            .map(|(attempt, _)| *attempt)
            .collect();
        let mut actions = Actions::new();
        for attempt in expired {
            actions.extend(self.admission.cancel(attempt, now));
            if let Some(waiting) = self.waiting.remove(&attempt) {
                self.refuse(waiting, busy(&self.target, now));
            }
        }
        actions.extend(self.admission.tick(now));
        actions
    }

    /// Sets the maximum number of requests that the server may have, as derived
    /// from the mean load of its pool.
    pub fn set_bound(&mut self, requests: u32, now: time::Instant) -> Actions {
        let bound = admission::Bound {
            requests: Some(requests),
            cost: None,
        };
        self.admission.set_bound(bound, now)
    }

    /// Whether the server is probed for its load.
    pub fn is_probed(&self) -> bool {
        self.probe.is_some()
    }

    /// Starts or stops probing the server for its load.
    pub fn probe(&mut self, schedule: &Schedule, owner: &Sender) {
        if !self.reports_load || !self.is_owned() {
            self.probe = None;
        } else if self.probe.is_none() {
            let server = self.target.server.clone();
            let probe = Probe::start(server, self.target.address, schedule, owner.clone());
            self.probe = Some(probe);
        }
    }

    /// Keeps an idle connection to `address` for reuse, unless the server has a
    /// new address.
    pub fn store_connection(&mut self, connection: Connection, address: net::SocketAddr) {
        if address == self.target.address && self.idle.len() < MAX_IDLE {
            self.idle.push(connection);
        }
    }

    /// Takes an idle connection that is still usable.
    fn take_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Records that the server has a chat's context in its cache.
    ///
    /// The token usage reported by the engine replaces the estimate. The
    /// engine's cache events are not read: at the planned size of a deployment
    /// they alone would use up a router's budget for control traffic.
    fn record_served(&mut self, context: Context, usage: Option<Usage>, now: time::Instant) {
        let tokens = usage.map_or(context.tokens, |usage| usage.prompt + usage.output);
        if let Some(chat) = context.chat {
            self.cache_index.record_served(chat, tokens, now);
        }
    }

    /// The server's state for the status page.
    pub fn status(&self, now: time::Instant) -> status::Engine {
        let snapshot = self.admission.snapshot(now);
        let state = match (self.service, self.reachability) {
            (Service::Open, Reachability::Unreachable(_)) => "away",
            (Service::Open, Reachability::Reachable) => match snapshot.state {
                admission::State::Cold => "cold",
                admission::State::Warm => "warm",
                admission::State::Doubt => "doubt",
                admission::State::Takeover => "takeover",
                admission::State::Stopped => "stopped",
            },
            (service, _) => self.state_name(service),
        };
        status::Engine {
            name: self.target.server.clone(),
            zone: self.target.zone.clone(),
            in_flight: snapshot.in_flight,
            limit: snapshot.limit,
            queued: snapshot.queued,
            state: String::from(state),
        }
    }

    fn state_name(&self, service: Service) -> &'static str {
        match service {
            Service::Open => "open",
            Service::Closed => "closed",
            Service::Lost => "lost",
        }
    }
}

/// The admission settings for a server of a pool.
fn settings(declared: &resource::Pool) -> admission::Settings {
    let engine = admission::Settings {
        max_concurrency: declared.max_concurrency,
        ..admission::Settings::default()
    };
    match declared.kind {
        resource::Kind::Engine => engine,
        // Calls to plain services are short, and so is their warm-up.
        resource::Kind::Service => admission::Settings {
            full_growth_run_time: SERVICE_GROWTH_TIME,
            ..engine
        },
    }
}
