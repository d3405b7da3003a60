//! The dispatch task: holds the state of all backend servers and places requests on
//! them.

mod advisories;
mod crashes;
mod failures;
mod load_reports;
mod message;
mod paths;
mod peers;
mod permit;
mod quarantine;
mod requests;
mod rollouts;
mod usages;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use recovery::quarantine::Combination;
use tokio::{
    sync::{mpsc, watch},
    time,
};
use units::{backend, host, pool, request, time::Instant};

pub use message::{
    AcquireRequest, Announcement, Dial, Load, LoadReport, Location, Message, PeerUpdate, Progress,
    Refusal, RefusedParts, Reply, ResponseProgress, Ticket, TrialTicket,
};
pub use permit::{Permit, Refused, Withdrawals};

use crate::{
    clock::Clock,
    connector::Connector,
    crashes::{Sign, Tracker},
    egress::Egresses,
    load::{self, growth::Estimator},
    metrics::Metrics,
    pause,
    pool::{Fleet, Pool},
    prefixes::PrefixUpdates,
    probe::{self, Probe},
    protocol::Protocol,
    quarantine::Backlog,
    queue::Queue,
    reach, retry_budget,
    roster::Roster,
    route::Table,
    settings::{Bounds, Settings},
    status,
};

/// How long aggregated loads replace the loads reported by individual peers.
const AGGREGATE_TTL: Duration = Duration::from_millis(800);

/// How long all servers are treated as cold after the process was paused.
///
/// Changes during the pause arrive within three gossip rounds of 200 ms, either in
/// responses of the store that are already buffered in sockets or from other routers.
const COLD_AFTER_PAUSE: Duration = Duration::from_millis(600);

/// The dispatch task and its state.
#[derive(Debug)]
pub struct Dispatch {
    clock: Clock,
    metrics: Arc<Metrics>,
    settings: Settings,
    sender: mpsc::UnboundedSender<Message>,
    table: Arc<Table>,
    queues: BTreeMap<pool::Id, Queue>,
    retry_budgets: HashMap<pool::Id, retry_budget::Budget>,
    fleet: Fleet,
    pending: HashMap<request::Attempt, (AcquireRequest, Reply)>,
    attempts: u64,
    peer_loads: BTreeMap<host::Id, Vec<load::Load>>,
    /// The loads of all other routers, as sent by aggregators; valid until
    /// `aggregate_until`.
    aggregate: Vec<load::Load>,
    aggregate_until: Instant,
    /// What others have placed since their last sum, by service.
    estimators: BTreeMap<pool::Id, Estimator>,
    estimate_at: Instant,
    /// The requests at servers that `aggregate` does not name.
    aggregate_buckets: load::buckets::Buckets,
    crashes: Tracker,
    /// Signals that there is news of requests that crash servers.
    crash_news: watch::Sender<()>,
    /// The requests that are refused, for those that are connecting to a server.
    refused: watch::Sender<Arc<Refused>>,
    /// The prompt parts that are refused according to the store.
    recorded_parts: BTreeSet<Combination>,
    /// The requests that this router has refused because of their parts.
    part_refusals: BTreeMap<Combination, quarantine::Refusals>,
    /// The request that is let through although parts of its prompt are refused, until it has
    /// a slot.
    part_trial: Option<request::Fingerprint>,
    /// The number of requests for a slot so far.
    acquisitions: u64,
    /// What differs between them and the parts that this router refuses.
    backlog: watch::Sender<Arc<Backlog>>,
    /// The servers that are being probed, by name and incarnation.
    probed: BTreeSet<(backend::Server, u64)>,
    probes: mpsc::UnboundedSender<Probe>,
    probe_receiver: Option<mpsc::UnboundedReceiver<Probe>>,
    /// Prefixes that servers have cached for requests of this router.
    prefixes: PrefixUpdates,
    pauses: pause::Detector,
    rollouts: rollouts::Rollouts,
    /// Whether this router reaches the servers of each service.
    reach: BTreeMap<pool::Id, reach::Tracker>,
    /// The routers that may connect to servers for this one.
    egresses: Egresses,
    /// Failures at servers that are being probed.
    held_failures: Vec<failures::Failure>,
}

impl Dispatch {
    /// Creates a task without servers, together with both ends of its message channel.
    pub fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        settings: Settings,
    ) -> (
        Self,
        mpsc::UnboundedSender<Message>,
        mpsc::UnboundedReceiver<Message>,
    ) {
        let (sender, messages) = mpsc::unbounded_channel();
        let (probes, probe_receiver) = mpsc::unbounded_channel();
        let dispatch = Self {
            clock,
            metrics,
            fleet: Fleet {
                own: settings.host.clone(),
                members: Vec::new(),
            },
            settings,
            sender: sender.clone(),
            table: Arc::default(),
            queues: BTreeMap::new(),
            retry_budgets: HashMap::new(),
            pending: HashMap::new(),
            attempts: 0,
            peer_loads: BTreeMap::new(),
            aggregate: Vec::new(),
            aggregate_until: Instant::ZERO,
            estimators: BTreeMap::new(),
            estimate_at: Instant::ZERO,
            aggregate_buckets: load::buckets::Buckets::default(),
            crashes: Tracker::default(),
            crash_news: watch::channel(()).0,
            refused: watch::Sender::default(),
            recorded_parts: BTreeSet::new(),
            part_refusals: BTreeMap::new(),
            part_trial: None,
            acquisitions: 0,
            backlog: watch::Sender::default(),
            probed: BTreeSet::new(),
            probes,
            probe_receiver: Some(probe_receiver),
            prefixes: PrefixUpdates::default(),
            pauses: pause::Detector::default(),
            rollouts: rollouts::Rollouts::default(),
            reach: BTreeMap::new(),
            egresses: Egresses::default(),
            held_failures: Vec::new(),
        };
        (dispatch, sender, messages)
    }

    /// Changes when there is news of requests that crash servers.
    pub fn crash_news(&self) -> watch::Receiver<()> {
        self.crash_news.subscribe()
    }

    /// What differs between the refused parts and those that the store lists.
    pub fn backlog(&self) -> watch::Receiver<Arc<Backlog>> {
        self.backlog.subscribe()
    }

    /// Runs until all senders of messages are dropped.
    pub async fn run<P: Protocol>(
        mut self,
        connector: Connector<P>,
        mut messages: mpsc::UnboundedReceiver<Message>,
    ) {
        let mut pause_checks = time::interval(pause::CHECK_INTERVAL);
        pause_checks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        if let Some(probes) = self.probe_receiver.take() {
            tokio::spawn(probe::run(connector, probes, self.sender.clone()));
        }
        loop {
            let wake = self.next_wake();
            let at = self.clock.at(wake.unwrap_or(Instant::NEVER));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = time::sleep_until(at), if wake.is_some() => {
                    self.dequeue_all();
                    self.decide_parts(self.clock.now());
                }
                _ = pause_checks.tick() => {
                    let now = self.clock.now();
                    self.detect_pause(now);
                    self.forget_failures(now);
                    self.expire_shutdowns(now);
                    self.probe_paths(now);
                }
            }
        }
    }

    /// Detects that the process was paused. The state of all servers is stale after
    /// that.
    fn detect_pause(&mut self, now: Instant) {
        let Some(pause) = self.pauses.check(now) else {
            return;
        };
        let until = now + COLD_AFTER_PAUSE;
        logging::event!(warn, "paused", pause_ms = pause.as_millis());
        for queue in self.queues.values_mut() {
            queue.pool_mut().assume_cold_until(until);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let queues = self.queues.values().filter_map(Queue::next_wake);
        queues.chain(self.crashes.next_decision()).min()
    }

    /// Processes one message.
    pub fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        self.detect_pause(now);
        self.update_estimates(now);
        match message {
            Message::Acquire(request, reply) => self.acquire(request, reply, now),
            Message::FirstByte(ticket) => self.first_byte(&ticket, now),
            Message::ResponseProgress(progress) => self.record_progress(&progress),
            Message::Announcement(announcement) => self.announced(&announcement, now),
            Message::Ended(ticket, outcome) => self.ended(&ticket, outcome, now),
            Message::Stalled(ticket) => self.record_sign(Sign::Silent, &ticket, now),
            Message::Probed(probe, liveness) => self.probed(&probe, liveness, now),
            Message::Roster(roster) => self.set_roster(&roster),
            Message::Table(table) => self.set_table(table),
            Message::Members(members) => self.set_members(&members),
            Message::Locate(server, incarnation, reply) => {
                // The receiver may have been dropped.
                drop(reply.send(self.locate(&server, incarnation, now)));
            }
            Message::Dialed(dial) => self.record_dial(&dial, now),
            Message::Peer(host, loads) => {
                self.egresses.set_silent(&host, false);
                self.set_peer_loads(host, loads, now);
            }
            Message::Aggregate(loads) => {
                self.aggregate = loads;
                self.aggregate_until = now + AGGREGATE_TTL;
                self.sum_peers();
            }
            Message::AggregateBuckets(buckets) => self.aggregate_buckets = buckets,
            Message::PeerLost(host) => {
                self.egresses.set_silent(&host, true);
                self.peer_loads.remove(&host);
                self.sum_peers();
            }
            Message::LoadReport(report) => self.record_load_report(&report, now),
            Message::PeerLoadReports(reports) => self.record_peer_load_reports(&reports, now),
            Message::PeerUsages(usages) => self.set_peer_usages(&usages, now),
            Message::Bounds(bounds) => self.set_bounds(bounds),
            Message::Orders(orders) => self.set_orders(orders),
            Message::Stage(pool, revision, stage) => self.set_stage(&pool, revision, stage, now),
            Message::UpToDate(is_up_to_date) => self.set_up_to_date(is_up_to_date),
            Message::ThrottledUntil(pool, reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.throttled_until(&pool, now));
            }
            // The receiver may have been dropped.
            Message::Progress(reply) => drop(reply.send(self.progress())),
            Message::Reports(reports) => self.merge_reports(&reports, now),
            Message::PartReports(reports) => self.merge_part_reports(reports, now),
            Message::Quarantine(recorded) => self.set_quarantine(&recorded, now),
            // The receivers may have been dropped.
            Message::RefusedParts(reply) => drop(reply.send(self.refused_parts())),
            Message::LiftParts(parts, reply) => drop(reply.send(self.lift_parts(&parts, now))),
            Message::CachedPrefixes(prefixes) => self.add_peer_prefixes(&prefixes, now),
            Message::PeerUpdate(reply) => {
                let update = PeerUpdate {
                    loads: self.loads(),
                    reports: self.crashes.reports(now),
                    parts: self.crashes.part_reports(now),
                    prefixes: self.prefixes.updates(now),
                    load_reports: self.shared_load_reports(now),
                    usages: self.usages(now),
                };
                drop(reply.send(update));
            }
            // The receiver may have been dropped.
            Message::Status(reply) => drop(reply.send(self.report(now))),
        }
        self.apply_crash_news(now);
    }

    fn set_roster(&mut self, roster: &Roster) {
        self.record_ended_incarnations(roster);
        let mut names: Vec<pool::Id> = self.queues.keys().cloned().collect();
        names.extend(roster.all().map(|(entry, _)| entry.pool.clone()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let queue = self.queues.entry(name.clone()).or_insert_with(|| {
                let mut pool = Pool::new(self.settings.zone.clone(), self.settings.bounds);
                if let Some(service) = self.table.services.get(&name) {
                    pool.set_service(service.clone());
                }
                pool.set_routes(self.table.routes_to(&name));
                self.rollouts.apply(&name, &mut pool);
                let mut queue = Queue::new(pool);
                queue.set_ranks(self.table.ranks(&name).into_iter());
                queue
            });
            let pool = queue.pool_mut();
            pool.set_reading(roster.reading());
            let records = roster.records().and_then(|records| records.get(&name));
            pool.set_records(records.cloned().unwrap_or_default());
            pool.set_servers(roster.all().filter(|(entry, _)| entry.pool == name));
        }
        self.sum_peers();
    }

    fn set_table(&mut self, table: Arc<Table>) {
        for (name, service) in &table.services {
            if let Some(queue) = self.queues.get_mut(name) {
                queue.pool_mut().set_service(service.clone());
                queue.pool_mut().set_routes(table.routes_to(name));
            }
        }
        for (name, queue) in &mut self.queues {
            queue.set_ranks(table.ranks(name).into_iter());
        }
        self.table = table;
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.settings.bounds = bounds;
        self.retry_budgets.clear();
        for queue in self.queues.values_mut() {
            queue.pool_mut().set_bounds(bounds);
        }
    }

    fn report(&self, now: Instant) -> status::Report {
        let rows = self.queues.iter().flat_map(|(name, queue)| {
            let pool = queue.pool();
            let bound = pool.bound(now);
            let servers = pool.servers();
            servers.map(move |server| {
                let standing = pool.standing(server.name(), now);
                status::Row::new(name, server, bound, standing, now)
            })
        });
        let queued = self.queues.iter();
        status::Report {
            servers: rows.collect(),
            queued: queued
                .map(|(name, queue)| (name.clone(), queue.len()))
                .collect(),
            members: self.fleet.members.len(),
            reporting_peers: self.peer_loads.len(),
        }
    }
}
