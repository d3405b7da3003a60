//! The task that knows what is stored, and tells the others when it changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use tokio::{
    sync::{mpsc, watch},
    time,
};
use units::{backend, host, time::Instant};

use crate::{
    clock::Clock,
    dispatch,
    follow::Event,
    metrics::Metrics,
    roster::{Change, Roster},
    route::Table,
    source::{Batch, Directive, Member, Row, Source, Topic},
};

/// What a router still misses to serve requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It knows no configuration.
    #[default]
    NoConfiguration,
    /// It knows no backend server.
    NoServers,
    /// It can serve.
    Ready,
}

impl fmt::Display for Readiness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoConfiguration => "no configuration",
            Self::NoServers => "no servers",
            Self::Ready => "ready",
        })
    }
}

/// Whom the task tells.
#[derive(Debug)]
pub struct Outputs {
    /// Those who need the configuration.
    pub table: watch::Sender<Option<Arc<Table>>>,
    /// Those who need to know whether requests can be served.
    pub readiness: watch::Sender<Readiness>,
    /// Those who need the other routers.
    pub members: watch::Sender<Arc<Vec<Member>>>,
    /// The task that chooses servers.
    pub dispatch: mpsc::UnboundedSender<dispatch::Message>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

/// All that is stored, as far as this router knows.
///
/// Rows only ever give way to rows of a higher version: reads may be stale,
/// and a configuration that was in force must not come back.
#[derive(Debug)]
pub struct State<S> {
    source: S,
    clock: Clock,
    outputs: Outputs,
    directives: BTreeMap<String, Row>,
    removed: BTreeMap<String, u64>,
    table_version: u64,
    roster: Roster,
    members: BTreeMap<host::Id, (Member, u64)>,
    readiness: Readiness,
}

impl<S: Source> State<S> {
    /// A state that nothing has been read into.
    pub fn new(source: S, clock: Clock, outputs: Outputs) -> Self {
        Self {
            source,
            clock,
            outputs,
            directives: BTreeMap::new(),
            removed: BTreeMap::new(),
            table_version: 0,
            roster: Roster::default(),
            members: BTreeMap::new(),
            readiness: Readiness::default(),
        }
    }

    /// Runs until nobody can tell it anything any more.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        loop {
            let expiry = self.roster.next_expiry();
            let wake = self.clock.at(expiry.unwrap_or(Instant::NEVER));
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                () = time::sleep_until(wake), if expiry.is_some() => self.expire(),
            }
        }
    }

    /// Takes in what following the store brought.
    pub fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Batch(Topic::Configuration, batch) => self.configure(batch),
            Event::Batch(Topic::Servers, batch) => self.register(batch, now),
            Event::Batch(Topic::Routers, batch) => self.enroll(batch),
            Event::Returned(Topic::Servers) => self.roster.store_returned(now),
            Event::Returned(_) | Event::Lost(_) => {}
        }
    }

    fn expire(&mut self) {
        if self.roster.expire(self.clock.now()) {
            self.publish_roster();
        }
    }

    fn configure(&mut self, batch: Batch) {
        let mut changed = self.merge(&batch);
        if batch.is_whole {
            changed |= self.drop_missing(&batch);
        }
        if changed {
            self.publish_configuration();
        }
    }

    fn merge(&mut self, batch: &Batch) -> bool {
        let mut changed = false;
        for row in &batch.rows {
            let known = self.directives.get(&row.key).map(|known| known.version);
            let removed = self.removed.get(&row.key).copied();
            if known.max(removed).is_some_and(|known| row.version <= known) {
                continue;
            }
            changed = true;
            if row.value.is_some() {
                self.removed.remove(&row.key);
                self.directives.insert(row.key.clone(), row.clone());
            } else {
                self.directives.remove(&row.key);
                self.removed.insert(row.key.clone(), row.version);
            }
        }
        changed
    }

    fn drop_missing(&mut self, batch: &Batch) -> bool {
        let listed: BTreeSet<&String> = batch.rows.iter().map(|row| &row.key).collect();
        let before = self.directives.len();
        self.directives
            .retain(|key, row| listed.contains(key) || row.version > batch.version);
        self.directives.len() != before
    }

    fn publish_configuration(&mut self) {
        let mut zones = BTreeSet::new();
        for row in self.directives.values() {
            match self.source.directive(row) {
                Ok(Directive::Table(table)) if row.version > self.table_version => {
                    self.table_version = row.version;
                    logging::event!(
                        info,
                        "configuration_in_force",
                        config = table.version,
                        row = row.version
                    );
                    self.outputs.metrics.set_config(table.version);
                    let table = Arc::from(table);
                    let message = dispatch::Message::Table(Arc::clone(&table));
                    tell(&self.outputs.dispatch, message);
                    self.outputs.table.send_replace(Some(table));
                }
                Ok(Directive::Table(_) | Directive::Unknown) => {}
                Ok(Directive::Evacuation(zone)) => {
                    zones.insert(zone);
                }
                Err(error) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                }
            }
        }
        if self.roster.set_evacuated(zones.clone()) {
            let zones: Vec<_> = zones.iter().map(|zone| zone.as_str()).collect();
            logging::event!(info, "zones_out", zones = zones.join(","));
            self.publish_roster();
        }
        self.publish_readiness();
    }

    fn register(&mut self, batch: Batch, now: Instant) {
        let mut entries = Vec::new();
        let mut changed = false;
        for row in &batch.rows {
            match self.entry(row, now) {
                Some(Change::Present(entry)) if batch.is_whole => entries.push(entry),
                Some(change) => changed |= self.roster.apply(change, now),
                None => {}
            }
        }
        if batch.is_whole {
            changed |= self.roster.replace(entries, batch.version, now);
        }
        if changed {
            self.publish_roster();
        }
    }

    fn entry(&self, row: &Row, now: Instant) -> Option<Change> {
        let server: backend::Server = row.key.parse().ok()?;
        if row.value.is_none() {
            return Some(Change::Absent {
                server,
                revision: row.version,
            });
        }
        match self.source.server(row, now) {
            Ok(entry) => Some(Change::Present(entry)),
            Err(error) => {
                logging::event!(warn, "row_malformed", key = row.key, reason = error);
                // Whoever wrote it, the entry names no server to use.
                Some(Change::Absent {
                    server,
                    revision: row.version,
                })
            }
        }
    }

    fn publish_roster(&mut self) {
        logging::event!(
            info,
            "servers_changed",
            registered = self.roster.len(),
            usable = self.roster.usable().count()
        );
        let message = dispatch::Message::Roster(Arc::new(self.roster.clone()));
        tell(&self.outputs.dispatch, message);
        self.publish_readiness();
    }

    fn enroll(&mut self, batch: Batch) {
        for row in &batch.rows {
            let Ok(host) = row.key.parse::<host::Id>() else {
                continue;
            };
            match row.value.as_ref().map(|_| self.source.member(row)) {
                Some(Ok(member)) => {
                    self.members.insert(host, (member, row.version));
                }
                Some(Err(error)) => {
                    logging::event!(warn, "row_malformed", key = row.key, reason = error);
                }
                None => {
                    self.members.remove(&host);
                }
            }
        }
        if batch.is_whole {
            let listed: BTreeSet<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
            self.members.retain(|host, (_, version)| {
                listed.contains(host.as_str()) || *version > batch.version
            });
        }
        let members: Vec<_> = self
            .members
            .values()
            .map(|(member, _)| member.clone())
            .collect();
        if **self.outputs.members.borrow() == members {
            return;
        }
        logging::event!(info, "routers_changed", registered = members.len());
        let hosts = members.iter().map(|member| member.host.clone()).collect();
        tell(&self.outputs.dispatch, dispatch::Message::Members(hosts));
        self.outputs.members.send_replace(Arc::new(members));
        self.publish_sizes();
    }

    fn publish_sizes(&self) {
        let metrics = &self.outputs.metrics;
        metrics.set_sizes(self.roster.len(), self.members.len());
    }

    fn publish_readiness(&mut self) {
        self.publish_sizes();
        let readiness = if self.table_version == 0 {
            Readiness::NoConfiguration
        } else if self.roster.is_empty() {
            Readiness::NoServers
        } else {
            Readiness::Ready
        };
        // A router that was ready stays so: what it knows still serves, and if
        // all were unready at once, nobody would serve at all.
        if self.readiness == Readiness::Ready || self.readiness == readiness {
            return;
        }
        self.readiness = readiness;
        logging::event!(info, "readiness_changed", readiness = readiness);
        self.outputs.readiness.send_replace(readiness);
    }
}

fn tell(dispatch: &mpsc::UnboundedSender<dispatch::Message>, message: dispatch::Message) {
    // The task ends only with the process.
    drop(dispatch.send(message));
}
