//! The task that knows all backend servers and decides which one gets a request.

mod message;
mod others;
mod permit;

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::{sync::mpsc, time};
use units::{backend, host, pool, request, time::Instant};

pub use message::{Load, Message, News, Order, Refusal, Reply, Ticket};
pub use permit::Permit;

use crate::{
    budget::Budget,
    clock::Clock,
    deaths::Deaths,
    line::{Ask, Line, Offered},
    load,
    metrics::Metrics,
    pause,
    pool::{Fleet, Outcome, Part, Place, Pool},
    reads::{self, Reads},
    roster::Roster,
    route::Table,
    settings::{Bounds, Settings},
    status,
};

/// How long a sum over all others counts in place of what single routers told.
const OTHERS_COUNT: Duration = Duration::from_millis(800);

/// How long after a pause of the process all servers count as cold.
///
/// What has changed meanwhile is told by the store's answers that wait in the
/// sockets, or by the other routers, within three of their rounds of 200 ms.
const RENEWAL: Duration = Duration::from_millis(600);

/// The task's state.
#[derive(Debug)]
pub struct Dispatch {
    clock: Clock,
    metrics: Arc<Metrics>,
    settings: Settings,
    handle: mpsc::UnboundedSender<Message>,
    table: Arc<Table>,
    lines: BTreeMap<pool::Id, Line>,
    budgets: HashMap<pool::Id, Budget>,
    fleet: Fleet,
    pending: HashMap<request::Attempt, (Order, Reply)>,
    attempts: u64,
    peers: BTreeMap<host::Id, Vec<load::Load>>,
    /// What all others have in flight, while it is current.
    others: Vec<load::Load>,
    others_until: Instant,
    deaths: Deaths,
    /// What servers have read for requests of this router.
    reads: Reads,
    pauses: pause::Watch,
}

impl Dispatch {
    /// A task without servers, and the way to tell it something.
    pub fn new(
        clock: Clock,
        metrics: Arc<Metrics>,
        settings: Settings,
    ) -> (
        Self,
        mpsc::UnboundedSender<Message>,
        mpsc::UnboundedReceiver<Message>,
    ) {
        let (handle, messages) = mpsc::unbounded_channel();
        let dispatch = Self {
            clock,
            metrics,
            fleet: Fleet {
                own: settings.host.clone(),
                members: Vec::new(),
            },
            settings,
            handle: handle.clone(),
            table: Arc::default(),
            lines: BTreeMap::new(),
            budgets: HashMap::new(),
            pending: HashMap::new(),
            attempts: 0,
            peers: BTreeMap::new(),
            others: Vec::new(),
            others_until: Instant::ZERO,
            deaths: Deaths::default(),
            reads: Reads::default(),
            pauses: pause::Watch::default(),
        };
        (dispatch, handle, messages)
    }

    /// Runs until nobody can tell it anything any more.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut looks = time::interval(pause::LOOK);
        looks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            let wake = self.next_wake();
            let at = self.clock.at(wake.unwrap_or(Instant::NEVER));
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = time::sleep_until(at), if wake.is_some() => self.serve_all(),
                _ = looks.tick() => self.look(self.clock.now()),
            }
        }
    }

    /// After a pause nothing is known of the servers but what is old.
    fn look(&mut self, now: Instant) {
        let Some(pause) = self.pauses.look(now) else {
            return;
        };
        let until = now + RENEWAL;
        logging::event!(warn, "paused", pause_ms = pause.as_millis());
        for line in self.lines.values_mut() {
            line.pool_mut().doubt(until);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.lines.values().filter_map(Line::next_wake).min()
    }

    /// Takes in one message.
    pub fn take(&mut self, message: Message) {
        let now = self.clock.now();
        self.look(now);
        match message {
            Message::Acquire(order, reply) => self.acquire(order, reply, now),
            Message::FirstByte(ticket) => self.first_byte(&ticket, now),
            Message::Ended(ticket, outcome) => self.ended(&ticket, outcome, now),
            Message::Roster(roster) => self.set_roster(&roster),
            Message::Table(table) => self.set_table(table),
            Message::Members(members) => self.fleet.members = members,
            Message::Peer(host, loads) => self.hear_peer(host, loads, now),
            Message::Others(loads) => {
                self.others = loads;
                self.others_until = now + OTHERS_COUNT;
                self.sum_peers();
            }
            Message::PeerLost(host) => {
                self.peers.remove(&host);
                self.sum_peers();
            }
            Message::Bounds(bounds) => self.set_bounds(bounds),
            Message::Strikes(strikes) => self.deaths.learn(&strikes, now),
            Message::Reads(reads) => self.hear_reads(&reads, now),
            Message::News(reply) => {
                let news = News {
                    loads: self.loads(),
                    strikes: self.deaths.tell(now),
                    reads: self.reads.news(now),
                };
                drop(reply.send(news));
            }
            // Whoever asked may have left.
            Message::Status(reply) => drop(reply.send(self.report(now))),
        }
    }

    fn acquire(&mut self, order: Order, reply: Reply, now: Instant) {
        if self.deaths.is_refused(order.fingerprint, now) {
            answer(reply, Err(Refusal::Suspect));
            return;
        }
        if order.is_repeat && !self.take_repeat(&order.pool, now) {
            answer(reply, Err(Refusal::Budget));
            return;
        }
        let Some(line) = self.lines.get_mut(&order.pool) else {
            answer(reply, Err(Refusal::Unknown));
            return;
        };
        self.attempts += 1;
        let ask = Ask {
            attempt: request::Attempt(self.attempts),
            workspace: order.workspace.clone(),
            cost: order.cost,
            rank: order.rank,
            latest_start: order.latest_start,
            demand: order.demand.clone(),
        };
        let attempt = ask.attempt;
        match line.offer(ask, &self.fleet, now) {
            Offered::Placed(place) => {
                let permit = self.permit(order, place, now);
                answer(reply, Ok(permit));
            }
            Offered::Refused(refusal) => answer(reply, Err(Refusal::Denied(refusal))),
            Offered::Waits => {
                self.pending.insert(attempt, (order, reply));
            }
        }
    }

    /// Takes a repeat from this router's share.
    fn take_repeat(&mut self, pool: &pool::Id, now: Instant) -> bool {
        let members = self.fleet.members.len();
        // A router that has not registered does not know its share.
        members > 0 && self.budget(pool, now).take(members, now)
    }

    fn budget(&mut self, pool: &pool::Id, now: Instant) -> &mut Budget {
        let members = self.fleet.members.len();
        let allowance = self.settings.bounds.repeats;
        let budget = || Budget::new(allowance, members, now);
        self.budgets.entry(pool.clone()).or_insert_with(budget)
    }

    fn permit(&mut self, order: Order, place: Place, now: Instant) -> Permit {
        if !order.is_repeat {
            let members = self.fleet.members.len();
            self.budget(&order.pool, now).first_arrival(members);
        }
        let ticket = Ticket {
            pool: order.pool,
            server: place.server.clone(),
            born: place.born,
            unread: place.unread,
            parts: order.demand.parts,
            workspace: order.workspace,
            fingerprint: order.fingerprint,
            sent_at: now,
            connected_at: None,
            connect_by: place.connect_by,
            is_read: false,
        };
        Permit::new(ticket, place, self.handle.clone())
    }

    fn serve_all(&mut self) {
        let names: Vec<pool::Id> = self.lines.keys().cloned().collect();
        for name in names {
            self.serve(&name);
        }
    }

    /// Gives places of one service that came free to those that wait.
    fn serve(&mut self, name: &pool::Id) {
        let now = self.clock.now();
        let Some(line) = self.lines.get_mut(name) else {
            return;
        };
        if line.is_empty() {
            return;
        }
        // Callers that left while they waited get no place.
        let left = self.pending.extract_if(|_, (_, reply)| reply.is_closed());
        for (attempt, _) in left {
            line.cancel(attempt);
        }
        for (attempt, result) in line.serve(&self.fleet, now) {
            let Some((order, reply)) = self.pending.remove(&attempt) else {
                continue;
            };
            let result = match result {
                Ok(place) => Ok(self.permit(order, place, now)),
                Err(refusal) => Err(Refusal::Denied(refusal)),
            };
            answer(reply, result);
        }
    }

    fn first_byte(&mut self, ticket: &Ticket, now: Instant) {
        let Some(line) = self.lines.get_mut(&ticket.pool) else {
            return;
        };
        line.pool_mut().answered(&ticket.server);
        if let Some(at) = ticket.connected_at {
            let time = at.since(ticket.sent_at);
            line.pool_mut().connected(&ticket.server, time);
        }
        let Some(server) = line.pool_mut().server_mut(&ticket.server) else {
            return;
        };
        server.read(ticket.unread);
        if server.born() == ticket.born {
            if let Some(part) = reads::shared(&ticket.parts)
                && !server.has_read(part, now)
            {
                self.reads.note(server.hash(), part, now);
            }
            server.remember(&ticket.parts, now);
            server.sample(now.since(ticket.sent_at), expected(ticket), now);
        }
    }

    fn ended(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        self.note_death(ticket, outcome, now);
        let Some(line) = self.lines.get_mut(&ticket.pool) else {
            return;
        };
        if let Some(server) = line.pool_mut().server_mut(&ticket.server)
            && !ticket.is_read
        {
            server.read(ticket.unread);
            // A request that never got a byte waited at least this long.
            if outcome == Outcome::Cancelled {
                server.sample(now.since(ticket.sent_at), expected(ticket), now);
            }
        }
        if outcome == Outcome::Unreachable && now >= ticket.connect_by {
            line.pool_mut()
                .timed_out(&ticket.server, ticket.sent_at, now);
        }
        let standing = line.ended(&ticket.server, &ticket.workspace, outcome, now);
        if let Some(standing) = standing {
            self.metrics.stands(standing);
            logging::event!(
                info,
                "server_standing",
                server = ticket.server,
                pool = ticket.pool,
                standing = standing,
                outcome = outcome
            );
        }
        self.serve(&ticket.pool);
    }

    fn note_death(&mut self, ticket: &Ticket, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Broken => {
                let (server, born) = (&ticket.server, ticket.born);
                self.deaths
                    .broke(ticket.fingerprint, server, born, ticket.sent_at, now);
            }
            Outcome::Refused | Outcome::Unreachable => {
                self.died(&ticket.server, ticket.born, now);
            }
            Outcome::Completed => self.deaths.completed(ticket.fingerprint),
            Outcome::Failed | Outcome::Moved | Outcome::Full | Outcome::Cancelled => {}
        }
    }

    fn died(&mut self, server: &backend::Server, born: u64, now: Instant) {
        let count = self.deaths.died(server, born, now);
        if count > 0 {
            logging::event!(info, "server_died", server = server, requests = count);
        }
    }

    /// Starts of servers that are over by what the store says.
    fn note_ends(&mut self, roster: &Roster) {
        let now = self.clock.now();
        let starts = roster.starts();
        let servers = self.lines.values().flat_map(|line| line.pool().servers());
        let ended: Vec<_> = servers
            .filter(|server| starts.get(server.name()) != Some(&server.born()))
            .map(|server| (server.name().clone(), server.born()))
            .collect();
        for (server, born) in ended {
            self.died(&server, born, now);
        }
    }

    fn set_roster(&mut self, roster: &Roster) {
        self.note_ends(roster);
        let mut names: Vec<pool::Id> = self.lines.keys().cloned().collect();
        names.extend(roster.all().map(|(entry, _)| entry.pool.clone()));
        names.sort_unstable();
        names.dedup();
        for name in names {
            let line = self.lines.entry(name.clone()).or_insert_with(|| {
                let mut pool = Pool::new(self.settings.zone.clone(), self.settings.bounds);
                if let Some(service) = self.table.services.get(&name) {
                    pool.set_service(service.clone());
                }
                Line::new(pool)
            });
            line.pool_mut()
                .set_servers(roster.all().filter(|(entry, _)| entry.pool == name));
        }
        self.sum_peers();
    }

    fn set_table(&mut self, table: Arc<Table>) {
        for (name, service) in &table.services {
            if let Some(line) = self.lines.get_mut(name) {
                line.pool_mut().set_service(service.clone());
            }
        }
        self.table = table;
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        self.settings.bounds = bounds;
        self.budgets.clear();
        for line in self.lines.values_mut() {
            line.pool_mut().set_bounds(bounds);
        }
    }

    fn report(&self, now: Instant) -> status::Report {
        let rows = self.lines.iter().flat_map(|(name, line)| {
            let pool = line.pool();
            let bound = pool.bound(now);
            let servers = pool.servers();
            servers.map(move |server| {
                let standing = pool.standing(server.name(), now);
                status::Row::new(name, server, bound, standing, now)
            })
        });
        let waiting = self.lines.iter();
        status::Report {
            servers: rows.collect(),
            waiting: waiting
                .map(|(name, line)| (name.clone(), line.len()))
                .collect(),
            members: self.fleet.members.len(),
            heard: self.peers.len(),
        }
    }
}

fn answer(reply: Reply, result: Result<Permit, Refusal>) {
    // A caller that left meanwhile drops the permit, which gives the place back.
    drop(reply.send(result));
}

/// The time to the first byte that a request's prompt explains.
fn expected(ticket: &Ticket) -> Duration {
    // Reading at half the usual speed is not held against a server.
    const TOKENS_PER_MS: u64 = 30;
    /// A first token takes a step or two; a plain service works some tens of milliseconds.
    const BASE: Duration = Duration::from_millis(40);
    let whole: u64 = ticket.parts.iter().map(Part::length).sum();
    BASE + Duration::from_millis(ticket.unread.0.max(whole / 8) / TOKENS_PER_MS)
}
