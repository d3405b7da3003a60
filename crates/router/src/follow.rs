//! The task that keeps the configuration and the host list up to date.

pub mod update;

use std::{collections::VecDeque, net, sync::Arc, time::Duration};

use config::{change, rows, snapshot::Snapshot};
use fleet::{
    Region,
    revision_sync::{self, Outcome, RevisionSync, Step},
};
use storage::{
    hosts::{self, Hosts as _},
    table::{self, Table as _},
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time,
};
use units::{host, revision};
use wire::seal;

use crate::{clock::Clock, gossip, hop, members::Members, metrics::Metrics, view::View};
use update::Update;

/// Number of changes kept for peers with an older revision.
const CHANGES_KEPT: usize = 512;
/// Timeout of a call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum delay until the next step is decided.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// How long a starting router waits for the host list before it serves without
/// it.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of peers that are asked for the host list, one after the
/// other.
const MAX_HOSTS_PEERS: usize = 3;
/// Interval between reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_millis(2000);

/// A message to the task.
#[derive(Debug)]
pub enum Message {
    /// A peer has a newer revision.
    NewerRevision {
        /// The peer.
        host: host::Id,
        /// Its address.
        address: net::SocketAddr,
        /// The revision.
        revision: revision::Id,
    },
    /// How the polling of the table is shared.
    Polls {
        /// Number of routers in the zone that share the polling.
        routers: usize,
        /// Whether this router polls on behalf of its zone.
        duty: bool,
    },
    /// A peer requests the changes after `since`.
    Changes {
        /// The revision that the peer has applied.
        since: revision::Id,
        /// Receives the update; `None` if this router holds no configuration.
        reply: oneshot::Sender<Option<Update>>,
    },
}

/// The sources that the task reads from.
#[derive(Debug)]
pub struct Sources {
    /// The platform's table.
    pub table: table::Client,
    /// The platform's host list.
    pub hosts: hosts::Client,
    /// The key that the routers share.
    pub key: seal::Key,
}

/// The channels on which the task publishes, and what it needs to do so.
#[derive(Debug)]
pub struct Outputs {
    /// The view derived from the configuration and the host list.
    pub view: watch::Sender<Arc<View>>,
    /// The host list as last read.
    pub hosts: watch::Sender<Arc<Vec<hosts::Host>>>,
    /// The known routers, as a fallback source of the host list.
    pub members: watch::Receiver<Arc<Members>>,
    /// The task that announces the applied revision to the other routers.
    pub gossip: mpsc::UnboundedSender<gossip::Message>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// State of the task.
#[derive(Debug)]
pub struct Follower {
    clock: Clock,
    sources: Sources,
    outputs: Outputs,
    region: Region,
    spread: RevisionSync,
    snapshot: Option<Arc<Snapshot>>,
    changes: VecDeque<change::Change>,
    hosts: Arc<Vec<hosts::Host>>,
    ready: bool,
    /// Whether the host list has been read.
    hosts_read: bool,
    /// When this router serves without the host list: it may be the only router
    /// left in its zone.
    hosts_deadline: units::time::Instant,
    next_hosts_read: time::Instant,
    next_step: time::Instant,
}

impl Follower {
    /// Creates a task that has read nothing yet.
    pub fn new(clock: Clock, region: Region, sources: Sources, outputs: Outputs) -> Self {
        let settings = revision_sync::Settings::default();
        Self {
            clock,
            sources,
            outputs,
            region,
            spread: RevisionSync::new(settings, rand::random(), clock.now()),
            snapshot: None,
            changes: VecDeque::new(),
            hosts: Arc::default(),
            ready: false,
            hosts_read: false,
            hosts_deadline: clock.now() + HOSTS_TIMEOUT,
            next_hosts_read: time::Instant::now(),
            next_step: time::Instant::now(),
        }
    }

    /// Runs until all senders of messages are dropped.
    pub async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = time::sleep_until(self.next_step) => self.step().await,
                () = time::sleep_until(self.next_hosts_read) => self.read_hosts().await,
            }
        }
    }

    fn revision(&self) -> revision::Id {
        self.snapshot
            .as_ref()
            .map_or_else(revision::Id::default, |snapshot| snapshot.revision())
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::NewerRevision {
                host,
                address,
                revision,
            } => {
                self.spread.add_source(host, address, revision);
                self.next_step = time::Instant::now();
            }
            Message::Polls { routers, duty } => {
                self.spread.set_zone_routers(routers);
                self.spread.set_designated_poller(duty, self.clock.now());
                self.next_step = time::Instant::now();
            }
            Message::Changes { since, reply } => {
                // The peer may have disconnected while its request waited.
                let _ = reply.send(self.changes_since(since));
            }
        }
    }

    /// Fetches from a peer, polls the table or waits, as `Spread` decides.
    async fn step(&mut self) {
        let now = self.clock.now();
        match self.spread.step(now) {
            Step::Fetch { address, .. } => {
                let outcome = self.fetch(address).await;
                self.spread.record_outcome(outcome, self.clock.now());
            }
            Step::Poll => {
                let outcome = self.poll().await;
                self.spread.record_outcome(outcome, self.clock.now());
            }
            Step::Wait(until) => {
                let until = self.clock.at(until);
                self.next_step = until.min(time::Instant::now() + MAX_WAIT);
            }
        }
        self.check_ready();
    }

    /// Announces that this router is ready, once it is.
    fn check_ready(&mut self) {
        let now = self.clock.now();
        let has_hosts = self.hosts_read || now >= self.hosts_deadline;
        if !self.ready && has_hosts && self.spread.is_ready(now) {
            self.ready = true;
            self.publish();
            self.notify(gossip::Message::Ready);
        }
    }

    fn notify(&self, message: gossip::Message) {
        // The gossip task runs until the process ends.
        let _ = self.outputs.gossip.send(message);
    }

    /// The update for a peer at revision `since`; `None` if no configuration is
    /// held.
    fn changes_since(&self, since: revision::Id) -> Option<Update> {
        let snapshot = self.snapshot.as_ref()?;
        if since == snapshot.revision() {
            return Some(Update::Changes(Vec::new()));
        }
        let held = self.changes.iter().any(|change| change.from == since);
        if !held {
            return Some(Update::Snapshot(Arc::clone(snapshot)));
        }
        let newer = self.changes.iter().filter(|change| change.from >= since);
        Some(Update::Changes(newer.cloned().collect()))
    }

    async fn fetch(&mut self, peer: net::SocketAddr) -> Outcome {
        let since = self.revision();
        match hop::client::fetch_changes(peer, &self.sources.key, since).await {
            Ok(update) => {
                self.apply_update(update);
                Outcome::Succeeded(self.revision())
            }
            Err(error) => {
                logging::event!(warn, "fetch_failed", peer = peer, error = error);
                Outcome::Failed
            }
        }
    }

    async fn poll(&mut self) -> Outcome {
        let deadline = time::Instant::now() + PLATFORM_TIMEOUT;
        let result = match self.snapshot {
            None => self.read_all(deadline).await,
            Some(_) => self.read_changes(deadline).await,
        };
        match result {
            Ok(()) => Outcome::Succeeded(self.revision()),
            Err(error) => {
                logging::event!(warn, "poll_failed", error = error);
                Outcome::Failed
            }
        }
    }

    async fn read_all(&mut self, deadline: time::Instant) -> Result<(), storage::Error> {
        let range = table::Range {
            prefix: String::from(rows::SNAPSHOT_PREFIX),
            ..table::Range::default()
        };
        let rows = self.sources.table.scan(&range, deadline).await?;
        let pairs = rows.iter().map(|row| (row.key.as_str(), &row.value));
        match Snapshot::from_rows(pairs) {
            Ok(snapshot) => self.apply_update(Update::Snapshot(Arc::new(snapshot))),
            Err(error) => logging::event!(error, "table_malformed", error = error),
        }
        Ok(())
    }

    async fn read_changes(&mut self, deadline: time::Instant) -> Result<(), storage::Error> {
        let range = table::Range {
            prefix: String::from(rows::CHANGE_PREFIX),
            from: rows::change(self.revision().next()),
            limit: Some(CHANGES_KEPT),
        };
        let rows = self.sources.table.scan(&range, deadline).await?;
        let changes: Result<Vec<_>, _> = rows
            .into_iter()
            .map(|row| serde_json::from_value::<change::Change>(row.value))
            .collect();
        match changes {
            Ok(changes) if self.is_contiguous(&changes) => {
                self.apply_update(Update::Changes(changes))
            }
            Ok(_) => self.read_all(deadline).await?,
            Err(error) => logging::event!(error, "table_malformed", error = error),
        }
        Ok(())
    }

    /// Whether `changes` start at the applied revision.
    ///
    /// Old change rows are compacted away. A router that was partitioned for
    /// long would otherwise wait for a change that no longer exists.
    fn is_contiguous(&self, changes: &[change::Change]) -> bool {
        changes
            .first()
            .is_none_or(|change| change.from == self.revision())
    }

    fn apply_update(&mut self, update: Update) {
        let before = self.revision();
        match update {
            Update::Snapshot(snapshot) => self.apply_snapshot(snapshot),
            Update::Changes(changes) => self.apply_changes(changes),
        }
        let after = self.revision();
        if after > before {
            logging::event!(info, "revision_applied", from = before, to = after);
            self.outputs.metrics.applied(after);
            self.publish();
            self.notify(gossip::Message::Applied(after));
        }
    }

    /// Applies a snapshot that is newer than the one held.
    ///
    /// A peer that was partitioned may send an old snapshot. Applying it would
    /// revert an accepted configuration, so older snapshots are ignored.
    /// Revision zero is a table in which nothing has been declared, so there is
    /// nothing to serve yet.
    fn apply_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        if snapshot.revision() <= self.revision() || !self.spread.apply(snapshot.revision()) {
            return;
        }
        self.changes.clear();
        self.snapshot = Some(snapshot);
    }

    fn apply_changes(&mut self, changes: Vec<change::Change>) {
        let Some(held) = &self.snapshot else {
            return;
        };
        let mut snapshot = Snapshot::clone(held);
        for change in changes {
            if snapshot.apply(&change).is_ok() {
                self.changes.push_back(change);
            }
        }
        let excess = self.changes.len().saturating_sub(CHANGES_KEPT);
        self.changes.drain(..excess);
        if self.spread.apply(snapshot.revision()) {
            self.snapshot = Some(Arc::new(snapshot));
        }
    }

    async fn read_hosts(&mut self) {
        self.next_hosts_read = time::Instant::now() + HOSTS_INTERVAL;
        let deadline = time::Instant::now() + PLATFORM_TIMEOUT;
        let listed = self.sources.hosts.list(deadline).await;
        self.hosts_read |= listed.is_ok();
        match listed {
            Ok(hosts) if hosts != *self.hosts => self.apply_hosts(hosts),
            Ok(_) => {}
            Err(error) => {
                logging::event!(debug, "hosts_failed", error = error);
                self.fetch_hosts().await;
            }
        }
    }

    /// Fetches the host list from a peer while the platform is unavailable.
    ///
    /// Without it, a router that starts during an outage would know only the
    /// backend servers that the configuration names, and refuse all requests
    /// for others.
    async fn fetch_hosts(&mut self) {
        if self.hosts_read {
            return;
        }
        let members = Arc::clone(&self.outputs.members.borrow());
        let peers = members.peers.iter().filter(|peer| peer.host != members.own);
        for peer in peers.take(MAX_HOSTS_PEERS) {
            match hop::client::fetch_hosts(peer.address, &self.sources.key).await {
                Ok(hosts) if !hosts.is_empty() => {
                    self.hosts_read = true;
                    self.apply_hosts(hosts);
                    return;
                }
                Ok(_) => {}
                Err(error) => {
                    logging::event!(debug, "hosts_failed", peer = peer.address, error = error);
                }
            }
        }
    }

    fn apply_hosts(&mut self, hosts: Vec<hosts::Host>) {
        let (before, after) = (self.hosts.len(), hosts.len());
        logging::event!(info, "hosts_listed", from = before, to = after);
        self.hosts = Arc::new(hosts);
        self.outputs.hosts.send_replace(Arc::clone(&self.hosts));
        self.publish();
    }

    fn publish(&self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let now = self.clock.now();
        let next = self
            .outputs
            .view
            .borrow()
            .rebuild(&self.region, snapshot, &self.hosts, now);
        let ready = self.ready;
        self.outputs
            .view
            .send_replace(Arc::new(View { ready, ..next }));
    }
}
