//! The configuration as this process holds it, and the writing of changes.

mod view;

use std::{collections::BTreeMap, sync::Arc};

use audit::reader::{self, Version};
use config::{
    change::Change,
    proposal::{self, Judgement, Proposal},
    resource::Resource,
    rows,
};
use storage::table::{Check, Put, Table, Transaction};
use tokio::{sync::watch, time};
use units::{operator, revision};

use crate::settings;
pub use view::{Health, View};

/// Who makes a change, and when.
#[derive(Clone, Debug)]
pub struct Author {
    /// The operator.
    pub who: operator::Id,
    /// The present time in milliseconds since 1970.
    pub when: u64,
}

/// How a proposal ended well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was committed and made this revision.
    Accepted(revision::Id),
    /// An earlier try with its id had been committed and made this revision.
    Repeated(revision::Id),
    /// Everything was as it asks at this revision.
    Unchanged(revision::Id),
}

/// How a proposal failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It was refused and has changed nothing.
    Refused(proposal::Refusal),
    /// The platform cannot be reached. Nothing was changed.
    Unavailable(String),
    /// An answer of the platform was lost and could not be settled in time.
    /// A repeat with the same id tells, and changes nothing twice.
    Unknown(String),
}

impl Failure {
    /// One sentence about it.
    pub fn reason(&self) -> String {
        match self {
            Self::Refused(proposal::Refusal::Invalid(faults)) => {
                let first = faults.first().map(ToString::to_string);
                format!("{} faults: {}", faults.len(), first.unwrap_or_default())
            }
            Self::Refused(proposal::Refusal::Conflict(conflicts)) => {
                format!("{} resources were changed first", conflicts.len())
            }
            Self::Unavailable(reason) => format!("platform: {reason}"),
            Self::Unknown(reason) => format!("outcome unknown, may have run: {reason}"),
        }
    }
}

/// The configuration held by this process over the platform's table.
///
/// It is a cache: all that counts is in the table, so any number of processes
/// may serve the same configuration.
#[derive(Debug)]
pub struct Store<T> {
    table: T,
    settings: settings::Store,
    view: watch::Sender<View>,
}

/// How many reads without an answer a change outlasts. It is refused at the
/// next, so that an operator learns of an outage at once.
const MAX_READ_TIMEOUTS: u32 = 1;

/// How one try at a proposal ended.
enum Attempt {
    Done(Result<Outcome, Failure>),
    /// Another change came first.
    Superseded,
    /// The answer of the platform was lost.
    OutcomeUnknown(String),
    /// The platform did not answer a read.
    ReadTimedOut(String),
    /// The platform is down, and nothing was written.
    PlatformDown(String),
}

impl<T: Table> Store<T> {
    /// A store over `table` that holds nothing yet.
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

    /// The table.
    pub fn table(&self) -> &T {
        &self.table
    }

    /// The settings.
    pub fn settings(&self) -> &settings::Store {
        &self.settings
    }

    /// What is held now.
    pub fn view(&self) -> View {
        self.view.borrow().clone()
    }

    /// Tells of each change of what is held.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.view.subscribe()
    }

    /// Brings what is held up to the table.
    ///
    /// # Errors
    ///
    /// [`reader::Error`], and what is held stands.
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

    /// Commits `proposal`, or says why not and whether it may have been.
    ///
    /// # Errors
    ///
    /// [`Failure`].
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
                // The connection may have gone silent; the next try opens a fresh one.
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

    /// Until when one call that serves a change may take.
    fn call_deadline(&self, deadline: time::Instant) -> time::Instant {
        deadline.min(time::Instant::now() + self.settings.call_timeout)
    }

    async fn attempt(
        &self,
        proposal: &Proposal,
        author: &Author,
        deadline: time::Instant,
    ) -> Attempt {
        // The configuration is read first and the id second. If an earlier try
        // is still on its way, it either shows under its id now or fails later,
        // because this try judges the revision that the earlier one checks too.
        // In the other order it could land between the two reads, and its own
        // change would look like another operator's.
        let version = match self.refresh(self.call_deadline(deadline)).await {
            Ok(version) => version,
            Err(error) => return read_failure(&error),
        };
        let read_deadline = self.call_deadline(deadline);
        match reader::settled(&self.table, &proposal.id, read_deadline).await {
            Ok(Some(revision)) => {
                self.catch_up(revision, deadline).await;
                return Attempt::Done(Ok(Outcome::Repeated(revision)));
            }
            Ok(None) => {}
            Err(error) => return read_failure(&error),
        }
        let judgement = proposal.judge(&version.snapshot, &author.who, author.when);
        let change = match judgement {
            Ok(Judgement::Change(change)) => change,
            Ok(Judgement::Unchanged) => {
                return Attempt::Done(Ok(Outcome::Unchanged(version.snapshot.revision())));
            }
            Err(refusal) => return Attempt::Done(Err(Failure::Refused(refusal))),
        };
        self.commit(&version, change, deadline).await
    }

    /// Reads the table again if what is held is older than `revision`.
    ///
    /// An earlier try of a change can land after the configuration was read and
    /// before its id was. The operator is told that the change is made, and
    /// would not find it in the list; a next change made from that list would
    /// meet a conflict. The outcome is known whether this read succeeds or not.
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

    /// Holds `version`, for which the table was asked at `requested_at`, unless a later
    /// one is held. Gives `version` back.
    fn update(&self, version: Version, requested_at: time::Instant) -> Arc<Version> {
        let version = Arc::new(version);
        let candidate = Arc::clone(&version);
        self.view.send_modify(|view| {
            // Two tasks may read the table at once and come back in either order.
            if view.confirmed_at.is_none()
                || candidate.snapshot.revision() >= view.version.snapshot.revision()
            {
                view.advance(candidate);
            }
            // A slow answer shows the table as it stood at some time since it was asked.
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

/// The end of a try that could not read.
fn read_failure(error: &reader::Error) -> Attempt {
    match error {
        reader::Error::Platform(storage::Error::MayHaveRun(reason)) => {
            Attempt::ReadTimedOut(reason.clone())
        }
        other => Attempt::PlatformDown(other.to_string()),
    }
}

/// The failure of a proposal that was given up for `reason`.
fn aborted(lost_response: Option<String>, reason: String) -> Failure {
    match lost_response {
        Some(lost_response) => Failure::Unknown(format!("{lost_response}; {reason}")),
        None => Failure::Unavailable(reason),
    }
}

/// All writes of `change`, none of which takes effect if another change came first.
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
