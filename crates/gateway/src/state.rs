//! The task that maintains the replica of the store and publishes its changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use recovery::quarantine::Combination;
use rollout::Order;
use tokio::{
    sync::{mpsc, watch},
    time,
};
use units::{backend, time::Instant};

use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    metrics::Metrics,
    origins,
    readiness::Readiness,
    replica::{Replica, Replicas},
    rollouts,
    roster::{self, Change, Roster},
    route::{Table, Unusable},
    service_versions::{self, Records},
    source::{Directive, Malformed, Member, Row, Source, Topic},
    staleness::Staleness,
};

/// The receivers of the task's updates.
#[derive(Debug)]
pub struct Outputs {
    /// The ages of the views.
    pub ages: Arc<Staleness>,
    /// The configuration in force.
    pub table: watch::Sender<Option<Arc<Table>>>,
    /// Whether requests can be served.
    pub readiness: watch::Sender<Readiness>,
    /// The registered routers.
    pub members: watch::Sender<Arc<Vec<Member>>>,
    /// The rows, to be relayed to other routers.
    pub replicas: watch::Sender<Arc<Replicas>>,
    /// The task that selects backend servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// The task that controls roll-outs.
    pub rollouts: mpsc::UnboundedSender<rollouts::Event>,
    /// The versions of each service that were seen.
    pub history: watch::Sender<origins::History>,
    /// What differs between the versions of services and those that the store lists.
    pub version_backlog: watch::Sender<Arc<service_versions::Backlog>>,
    /// What operators have written and is not in force, because it cannot be used.
    pub unusable: watch::Sender<Vec<Unusable>>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The most unusable entries of a configuration that are logged.
const MAX_LOGGED: usize = 20;

/// The state of the store as known to this router.
#[derive(Debug)]
pub struct State<S> {
    source: S,
    clock: Clock,
    outputs: Outputs,
    replicas: Replicas,
    /// The key and the version of the row that holds the configuration in force.
    in_force: Option<(String, u64)>,
    /// What was left out of it.
    left_out: Vec<Unusable>,
    /// The rows of the configuration that cannot be read.
    unreadable: Vec<Unusable>,
    /// The rows of servers that cannot be used.
    unusable_servers: BTreeMap<String, Unusable>,
    roster: Roster,
    /// The orders of roll-outs; `None` before the first configuration.
    orders: Option<Vec<Order>>,
    readiness: Readiness,
    /// The prompt parts that are refused according to the store, with the number of crashes.
    refused_parts: BTreeMap<Combination, u32>,
}

impl<S: Source> State<S> {
    /// Creates an empty state.
    pub fn new(source: S, clock: Clock, outputs: Outputs) -> Self {
        Self {
            source,
            clock,
            outputs,
            replicas: Replicas::new(),
            in_force: None,
            left_out: Vec::new(),
            unreadable: Vec::new(),
            unusable_servers: BTreeMap::new(),
            roster: Roster::default(),
            orders: None,
            readiness: Readiness::default(),
            refused_parts: BTreeMap::new(),
        }
    }

    /// Runs until all senders of events are closed.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        loop {
            let expiry = self.roster.next_expiry();
            let wake = self.clock.at(expiry.unwrap_or(Instant::NEVER));
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                () = time::sleep_until(wake), if expiry.is_some() => self.expire_servers(),
            }
        }
    }

    /// Applies an event from the store or from another router.
    pub fn handle(&mut self, event: Event) {
        match event {
            Event::Batch(topic, batch) => {
                self.set_reading();
                self.outputs.ages.confirm(topic, self.clock.now());
                self.merge(topic, |replica| replica.merge(&batch));
            }
            Event::Confirmed(batch, requests) => {
                self.handle(Event::Batch(Topic::Servers, batch));
                for request in requests {
                    // The caller may have left.
                    let _ = request.send(());
                }
            }
            Event::Relayed(topic, batch) => {
                self.set_reading();
                self.merge(topic, |replica| replica.merge_relayed(&batch));
            }
            Event::StoreReturned(Topic::Servers) => {
                logging::event!(info, "servers_may_return");
                self.roster.store_returned(self.clock.now());
            }
            Event::StoreStable => {
                if self.roster.store_was_stable(self.clock.now()) {
                    self.publish_roster();
                }
            }
            Event::StoreReturned(_) | Event::StoreLost(_) => {}
        }
    }

    fn set_reading(&mut self) {
        let now = self.clock.now();
        self.roster.set_reading(roster::Reading {
            former_confirmed_at: now - self.outputs.ages.servers(now),
            at: now,
        });
    }

    fn merge(&mut self, topic: Topic, merge: impl FnOnce(&mut Replica) -> Vec<Row>) {
        let replica = self.replicas.entry(topic).or_default();
        let newest = replica.newest();
        let changed = merge(replica);
        if changed.is_empty() && replica.newest() == newest {
            return;
        }
        match topic {
            Topic::Configuration => self.publish_configuration(),
            Topic::Servers => self.apply_server_rows(&changed),
            Topic::Routers => self.publish_members(),
        }
        self.outputs
            .replicas
            .send_replace(Arc::new(self.replicas.clone()));
    }

    fn rows(&self, topic: Topic) -> impl Iterator<Item = &Row> {
        self.replicas
            .get(&topic)
            .into_iter()
            .flat_map(Replica::rows)
    }

    fn expire_servers(&mut self) {
        if self.roster.expire(self.clock.now()) {
            self.publish_roster();
        }
    }

    fn publish_configuration(&mut self) {
        let mut zones = BTreeSet::new();
        let mut tables = Vec::new();
        let mut orders = Vec::new();
        let mut unreadable = Vec::new();
        for row in self.rows(Topic::Configuration) {
            // Decoding a large table again would take CPU time from requests.
            if self.is_in_force(row) {
                continue;
            }
            match self.source.directive(row) {
                Ok(Directive::Table(table)) => tables.push((row.clone(), table)),
                Ok(Directive::Unknown) => {}
                Ok(Directive::Evacuation(zone)) => {
                    zones.insert(zone);
                }
                Ok(Directive::Rollout(order)) => orders.push(order),
                Err(error) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                    unreadable.push(Unusable::new("row", &row.key, &error));
                }
            }
        }
        // The orders come first: requests of a new configuration must not go to a version
        // that an order excludes.
        self.publish_orders(orders);
        for (row, table) in tables {
            self.activate(row, table);
        }
        self.unreadable = unreadable;
        self.publish_unusable();
        if self.roster.set_evacuated(zones.clone()) {
            let zones: Vec<_> = zones.iter().map(|zone| zone.as_str()).collect();
            logging::event!(info, "zones_out", zones = zones.join(","));
            self.publish_roster();
        }
        self.publish_readiness();
    }

    /// Publishes what cannot be used: rows of the configuration, what was left out of the one in force,
    /// and some rows of servers.
    fn publish_unusable(&self) {
        let metrics = &self.outputs.metrics;
        metrics.set_unusable(self.unreadable.len() + self.left_out.len());
        metrics.set_unusable_servers(self.unusable_servers.len());
        let servers = self.unusable_servers.values().take(MAX_LOGGED);
        let lists = self.unreadable.iter().chain(&self.left_out);
        let unusable = lists.chain(servers).cloned().collect();
        self.outputs.unusable.send_replace(unusable);
    }

    /// Records whether the row of a server can be used. Returns whether that changes anything.
    ///
    /// A row that is written again with every heartbeat is logged once.
    fn set_unusable_server(&mut self, row: &Row, error: Option<&Malformed>) -> bool {
        let Some(error) = error else {
            return self.unusable_servers.remove(&row.key).is_some();
        };
        let is_new = !self.unusable_servers.contains_key(&row.key);
        if is_new && self.unusable_servers.len() < MAX_LOGGED {
            logging::event!(warn, "row_malformed", key = row.key, reason = error);
        }
        let unusable = Unusable::new("server", &row.key, error);
        self.unusable_servers.insert(row.key.clone(), unusable);
        true
    }

    fn publish_orders(&mut self, orders: Vec<Order>) {
        if self.orders.as_ref() == Some(&orders) {
            return;
        }
        let known = self.orders.as_deref().unwrap_or_default();
        for order in orders.iter().filter(|order| !known.contains(order)) {
            logging::event!(
                info,
                "rollout_ordered",
                pool = order.pool,
                to = order.to,
                duration_ms = order.duration,
                revision = order.revision
            );
        }
        let is_kept = |known: &&Order| orders.iter().any(|order| order.pool == known.pool);
        for order in known.iter().filter(|known| !is_kept(known)) {
            logging::event!(
                info,
                "rollout_withdrawn",
                pool = order.pool,
                to = order.to,
                revision = order.revision
            );
        }
        let message = dispatch::Message::Orders(orders.clone());
        notify_dispatch(&self.outputs.dispatch, message);
        // The receiver lives as long as the process.
        drop(
            self.outputs
                .rollouts
                .send(rollouts::Event::Orders(orders.clone())),
        );
        self.orders = Some(orders);
    }

    fn is_in_force(&self, row: &Row) -> bool {
        let mut in_force = self.in_force.iter();
        in_force.any(|(key, version)| *key == row.key && *version == row.version)
    }

    fn activate(&mut self, row: Row, table: Box<Table>) {
        let known = self.in_force.as_ref().map(|(_, version)| *version);
        if known.is_some_and(|known| row.version <= known) {
            return;
        }
        let bytes = row.value.as_deref().map_or(0, <[u8]>::len);
        logging::event!(
            info,
            "configuration_in_force",
            config = table.version,
            row = row.version,
            bytes = bytes
        );
        self.in_force = Some((row.key, row.version));
        for entry in table.unusable.iter().take(MAX_LOGGED) {
            logging::event!(
                warn,
                "entry_unusable",
                config = table.version,
                kind = entry.kind,
                name = entry.name,
                reason = entry.reason,
                entries = table.unusable.len()
            );
        }
        self.left_out.clone_from(&table.unusable);
        self.outputs.metrics.set_config(table.version, bytes);
        let table = Arc::from(table);
        let message = dispatch::Message::Table(Arc::clone(&table));
        notify_dispatch(&self.outputs.dispatch, message);
        self.outputs.table.send_replace(Some(table));
    }

    fn apply_server_rows(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        let mut changed = false;
        let mut unusable_changed = false;
        for row in rows {
            let (change, error) = self.server_change(row, now);
            unusable_changed |= self.set_unusable_server(row, error.as_ref());
            let Some(change) = change else {
                continue;
            };
            let server = change.server().clone();
            changed |= self.roster.apply(change, now);
            if self.roster.is_lapsing(&server) {
                logging::event!(
                    info,
                    "server_lapsed",
                    server = server,
                    revision = row.version
                );
            }
        }
        if unusable_changed {
            self.publish_unusable();
        }
        if changed {
            self.publish_roster();
        }
    }

    /// What a row tells of its server, and why it cannot be used.
    ///
    /// A malformed entry names no usable server, so it counts as a removal.
    fn server_change(&self, row: &Row, now: Instant) -> (Option<Change>, Option<Malformed>) {
        let server = match backend::Server::try_from(row.key.clone()) {
            Ok(server) => server,
            Err(_) if row.value.is_none() => return (None, None),
            Err(error) => return (None, Some(Malformed(error.to_string()))),
        };
        let absent = Change::Absent {
            server,
            revision: row.version,
        };
        if row.value.is_none() {
            return (Some(absent), None);
        }
        match self.source.server(row, now) {
            Ok(entry) => (Some(Change::Present(entry)), None),
            Err(error) => (Some(absent), Some(error)),
        }
    }

    fn publish_roster(&mut self) {
        logging::event!(
            info,
            "servers_changed",
            registered = self.roster.len(),
            usable = self.roster.usable().count()
        );
        let servers = self.roster.all().map(|(entry, _)| origins::Entry {
            pool: &entry.pool,
            version: &entry.version,
        });
        let now = self.clock.now();
        self.outputs
            .history
            .send_modify(|history| history.observe(servers, now));
        self.publish_version_backlog();
        let message = dispatch::Message::Roster(Arc::new(self.roster.clone()));
        notify_dispatch(&self.outputs.dispatch, message);
        self.publish_readiness();
    }

    fn publish_members(&mut self) {
        let mut members = Vec::new();
        let mut refused_parts = BTreeMap::new();
        let mut recorded = Records::new();
        for row in self.rows(Topic::Routers) {
            match self.source.recorded_version(row) {
                Ok(None) => {}
                Ok(Some(entry)) => {
                    let versions = recorded.entry(entry.pool).or_default();
                    versions.insert(entry.version, row.version);
                    continue;
                }
                Err(error) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                    continue;
                }
            }
            match self.source.refused_parts(row) {
                Ok(None) => {}
                Ok(Some((parts, crashes))) => {
                    refused_parts.insert(parts, crashes);
                    continue;
                }
                Err(error) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                    continue;
                }
            }
            match self.source.member(row) {
                Ok(member) => members.push(member),
                Err(error) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                }
            }
        }
        if self.refused_parts != refused_parts {
            self.refused_parts.clone_from(&refused_parts);
            let message = dispatch::Message::Quarantine(refused_parts);
            notify_dispatch(&self.outputs.dispatch, message);
        }
        if **self.outputs.members.borrow() == members {
            self.set_recorded_versions(recorded);
            return;
        }
        logging::event!(info, "routers_changed", registered = members.len());
        let members = Arc::new(members);
        let message = dispatch::Message::Members(Arc::clone(&members));
        notify_dispatch(&self.outputs.dispatch, message);
        self.outputs.members.send_replace(members);
        self.publish_sizes();
        self.set_recorded_versions(recorded);
    }

    fn set_recorded_versions(&mut self, recorded: Records) {
        if self.roster.records().map(Arc::as_ref) == Some(&recorded) {
            self.publish_version_backlog();
            return;
        }
        let versions = service_versions::versions(&recorded);
        let history = &self.outputs.history;
        history.send_modify(|history| history.set_recorded(versions));
        self.roster.set_records(Arc::new(recorded));
        if !self.roster.is_empty() {
            self.publish_roster();
        }
        self.publish_readiness();
    }

    /// Publishes which versions of services have to be recorded, and which no longer.
    fn publish_version_backlog(&self) {
        let Some(records) = self.roster.records() else {
            return;
        };
        let now = self.clock.now();
        let members = self.outputs.members.borrow();
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        let is_long_known = self.outputs.ages.covers_servers(origins::MEMORY, now);
        let seen = is_long_known.then(|| self.outputs.history.borrow().seen());
        let recorded = service_versions::versions(records);
        let versions = self.roster.versions();
        let backlog = service_versions::Backlog::new(versions, seen.as_ref(), &recorded, hosts);
        self.outputs.version_backlog.send_if_modified(|known| {
            let is_changed = **known != backlog;
            if is_changed {
                *known = Arc::new(backlog);
            }
            is_changed
        });
    }

    fn publish_sizes(&self) {
        let metrics = &self.outputs.metrics;
        let members = self.outputs.members.borrow().len();
        metrics.set_sizes(self.roster.len(), members);
    }

    fn publish_readiness(&mut self) {
        self.publish_sizes();
        let readiness = if self.in_force.is_none() {
            Readiness::NoConfiguration
        } else if self.roster.is_empty() {
            Readiness::NoServers
        } else if self.roster.records().is_none() {
            Readiness::NoRecords
        } else {
            Readiness::Ready
        };
        // A router that was once ready remains ready: its last known state still serves
        // requests, and if all routers became unready at once, none would serve.
        if self.readiness == Readiness::Ready || self.readiness == readiness {
            return;
        }
        self.readiness = readiness;
        logging::event!(info, "readiness_changed", readiness = readiness);
        self.outputs.readiness.send_replace(readiness);
    }
}

fn notify_dispatch(
    dispatch: &mpsc::UnboundedSender<dispatch::Message>,
    message: dispatch::Message,
) {
    // The receiver lives as long as the process.
    drop(dispatch.send(message));
}
