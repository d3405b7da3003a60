//! The task that admits requests to the backend servers that this router owns.

mod engine;
mod handover;
pub mod message;
mod permit;
mod probe;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use admission::Action;
use config::resource;
use placement::TotalLoad;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{backend, host, pool, workspace};
use verdict::{Code, Refusal};
use wire::{hop, seal};

use crate::{
    backend as http,
    clock::Clock,
    loads,
    members::Members,
    metrics::{Metrics, Owned},
    status,
    view::{Target, View},
};
use engine::{Engine, Predecessor};
pub use message::{Delivery, Ended, Message, Offer, Outcome, Rejected, Reply, Usage};
pub use permit::{Permit, Slot};
use probe::Schedule;

/// Interval at which queue deadlines, load probes and load bounds are checked.
const TICK: Duration = Duration::from_millis(50);
/// Minimum mean load at which the skew is reported. Below it, a single
/// additional request changes the ratio considerably.
const MIN_SKEW_MEAN: f64 = 4.0;
/// Delay after which a caller may retry a server that is unreachable or at its
/// limit.
const RETRY_AFTER_MS: u64 = 500;

/// Load of the backend servers, by pool.
type Loads = BTreeMap<pool::Id, loads::Loads>;

/// Inputs of the owner task.
#[derive(Clone, Debug)]
pub struct Inputs {
    /// The applied configuration and the backend servers.
    pub view: watch::Receiver<Arc<View>>,
    /// The known routers.
    pub members: watch::Receiver<Arc<Members>>,
}

/// Handle for sending messages to the owner task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::UnboundedSender<Message>,
}

impl Handle {
    /// Requests a slot on a backend server, waiting in its queue if the offer's
    /// terms allow it.
    ///
    /// Dropping the future withdraws the offer.
    ///
    /// # Errors
    ///
    /// When the offer is rejected. The request has not run.
    pub async fn admit(&self, offer: impl FnOnce(Reply) -> Offer) -> Result<Permit, Rejected> {
        let (reply, answer) = oneshot::channel();
        let stopped = || Rejected {
            refusal: Refusal::not_run(Code::NotReady, "The router is shutting down."),
            load: None,
        };
        let message = Message::Offer(Box::new(offer(reply)));
        self.messages.send(message).map_err(|_| stopped())?;
        answer.await.map_err(|_| stopped())?
    }

    /// Records the load of another owner's servers in a pool.
    pub fn record_peer_load(&self, owner: host::Id, pool: pool::Id, load: hop::Load) {
        // The load is of no use once the task has ended.
        let _ = self.messages.send(Message::PeerLoad(owner, pool, load));
    }

    /// Waits until no owned server has requests in flight or queued.
    pub async fn wait_drained(&self) {
        loop {
            let engines = self.status().await;
            let busy = |engine: &status::Engine| engine.in_flight > 0 || engine.queued > 0;
            if !engines.iter().any(busy) {
                return;
            }
            time::sleep(TICK).await;
        }
    }

    /// Returns the state learned about a server that this router owned, once it
    /// has stopped admitting requests to it.
    pub async fn handover(&self, server: backend::Server) -> Option<hop::Handover> {
        let (reply, answer) = oneshot::channel();
        self.messages
            .send(Message::HandoverRequest(server, reply))
            .ok()?;
        answer.await.ok()?
    }

    /// Returns the state of all owned servers.
    pub async fn status(&self) -> Vec<status::Engine> {
        let (reply, answer) = oneshot::channel();
        if self.messages.send(Message::Status(reply)).is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// State of the owner task.
#[derive(Debug)]
pub struct Owner {
    clock: Clock,
    inputs: Inputs,
    metrics: Arc<Metrics>,
    key: seal::Key,
    schedule: Schedule,
    engines: BTreeMap<backend::Server, Engine>,
    /// The owners of all servers, as last known.
    owners: BTreeMap<backend::Server, host::Id>,
    loads: Loads,
    sender: mpsc::UnboundedSender<Message>,
    messages: mpsc::UnboundedReceiver<Message>,
}

impl Owner {
    /// Creates a task that owns no servers yet, and its handle.
    pub fn new(
        clock: Clock,
        inputs: Inputs,
        key: seal::Key,
        metrics: Arc<Metrics>,
    ) -> (Self, Handle) {
        let (sender, messages) = mpsc::unbounded_channel();
        let handle = Handle {
            messages: sender.clone(),
        };
        let owner = Self {
            clock,
            inputs,
            schedule: Schedule::new(metrics.traffic()),
            metrics,
            key,
            engines: BTreeMap::new(),
            owners: BTreeMap::new(),
            loads: Loads::new(),
            sender,
            messages,
        };
        (owner, handle)
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        self.refresh();
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                changed = self.inputs.view.changed() => match changed {
                    Ok(()) => self.refresh(),
                    Err(_) => return,
                },
                changed = self.inputs.members.changed() => match changed {
                    Ok(()) => self.refresh(),
                    Err(_) => return,
                },
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Offer(offer) => self.offer(*offer),
            Message::FirstByte(server, attempt) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    engine.admission.first_token(attempt, now);
                }
            }
            Message::Ended(ended) => self.ended(ended),
            Message::Reported(server, report) => self.reported(&server, report),
            Message::PeerLoad(owner, pool, load) => {
                let total = TotalLoad {
                    requests: load.requests,
                    weight: load.weight,
                };
                let loads = self.loads.entry(pool).or_default();
                loads.record(owner, total, now);
            }
            Message::HandoverReceived(server, handover) => {
                if let Some(engine) = self.engines.get_mut(&server) {
                    let actions = engine.apply_handover(handover, now);
                    self.execute(&server, actions);
                }
            }
            Message::HandoverRequest(server, reply) => {
                let engine = self.engines.get(&server);
                // The requester may have dropped the receiver.
                let _ = reply.send(engine.and_then(Engine::handover));
            }
            Message::Status(reply) => {
                let shown = self.engines.values().filter(|engine| engine.is_shown());
                let engines = shown.map(|engine| engine.status(now)).collect();
                // The requester may have dropped the receiver.
                let _ = reply.send(engines);
            }
        }
    }

    fn offer(&mut self, offer: Offer) {
        let now = self.clock.now();
        let server = offer.server.clone();
        let evaluated = match self.engines.get_mut(&server) {
            None => Err(not_owned(&server)),
            Some(engine) => {
                let loads = self.loads.get(&engine.target.pool);
                let total = loads.map(loads::Loads::total).unwrap_or_default();
                engine.evaluate(&offer, total, now)
            }
        };
        let queue_deadline = match evaluated {
            Ok(queue_deadline) => queue_deadline,
            Err(refusal) => return self.reject(offer, refusal),
        };
        let Some(engine) = self.engines.get_mut(&server) else {
            return;
        };
        let actions = engine.offer(offer, queue_deadline, self.clock, &self.sender);
        self.execute(&server, actions);
    }

    fn reject(&mut self, offer: Offer, refusal: Refusal) {
        let engine = self.engines.get(&offer.server);
        let load = engine.and_then(Engine::pool_load);
        // The requester may have dropped the receiver.
        let _ = offer.reply.send(Err(Rejected { refusal, load }));
    }

    fn ended(&mut self, ended: Ended) {
        let now = self.clock.now();
        let Some(engine) = self.engines.get_mut(&ended.server) else {
            return;
        };
        if let Some(usage) = ended.usage {
            let (prompt, cached) = (u64::from(usage.prompt), u64::from(usage.cached));
            self.metrics.token_usage(prompt, cached);
        }
        let actions = engine.ended(&ended, now);
        if let Some(connection) = ended.connection {
            engine.store_connection(connection, ended.address);
        }
        self.execute(&ended.server, actions);
    }

    fn reported(
        &mut self,
        server: &backend::Server,
        report: Result<http::load::Report, http::load::Error>,
    ) {
        let now = self.clock.now();
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let actions = engine.reported(report, now);
        self.execute(server, actions);
    }

    /// Executes admission's decisions on queued tickets.
    fn execute(&mut self, server: &backend::Server, actions: admission::Actions) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let mut actions: Vec<Action> = actions.into_iter().collect();
        while !actions.is_empty() {
            let mut later = Vec::new();
            for action in actions {
                later.extend(engine.execute(action, self.clock, &self.sender));
            }
            actions = later;
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.update_loads();
        self.set_bounds();
        let servers: Vec<backend::Server> = self.engines.keys().cloned().collect();
        for server in servers {
            let Some(engine) = self.engines.get_mut(&server) else {
                continue;
            };
            let actions = engine.tick(now);
            engine.probe(&self.schedule, &self.sender);
            self.execute(&server, actions);
        }
        self.engines.retain(|_, engine| !engine.is_expired(now));
        let probed = self.engines.values().filter(|engine| engine.is_probed());
        self.schedule.set_server_count(probed.count());
        self.metrics.owned(self.totals(now));
    }

    /// Sums the load of the owned servers by pool.
    fn update_loads(&mut self) {
        let now = self.clock.now();
        let mut own: BTreeMap<pool::Id, TotalLoad> = BTreeMap::new();
        for engine in self.engines.values().filter(|engine| engine.is_open()) {
            let pool = &engine.target.pool;
            let mean = self
                .loads
                .get(pool)
                .map_or(0.0, |loads| loads.total().mean());
            *own.entry(pool.clone()).or_default() += engine.load_contribution(mean);
        }
        for loads in self.loads.values_mut() {
            loads.set_own(TotalLoad::default());
            loads.expire(now);
        }
        for (pool, total) in own {
            self.loads.entry(pool).or_default().set_own(total);
        }
        for engine in self.engines.values_mut() {
            let own = self.loads.get(&engine.target.pool).map(loads::Loads::own);
            engine.set_pool_load(own.unwrap_or_default());
        }
    }

    /// Totals over the owned servers, for the metrics.
    fn totals(&self, now: units::time::Instant) -> Owned {
        let mut owned = Owned::default();
        for engine in self.engines.values() {
            let status = engine.status(now);
            owned.in_flight += status.in_flight;
            owned.queued += status.queued;
            owned.limit += status.limit;
            let loads = self.loads.get(&engine.target.pool);
            let mean = loads.map_or(0.0, |loads| loads.total().mean());
            if mean >= MIN_SKEW_MEAN {
                owned.skew = owned.skew.max(f64::from(status.in_flight) / mean);
            }
        }
        owned
    }

    fn set_bounds(&mut self) {
        let now = self.clock.now();
        let view = Arc::clone(&self.inputs.view.borrow());
        let mut all = Vec::new();
        for (name, pool) in &view.pools {
            let Some(loads) = self.loads.get(name) else {
                continue;
            };
            let total = loads.total();
            let bound = placement::Bound::new(crate::view::placement_settings(&pool.declared));
            for engine in self.engines.values_mut() {
                if &engine.target.pool == name {
                    let limit = bound.limit(engine.target.weight, total);
                    let actions = engine.set_bound(limit, now);
                    all.push((engine.target.server.clone(), actions));
                }
            }
        }
        for (server, actions) in all {
            self.execute(&server, actions);
        }
    }

    /// Acquires the servers newly assigned to this router and releases those no
    /// longer assigned to it.
    fn refresh(&mut self) {
        let now = self.clock.now();
        let view = Arc::clone(&self.inputs.view.borrow_and_update());
        let members = Arc::clone(&self.inputs.members.borrow_and_update());
        let owned = |target: &Target| members.owns(&target.server, &target.zone);
        for target in view.targets.values().filter(|target| owned(target)) {
            let pool = view.pools.get(&target.pool);
            let Some(declared) = pool.map(|pool| &pool.declared) else {
                continue;
            };
            let predecessor = self.predecessor(target, &members);
            match self.engines.get_mut(&target.server) {
                Some(engine) if !engine.is_released() => engine.update(target, declared),
                Some(_) | None => self.acquire(target, declared, predecessor, now),
            }
        }
        self.owners = view
            .targets
            .values()
            .filter_map(|target| {
                let owner = members.owner(&target.server, &target.zone)?;
                Some((target.server.clone(), owner.host.clone()))
            })
            .collect();
        self.set_weights(&view);
        let servers: Vec<backend::Server> = self.engines.keys().cloned().collect();
        for server in servers {
            let target = view.targets.get(&server).filter(|target| owned(target));
            let actions = match self.engines.get_mut(&server) {
                Some(engine) => engine.set_service(target, now),
                None => continue,
            };
            self.execute(&server, actions);
        }
    }

    /// Starts owning a server, and requests a handover from its previous owner.
    fn acquire(
        &mut self,
        target: &Target,
        declared: &resource::Pool,
        predecessor: Predecessor,
        now: units::time::Instant,
    ) {
        let engine = Engine::new(
            target.clone(),
            declared,
            predecessor,
            Arc::clone(&self.metrics),
            now,
        );
        self.engines.insert(target.server.clone(), engine);
        if let Predecessor::Live(address) = predecessor {
            let server = target.server.clone();
            let owner = self.sender.clone();
            tokio::spawn(handover::request(server, address, self.key.clone(), owner));
        }
    }

    /// The previous owner of a server, if it may still admit requests to it.
    fn predecessor(&self, target: &Target, members: &Members) -> Predecessor {
        let peer = match self.owners.get(&target.server) {
            Some(host) if *host == members.own => None,
            Some(host) => members.live(host),
            None => members.successor(&target.server, &target.zone),
        };
        peer.map_or(Predecessor::Gone, |peer| Predecessor::Live(peer.address))
    }

    fn set_weights(&mut self, view: &View) {
        let Some(snapshot) = &view.snapshot else {
            return;
        };
        let weights: BTreeMap<workspace::Id, u32> = snapshot
            .workspaces()
            .map(|workspace| (workspace.name.clone(), workspace.weight))
            .collect();
        for engine in self.engines.values_mut() {
            engine.admission.set_weights(weights.clone());
        }
    }
}

fn not_owned(server: &backend::Server) -> Refusal {
    Refusal::not_run(
        Code::Moved,
        format!("Backend server {server} is not owned by this router."),
    )
}

/// The refusal for a server known to be unreachable.
fn unreachable(server: &backend::Server, now: units::time::Instant) -> Refusal {
    Refusal::not_run(
        Code::NoServer,
        format!("Backend server {server} does not accept connections."),
    )
    .retry_at(now + Duration::from_millis(RETRY_AFTER_MS))
}
