//! The dispatch task: holds the state of all backend servers and places requests on
//! them.

mod advisories;
mod crashes;
mod failures;
mod message;
mod paths;
mod peers;
mod permit;
mod rollouts;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::{
    sync::{mpsc, watch},
    time,
};
use units::{backend, host, pool, request, time::Instant};

pub use message::{
    AcquireRequest, Announcement, Dial, Load, Location, Message, PeerUpdate, Progress, Refusal,
    Reply, Ticket, TrialTicket,
};
pub use permit::{Permit, Withdrawals};

use crate::{
    clock::Clock,
    connector::Connector,
    crashes::{Sign, Tracker},
    egress::Egresses,
    load,
    metrics::Metrics,
    pause,
    pool::{Fleet, Outcome, Part, Placement, Pool, Standing},
    prefixes::{self, PrefixUpdates},
    probe::{self, Probe},
    protocol::Protocol,
    queue::{self, Admission, Queue},
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
    crashes: Tracker,
    /// Signals that there is news of requests that crash servers.
    crash_news: watch::Sender<()>,
    /// The requests that are refused, for those that are connecting to a server.
    refused: watch::Sender<Arc<BTreeSet<request::Fingerprint>>>,
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
            crashes: Tracker::default(),
            crash_news: watch::channel(()).0,
            refused: watch::Sender::default(),
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
                () = time::sleep_until(at), if wake.is_some() => self.dequeue_all(),
                _ = pause_checks.tick() => {
                    let now = self.clock.now();
                    self.detect_pause(now);
                    self.forget_failures(now);
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
        self.queues.values().filter_map(Queue::next_wake).min()
    }

    /// Processes one message.
    pub fn handle_message(&mut self, message: Message) {
        let now = self.clock.now();
        self.detect_pause(now);
        match message {
            Message::Acquire(request, reply) => self.acquire(request, reply, now),
            Message::FirstByte(ticket) => self.first_byte(&ticket, now),
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
            Message::PeerLost(host) => {
                self.egresses.set_silent(&host, true);
                self.peer_loads.remove(&host);
                self.sum_peers();
            }
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
            Message::CachedPrefixes(prefixes) => self.add_peer_prefixes(&prefixes, now),
            Message::PeerUpdate(reply) => {
                let update = PeerUpdate {
                    loads: self.loads(),
                    reports: self.crashes.reports(now),
                    prefixes: self.prefixes.updates(now),
                };
                drop(reply.send(update));
            }
            // The receiver may have been dropped.
            Message::Status(reply) => drop(reply.send(self.report(now))),
        }
        self.apply_crash_news(now);
    }

    fn acquire(&mut self, mut request: AcquireRequest, reply: Reply, now: Instant) {
        if self.crashes.is_refused(request.fingerprint, now) {
            send_reply(reply, Err(Refusal::Suspect));
            return;
        }
        if request.is_retry && !self.withdraw_retry(&request.pool, now) {
            send_reply(reply, Err(Refusal::RetryBudget));
            return;
        }
        if let Some(retry_at) = self.no_path_until(&request, now) {
            send_reply(reply, Err(Refusal::NoPath(retry_at)));
            return;
        }
        self.exclude_unreached(&mut request);
        request.demand.preference = self.rollouts.preference(&request, now);
        let Some(queue) = self.queues.get_mut(&request.pool) else {
            send_reply(reply, Err(Refusal::Unknown));
            return;
        };
        self.attempts += 1;
        let queue_request = queue::Request {
            attempt: request::Attempt(self.attempts),
            workspace: request.workspace.clone(),
            cost: request.cost,
            rank: request.rank,
            latest_start: request.latest_start,
            demand: request.demand.clone(),
        };
        let attempt = queue_request.attempt;
        match queue.submit(queue_request, &self.fleet, now) {
            Admission::Placed(placement) => {
                let permit = self.permit(request, *placement, now);
                send_reply(reply, Ok(permit));
            }
            Admission::Refused(refusal) => send_reply(reply, Err(Refusal::Denied(refusal))),
            Admission::Queued => {
                self.pending.insert(attempt, (request, reply));
            }
        }
    }

    /// Takes a retry from this router's share of the retry budget.
    fn withdraw_retry(&mut self, pool: &pool::Id, now: Instant) -> bool {
        let members = self.fleet.members.len();
        // A router that has not registered does not know its share.
        members > 0 && self.retry_budget(pool, now).withdraw(members, now)
    }

    fn retry_budget(&mut self, pool: &pool::Id, now: Instant) -> &mut retry_budget::Budget {
        let members = self.fleet.members.len();
        let allowance = self.settings.bounds.retries;
        let retry_budget = || retry_budget::Budget::new(allowance, members, now);
        self.retry_budgets
            .entry(pool.clone())
            .or_insert_with(retry_budget)
    }

    fn permit(
        &mut self,
        request: AcquireRequest,
        mut placement: Placement,
        now: Instant,
    ) -> Permit {
        self.choose_path(&request.pool, &mut placement, now);
        if !request.is_retry {
            let members = self.fleet.members.len();
            self.retry_budget(&request.pool, now).deposit(members);
        }
        if placement.is_throttled {
            self.metrics.sent_while_throttled();
        }
        let trial = self.rollouts.admitted(&request, &placement, now);
        let ticket = Ticket {
            trial,
            has_failed: false,
            pool: request.pool,
            server: placement.server.clone(),
            incarnation: placement.incarnation,
            uncached: placement.uncached,
            parts: request.demand.parts,
            workspace: request.workspace,
            fingerprint: request.fingerprint,
            sent_at: now,
            connected_at: None,
            connect_deadline: placement.connect_deadline,
            egress: placement.path.egress().map(|egress| egress.host.clone()),
            provider: None,
            has_first_byte: false,
            last_byte_at: None,
        };
        let withdrawals = self.withdrawals(&ticket, now);
        Permit::new(ticket, placement, withdrawals, self.sender.clone())
    }

    fn dequeue_all(&mut self) {
        let names: Vec<pool::Id> = self.queues.keys().cloned().collect();
        for name in names {
            self.dequeue(&name);
        }
    }

    /// Places queued requests of one service at servers with free slots.
    fn dequeue(&mut self, name: &pool::Id) {
        let now = self.clock.now();
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        if queue.is_empty() {
            return;
        }
        // Callers that disconnected while queued get no slot.
        let disconnected = self.pending.extract_if(|_, (_, reply)| reply.is_closed());
        for (attempt, _) in disconnected {
            queue.cancel(attempt);
        }
        for (attempt, result) in queue.dequeue(&self.fleet, now) {
            let Some((request, reply)) = self.pending.remove(&attempt) else {
                continue;
            };
            let result = match result {
                Ok(placement) => Ok(self.permit(request, placement, now)),
                Err(refusal) => Err(Refusal::Denied(refusal)),
            };
            send_reply(reply, result);
        }
    }

    fn first_byte(&mut self, ticket: &Ticket, now: Instant) {
        self.rollouts.first_byte(ticket, now);
        if let Some(at) = ticket.connected_at {
            self.record_connected(ticket, at);
        }
        let Some(queue) = self.queues.get_mut(&ticket.pool) else {
            return;
        };
        queue.pool_mut().record_response(&ticket.server);
        let is_direct = ticket.egress.is_none();
        if let Some(at) = ticket.connected_at.filter(|_| is_direct) {
            let time = at.since(ticket.sent_at);
            queue.pool_mut().record_connect_time(&ticket.server, time);
        }
        let Some(server) = queue.pool_mut().server_mut(&ticket.server) else {
            return;
        };
        server.end_prefill(ticket.uncached);
        if server.incarnation() == ticket.incarnation {
            if let Some(part) = prefixes::shared_part(&ticket.parts)
                && !server.has_cached(part, now)
            {
                self.prefixes.record(server.hash(), part, now);
            }
            server.record_cached(&ticket.parts, now);
            server.record_first_byte(now.since(ticket.sent_at), expected(ticket), now);
        }
    }

    fn ended(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        self.record_path(ticket, outcome, now);
        let outcome = self.attribute(ticket, outcome);
        self.record_crash(ticket, outcome, now);
        let outcome = self.hold_failure(ticket, outcome);
        self.rollouts.ended(ticket, outcome, now);
        let Some(queue) = self.queues.get_mut(&ticket.pool) else {
            return;
        };
        if let Some(server) = queue.pool_mut().server_mut(&ticket.server)
            && !ticket.has_first_byte
        {
            server.end_prefill(ticket.uncached);
            // A request that got no byte has waited at least this long.
            if outcome == Outcome::Cancelled {
                server.record_first_byte(now.since(ticket.sent_at), expected(ticket), now);
            }
        }
        if outcome == Outcome::Unreachable
            && ticket.egress.is_none()
            && now >= ticket.connect_deadline
        {
            queue
                .pool_mut()
                .record_connect_timeout(&ticket.server, ticket.sent_at, now);
        }
        if outcome == Outcome::Full {
            let routers = self.fleet.members.len();
            let pool = queue.pool_mut();
            pool.record_rejection(&ticket.server, routers, now);
        }
        let standing = queue.ended(&ticket.server, &ticket.workspace, outcome, now);
        self.log_standing(ticket, standing, outcome);
        self.dequeue(&ticket.pool);
    }

    fn log_standing(&self, ticket: &Ticket, standing: Option<Standing>, outcome: Outcome) {
        let Some(standing) = standing else {
            return;
        };
        self.metrics.standing_changed(standing);
        logging::event!(
            info,
            "server_standing",
            server = ticket.server,
            pool = ticket.pool,
            standing = standing,
            outcome = outcome
        );
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
                self.rollouts.apply(&name, &mut pool);
                Queue::new(pool)
            });
            queue
                .pool_mut()
                .set_servers(roster.all().filter(|(entry, _)| entry.pool == name));
        }
        self.sum_peers();
    }

    fn set_table(&mut self, table: Arc<Table>) {
        for (name, service) in &table.services {
            if let Some(queue) = self.queues.get_mut(name) {
                queue.pool_mut().set_service(service.clone());
            }
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

fn send_reply(reply: Reply, result: Result<Permit, Refusal>) {
    // If the caller has disconnected, the permit is dropped, which frees the slot.
    drop(reply.send(result));
}

/// The time to first byte that the prompt of a request explains.
fn expected(ticket: &Ticket) -> Duration {
    // Half the usual prefill rate, so that a server that is up to twice as slow has no lag.
    const TOKENS_PER_MS: u64 = 30;
    /// An engine needs one or two steps for the first token; a plain service takes some
    /// tens of milliseconds.
    const BASE: Duration = Duration::from_millis(40);
    let prompt_tokens: u64 = ticket.parts.iter().map(Part::length).sum();
    BASE + Duration::from_millis(ticket.uncached.0.max(prompt_tokens / 8) / TOKENS_PER_MS)
}
