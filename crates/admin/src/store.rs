//! The cached configuration of this process and the commit of changes.

mod view;

use std::{collections::BTreeMap, sync::Arc};

use audit::reader::{self, Version};
use config::{
    change::Change,
    proposal::{self, Evaluation, Proposal},
    resource::Resource,
    rows,
};
use storage::table::{Check, Put, Table, Transaction};
use tokio::{sync::watch, time};
use units::{operator, revision};

use crate::settings;
pub use view::{Health, View};

/// The author of a change and the time of the proposal.
#[derive(Clone, Debug)]
pub struct Author {
    /// The operator.
    pub who: operator::Id,
    /// Milliseconds since the Unix epoch.
    pub when: u64,
}

/// The outcome of a proposal that succeeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was committed as this revision.
    Accepted(revision::Id),
    /// An earlier attempt with the same id had been committed as this revision.
    Repeated(revision::Id),
    /// The configuration at this revision already matches the proposal.
    Unchanged(revision::Id),
}

/// Why a proposal failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The proposal was refused. Nothing was changed.
    Refused(proposal::Refusal),
    /// The platform cannot be reached. Nothing was changed.
    Unavailable(String),
    /// A response of the platform was lost and the outcome could not be determined in
    /// time. Repeating the proposal with the same id returns the outcome and does not
    /// apply the change twice.
    Unknown(String),
}

impl Failure {
    /// Returns a description for the log.
    pub fn reason(&self) -> String {
        match self {
            Self::Refused(proposal::Refusal::Invalid(faults)) => {
                let first = faults.first().map(ToString::to_string);
                format!("{} faults: {}", faults.len(), first.unwrap_or_default())
            }
            Self::Refused(proposal::Refusal::Conflict(conflicts)) => {
                format!(
                    "{} resources have changed since they were read",
                    conflicts.len()
                )
            }
            Self::Unavailable(reason) => format!("platform: {reason}"),
            Self::Unknown(reason) => format!("outcome unknown, may have run: {reason}"),
        }
    }
}

/// A cache of the configuration in the platform's table, through which changes are
/// committed.
///
/// The table is the only source of truth, so any number of processes may serve the
/// same configuration.
#[derive(Debug)]
pub struct Store<T> {
    table: T,
    settings: settings::Store,
    view: watch::Sender<View>,
}

/// Number of reads without a response that are retried per change. The change fails
/// at the next one, so that the operator learns of an outage quickly.
const MAX_READ_TIMEOUTS: u32 = 1;

/// The result of one attempt to commit a proposal.
enum Attempt {
    Done(Result<Outcome, Failure>),
    /// Another change was committed first.
    Superseded,
    /// The response to the write was lost.
    OutcomeUnknown(String),
    /// The platform did not respond to a read.
    ReadTimedOut(String),
    /// The platform is unavailable and nothing was written.
    PlatformDown(String),
}

impl<T: Table> Store<T> {
    /// Returns a store over `table` with no configuration loaded.
    pub fn new(table: T, settings: settings::Store) -> Self {
        let (view, _) = watch::channel(View {
            version: Arc::new(Version::default()),
            confirmed_at: None,
            health: Health::Unchecked,
            removed: BTreeMap::new(),
            pending: BTreeMap::new(),
        });
        Self {
            table,
            settings,
            view,
        }
    }

    /// Returns the table.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// Returns the settings.
    pub fn settings(&self) -> &settings::Store {
        &self.settings
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified when the view changes.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Updates the view from the table.
    ///
    /// # Errors
    ///
    /// Returns a [`reader::Error`] if the table cannot be read. The cached configuration
    /// is then kept.
    pub async fn refresh(&self, deadline: time::Instant) -> Result<Arc<Version>, reader::Error> {
        let current = self.view();
        let requested_at = time::Instant::now();
        let read = if current.confirmed_at.is_some() {
            reader::advance(&self.table, &current.version, deadline).await
        } else {
            reader::load(&self.table, deadline).await
        };
        match read {
            Ok(version) => Ok(self.update(version, requested_at)),
            Err(error) => {
                self.mark_down(&error.to_string());
                Err(error)
            }
        }
    }

    /// Commits `proposal`. A failure shows whether the proposal may have been committed.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the proposal was not committed or its outcome is unknown.
    pub async fn submit(
        &self,
        proposal: &Proposal,
        author: &Author,
        deadline: time::Instant,
    ) -> Result<Outcome, Failure> {
        if let Health::Down(reason) = self.view().health {
            return Err(Failure::Unavailable(reason));
        }
        self.record_pending(proposal);
        let result = self.submit_with_retries(proposal, author, deadline).await;
        self.view.send_modify(|view| match result {
            Err(Failure::Unknown(_)) => view.mark_outcome_unknown(&proposal.id),
            _ => drop(view.pending.remove(&proposal.id)),
        });
        result
    }

    async fn submit_with_retries(
        &self,
        proposal: &Proposal,
        author: &Author,
        deadline: time::Instant,
    ) -> Result<Outcome, Failure> {
        let mut lost_response = None;
        let mut read_timeouts = 0;
        for _ in 0..self.settings.max_attempts {
            match self.attempt(proposal, author, deadline).await {
                Attempt::Done(result) => return result,
                Attempt::Superseded => {}
                // The connection may be unresponsive; the next attempt opens a new one.
                Attempt::ReadTimedOut(_) if read_timeouts < MAX_READ_TIMEOUTS => read_timeouts += 1,
                Attempt::ReadTimedOut(reason) => return Err(aborted(lost_response, reason)),
                Attempt::OutcomeUnknown(reason) => lost_response = Some(reason),
                Attempt::PlatformDown(reason) => return Err(aborted(lost_response, reason)),
            }
        }
        Err(aborted(
            lost_response,
            String::from("too many changes at once"),
        ))
    }

    /// Returns the deadline of one call within a change that has to end by `deadline`.
    fn call_deadline(&self, deadline: time::Instant) -> time::Instant {
        deadline.min(time::Instant::now() + self.settings.call_timeout)
    }

    async fn attempt(
        &self,
        proposal: &Proposal,
        author: &Author,
        deadline: time::Instant,
    ) -> Attempt {
        // The configuration is read first and the id second. If the write of an earlier
        // attempt is still in flight, either its id is found now or that write fails
        // later, because this attempt is based on the same revision that the earlier
        // write checks. In the other order the write could be committed between the
        // two reads, and the operator's own change would look like a conflicting one.
        let version = match self.refresh(self.call_deadline(deadline)).await {
            Ok(version) => version,
            Err(error) => return read_failure(&error),
        };
        let read_deadline = self.call_deadline(deadline);
        match reader::committed_revision(&self.table, &proposal.id, read_deadline).await {
            Ok(Some(revision)) => {
                self.catch_up(revision, deadline).await;
                return Attempt::Done(Ok(Outcome::Repeated(revision)));
            }
            Ok(None) => {}
            Err(error) => return read_failure(&error),
        }
        let evaluation = proposal.evaluate(&version.snapshot, &author.who, author.when);
        let change = match evaluation {
            Ok(Evaluation::Change(change)) => change,
            Ok(Evaluation::Unchanged) => {
                return Attempt::Done(Ok(Outcome::Unchanged(version.snapshot.revision())));
            }
            Err(refusal) => return Attempt::Done(Err(Failure::Refused(refusal))),
        };
        self.commit(&version, change, deadline).await
    }

    /// Reads the table again if the cached configuration is older than `revision`.
    ///
    /// An earlier attempt of a change can be committed after the configuration was
    /// read and before its id is read. Without this read, the change would be reported
    /// as committed but missing from the list of resources, and a change based on that
    /// list would fail with a conflict. The outcome is known even if this read fails.
    async fn catch_up(&self, revision: revision::Id, deadline: time::Instant) {
        if self.view().version.snapshot.revision() >= revision {
            return;
        }
        if let Err(error) = self.refresh(self.call_deadline(deadline)).await {
            logging::event!(
                warn,
                "change_not_shown",
                revision = revision,
                reason = error
            );
        }
    }

    async fn commit(&self, version: &Version, change: Change, deadline: time::Instant) -> Attempt {
        let transaction = match transaction(version, &change) {
            Ok(transaction) => transaction,
            Err(error) => return Attempt::PlatformDown(error.to_string()),
        };
        let write_deadline = self.call_deadline(deadline);
        match self.table.transact(&transaction, write_deadline).await {
            Ok(generations) => {
                self.apply_committed(version, &change, generations.first().copied());
                Attempt::Done(Ok(Outcome::Accepted(change.to)))
            }
            Err(storage::Error::Conflict(_)) => Attempt::Superseded,
            Err(storage::Error::MayHaveRun(reason)) => Attempt::OutcomeUnknown(reason),
            Err(storage::Error::NotRun(reason) | storage::Error::Rejected(reason)) => {
                Attempt::PlatformDown(reason)
            }
        }
    }

    fn apply_committed(
        &self,
        version: &Version,
        change: &Change,
        generation: Option<revision::Generation>,
    ) {
        let mut snapshot = version.snapshot.clone();
        if let (Ok(()), Some(generation)) = (snapshot.apply(change), generation) {
            let version = Version {
                snapshot,
                generation,
            };
            self.update(version, time::Instant::now());
        }
    }

    /// Caches `version`, which was requested from the table at `requested_at`, unless a
    /// newer version is cached. Returns `version`.
    fn update(&self, version: Version, requested_at: time::Instant) -> Arc<Version> {
        let version = Arc::new(version);
        let candidate = Arc::clone(&version);
        self.view.send_modify(|view| {
            // Concurrent reads of the table may complete in any order.
            if view.confirmed_at.is_none()
                || candidate.snapshot.revision() >= view.version.snapshot.revision()
            {
                view.advance(candidate);
            }
            // The response shows the table at some time after the request was sent, so
            // only the time of the request is certain.
            view.confirmed_at = view.confirmed_at.max(Some(requested_at));
            view.health = Health::Up;
        });
        version
    }

    fn record_pending(&self, proposal: &Proposal) {
        let put = proposal.puts.iter().map(Resource::key);
        let keys = put.chain(proposal.deletes.iter().cloned()).collect();
        self.view
            .send_modify(|view| view.insert_pending(proposal.id.clone(), keys));
    }

    fn mark_down(&self, reason: &str) {
        self.view
            .send_modify(|view| view.health = Health::Down(String::from(reason)));
    }
}

/// Returns the result of an attempt whose read failed.
fn read_failure(error: &reader::Error) -> Attempt {
    match error {
        reader::Error::Platform(storage::Error::MayHaveRun(reason)) => {
            Attempt::ReadTimedOut(reason.clone())
        }
        other => Attempt::PlatformDown(other.to_string()),
    }
}

/// Returns the failure of a proposal that was aborted for `reason`. Its outcome is
/// unknown if the response to an earlier write was lost.
fn aborted(lost_response: Option<String>, reason: String) -> Failure {
    match lost_response {
        Some(lost_response) => Failure::Unknown(format!("{lost_response}; {reason}")),
        None => Failure::Unavailable(reason),
    }
}

/// Returns the transaction that writes `change`. It is not applied if another change
/// was committed first.
fn transaction(version: &Version, change: &Change) -> Result<Transaction, serde_json::Error> {
    let check = |key: String, generation| Check { key, generation };
    let absent = revision::Generation::default();
    let checks = vec![
        check(String::from(rows::REVISION), version.generation),
        check(rows::id(&change.id), absent),
        check(rows::change(change.to), absent),
    ];
    let mut puts = vec![
        put(String::from(rows::REVISION), &change.to)?,
        put(rows::id(&change.id), &change.to)?,
        put(rows::change(change.to), change)?,
    ];
    for resource in &change.puts {
        let declared = rows::Declared {
            resource: resource.clone(),
            revision: change.to,
        };
        puts.push(put(rows::resource(&resource.key()), &declared)?);
    }
    Ok(Transaction {
        checks,
        puts,
        deletes: change.deletes.iter().map(rows::resource).collect(),
    })
}

fn put(key: String, value: &impl serde::Serialize) -> Result<Put, serde_json::Error> {
    let value = serde_json::to_value(value)?;
    Ok(Put { key, value })
}
