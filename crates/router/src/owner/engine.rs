//! One backend server and what its owner knows of it.

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
    message::{Shape, Usage},
    probe::{Pace, Probe},
};
use crate::{
    backend::{Connection, load},
    metrics::Metrics,
    status,
    view::Target,
};
use offer::{Waiting, busy};
use service::{Learned, Presence, Service};

/// The most idle connections that are kept for one server.
const MAX_IDLE: usize = 32;
/// How long an earlier owner may still admit work to a server that was taken
/// over, until all routers agree on the new one.
const OVERLAP: Duration = Duration::from_millis(1500);
/// The run time from which a call counts in full for the limit of a plain service.
const SERVICE_GROWTH_TIME: Duration = Duration::from_millis(10);
/// Where messages to the owner task go.
type Sender = mpsc::UnboundedSender<Message>;

/// Who owned a server before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Earlier {
    /// A router that runs, and may not yet know that it lost the server; its address.
    Live(net::SocketAddr),
    /// Nobody, or a router that is down.
    Gone,
}

/// The chat of an attempt and how long its context is.
#[derive(Clone, Copy, Debug)]
struct Context {
    chat: Option<chat::Key>,
    tokens: u32,
    shape: Shape,
}

/// One backend server.
#[derive(Debug)]
pub struct Engine {
    /// What the configuration says of it.
    pub target: Target,
    /// What it takes.
    pub admission: admission::Server,
    metrics: Arc<Metrics>,
    waiting: BTreeMap<request::Attempt, Waiting>,
    running: BTreeMap<request::Attempt, Context>,
    service: Service,
    /// What was learned of the server before it was closed.
    learned: Option<Learned>,
    /// Until when a lost server is remembered for its next owner.
    kept_until: time::Instant,
    presence: Presence,
    shared: hop::Load,
    warmth: placement::CacheIndex,
    bound: placement::Bound,
    placement: placement::Settings,
    boot: Option<String>,
    reports: bool,
    probe: Option<Probe>,
    idle: Vec<Connection>,
}

impl Engine {
    /// A server that this router begins to own. It counts as cold.
    pub fn new(
        target: Target,
        declared: &resource::Pool,
        earlier: Earlier,
        metrics: Arc<Metrics>,
        now: time::Instant,
    ) -> Self {
        let settings = settings(declared);
        let placement = crate::view::settings(declared);
        Self {
            target,
            metrics,
            admission: match earlier {
                Earlier::Live(_) => admission::Server::taking_over(settings, now + OVERLAP, now),
                Earlier::Gone => admission::Server::new(settings, now),
            },
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            service: Service::Open,
            learned: None,
            kept_until: time::Instant::ZERO,
            presence: Presence::There,
            shared: hop::Load::default(),
            warmth: placement::CacheIndex::new(placement.clone()),
            bound: placement::Bound::new(placement.clone()),
            placement,
            boot: None,
            reports: declared.reports_load,
            probe: None,
            idle: Vec::new(),
        }
    }

    /// Takes over what the configuration says now.
    pub fn update(&mut self, target: &Target, declared: &resource::Pool) {
        if self.target.address != target.address {
            self.idle.clear();
            self.boot = None;
            self.probe = None;
        }
        self.target = target.clone();
        self.reports = declared.reports_load;
    }

    /// What the server adds to the load of its pool, of which the mean is known.
    pub fn counted(&self, mean: f64) -> TotalLoad {
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

    /// Whether the server gets new work from this router.
    pub fn is_open(&self) -> bool {
        self.service == Service::Open
    }

    /// Sets what this router's servers of the pool carry together.
    pub fn share(&mut self, own: TotalLoad) {
        self.shared = hop::Load {
            requests: own.requests,
            weight: own.weight,
        };
    }

    /// What this router's servers of the pool carry together, where it owns the server.
    pub fn shared(&self) -> Option<hop::Load> {
        self.is_owned().then_some(self.shared)
    }

    /// Notes that an attempt ended.
    pub fn ended(&mut self, ended: &Ended, now: time::Instant) -> Actions {
        let outcome = match ended.outcome {
            Outcome::Completed => admission::Outcome::Completed {
                first_token_at: ended.first_byte_at,
                ended_at: ended.ended_at,
            },
            Outcome::Failed | Outcome::Unreachable | Outcome::Late => admission::Outcome::Failed,
            Outcome::Cancelled => admission::Outcome::Cancelled,
        };
        let context = self.running.remove(&ended.attempt);
        let mut actions = self.admission.finish(ended.attempt, outcome, now);
        match (ended.outcome, context) {
            (Outcome::Unreachable, _) => actions.extend(self.leave(now)),
            (Outcome::Completed, Some(context)) => self.served(context, ended.usage, now),
            _ => {}
        }
        actions
    }

    /// Takes in a load report, or that there was none.
    pub fn reported(
        &mut self,
        report: Result<load::Report, load::Error>,
        now: time::Instant,
    ) -> Actions {
        match report {
            Ok(report) => {
                let mut actions = self.arrive(now);
                let boot = xxh3::xxh3_64(report.boot.as_bytes());
                self.warmth.observe_boot(placement::cache::BootId(boot));
                let heard = admission::Report {
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
                actions.extend(self.admission.report(heard, now));
                actions
            }
            Err(load::Error::Connect(_)) => self.leave(now),
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

    /// Checks deadlines.
    pub fn tick(&mut self, now: time::Instant) -> Actions {
        self.idle.retain(Connection::is_usable);
        let is_over = |waiting: &Waiting| waiting.reply.is_closed() || waiting.until <= now;
        let over: Vec<request::Attempt> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_over(waiting))
            .map(|(attempt, _)| *attempt)
            .collect();
        let mut actions = Actions::new();
        for attempt in over {
            actions.extend(self.admission.cancel(attempt, now));
            if let Some(waiting) = self.waiting.remove(&attempt) {
                self.refuse(waiting, busy(&self.target, now));
            }
        }
        actions.extend(self.admission.tick(now));
        actions
    }

    /// Sets the most requests that the server may carry by its pool's mean.
    pub fn set_bound(&mut self, requests: u32, now: time::Instant) -> Actions {
        let bound = admission::Bound {
            requests: Some(requests),
            cost: None,
        };
        self.admission.set_bound(bound, now)
    }

    /// Whether the server is asked for its load.
    pub fn is_probed(&self) -> bool {
        self.probe.is_some()
    }

    /// Starts or ends the questions for the server's load.
    pub fn probe(&mut self, pace: &Pace, owner: &Sender) {
        if !self.reports || !self.is_owned() {
            self.probe = None;
        } else if self.probe.is_none() {
            let server = self.target.server.clone();
            let probe = Probe::start(server, self.target.address, pace, owner.clone());
            self.probe = Some(probe);
        }
    }

    /// Keeps a connection for the next request.
    pub fn keep(&mut self, connection: Connection) {
        if self.idle.len() < MAX_IDLE {
            self.idle.push(connection);
        }
    }

    /// An idle connection that can be used again.
    fn idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Notes that the server has a chat's context in its cache.
    ///
    /// What the engine says of its use of tokens corrects what was expected. Its
    /// cache events are not read: at the planned size they alone would take up
    /// what a router may spend on control traffic.
    fn served(&mut self, context: Context, usage: Option<Usage>, now: time::Instant) {
        let tokens = usage.map_or(context.tokens, |usage| usage.prompt + usage.output);
        if let Some(chat) = context.chat {
            self.warmth.record_served(chat, tokens, now);
        }
    }

    /// The server's state for the status page.
    pub fn status(&self, now: time::Instant) -> status::Engine {
        let snapshot = self.admission.snapshot(now);
        let state = match (self.service, self.presence) {
            (Service::Open, Presence::Away(_)) => "away",
            (Service::Open, Presence::There) => match snapshot.state {
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

/// The settings of admission for a server of a pool.
fn settings(declared: &resource::Pool) -> admission::Settings {
    let engine = admission::Settings {
        max_concurrency: declared.max_concurrency,
        ..admission::Settings::default()
    };
    match declared.kind {
        resource::Kind::Engine => engine,
        // Calls to plain services are short, and so is their start.
        resource::Kind::Service => admission::Settings {
            full_growth_run_time: SERVICE_GROWTH_TIME,
            ..engine
        },
    }
}
