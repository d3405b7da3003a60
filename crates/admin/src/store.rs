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
const MAX_UNREAD: u32 = 1;

/// How one try at a proposal ended.
enum Try {
    Done(Result<Outcome, Failure>),
    /// Another change came first.
    Overtaken,
    /// The answer of the platform was lost.
    Lost(String),
    /// The platform did not answer a read.
    Unread(String),
    /// The platform is down, and nothing was written.
    Down(String),
}

impl<T: Table> Store<T> {
    /// A store over `table` that holds nothing yet.
    pub fn new(table: T, settings: settings::Store) -> Self {
        let (view, _) = watch::channel(View {
            version: Arc::new(Version::default()),
            confirmed: None,
            health: Health::Unasked,
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
        let held = self.view();
        let asked = time::Instant::now();
        let read = if held.confirmed.is_some() {
            reader::advance(&self.table, &held.version, deadline).await
        } else {
            reader::load(&self.table, deadline).await
        };
        match read {
            Ok(version) => Ok(self.hold(version, asked)),
            Err(error) => {
                self.note_down(&error.to_string());
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
        self.note_proposed(proposal);
        let done = self.settle(proposal, author, deadline).await;
        self.view.send_modify(|view| match done {
            Err(Failure::Unknown(_)) => view.doubt(&proposal.id),
            _ => drop(view.pending.remove(&proposal.id)),
        });
        done
    }

    async fn settle(
        &self,
        proposal: &Proposal,
        author: &Author,
        deadline: time::Instant,
    ) -> Result<Outcome, Failure> {
        let mut lost = None;
        let mut unread = 0;
        for _ in 0..self.settings.tries {
            match self.attempt(proposal, author, deadline).await {
                Try::Done(done) => return done,
                Try::Overtaken => {}
                // The connection may have gone silent; the next try opens a fresh one.
                Try::Unread(_) if unread < MAX_UNREAD => unread += 1,
                Try::Unread(reason) => return Err(unfinished(lost, reason)),
                Try::Lost(reason) => lost = Some(reason),
                Try::Down(reason) => return Err(unfinished(lost, reason)),
            }
        }
        Err(unfinished(lost, String::from("too many changes at once")))
    }

    /// Until when one call that serves a change may take.
    fn call_deadline(&self, deadline: time::Instant) -> time::Instant {
        deadline.min(time::Instant::now() + self.settings.call_timeout)
    }

    async fn attempt(&self, proposal: &Proposal, author: &Author, deadline: time::Instant) -> Try {
        // The configuration is read first and the id second. If an earlier try
        // is still on its way, it either shows under its id now or fails later,
        // because this try judges the revision that the earlier one checks too.
        // In the other order it could land between the two reads, and its own
        // change would look like another operator's.
        let version = match self.refresh(self.call_deadline(deadline)).await {
            Ok(version) => version,
            Err(error) => return unread(&error),
        };
        let read_by = self.call_deadline(deadline);
        match reader::settled(&self.table, &proposal.id, read_by).await {
            Ok(Some(revision)) => {
                self.catch_up(revision, deadline).await;
                return Try::Done(Ok(Outcome::Repeated(revision)));
            }
            Ok(None) => {}
            Err(error) => return unread(&error),
        }
        let judged = proposal.judge(&version.snapshot, &author.who, author.when);
        let change = match judged {
            Ok(Judgement::Change(change)) => change,
            Ok(Judgement::Unchanged) => {
                return Try::Done(Ok(Outcome::Unchanged(version.snapshot.revision())));
            }
            Err(refusal) => return Try::Done(Err(Failure::Refused(refusal))),
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

    async fn commit(&self, version: &Version, change: Change, deadline: time::Instant) -> Try {
        let transaction = match transaction(version, &change) {
            Ok(transaction) => transaction,
            Err(error) => return Try::Down(error.to_string()),
        };
        let written_by = self.call_deadline(deadline);
        match self.table.transact(&transaction, written_by).await {
            Ok(generations) => {
                self.hold_change(version, &change, generations.first().copied());
                Try::Done(Ok(Outcome::Accepted(change.to)))
            }
            Err(storage::Error::Conflict(_)) => Try::Overtaken,
            Err(storage::Error::MayHaveRun(reason)) => Try::Lost(reason),
            Err(storage::Error::NotRun(reason) | storage::Error::Rejected(reason)) => {
                Try::Down(reason)
            }
        }
    }

    fn hold_change(
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
            self.hold(version, time::Instant::now());
        }
    }

    /// Holds `version`, for which the table was asked at `asked`, unless a later
    /// one is held. Gives `version` back.
    fn hold(&self, version: Version, asked: time::Instant) -> Arc<Version> {
        let version = Arc::new(version);
        let offered = Arc::clone(&version);
        self.view.send_modify(|view| {
            // Two tasks may read the table at once and come back in either order.
            if view.confirmed.is_none()
                || offered.snapshot.revision() >= view.version.snapshot.revision()
            {
                view.advance(offered);
            }
            // A slow answer shows the table as it stood at some time since it was asked.
            view.confirmed = view.confirmed.max(Some(asked));
            view.health = Health::Up;
        });
        version
    }

    fn note_proposed(&self, proposal: &Proposal) {
        let put = proposal.puts.iter().map(Resource::key);
        let keys = put.chain(proposal.deletes.iter().cloned()).collect();
        self.view
            .send_modify(|view| view.propose(proposal.id.clone(), keys));
    }

    fn note_down(&self, reason: &str) {
        self.view
            .send_modify(|view| view.health = Health::Down(String::from(reason)));
    }
}

/// The end of a try that could not read.
fn unread(error: &reader::Error) -> Try {
    match error {
        reader::Error::Platform(storage::Error::MayHaveRun(reason)) => Try::Unread(reason.clone()),
        other => Try::Down(other.to_string()),
    }
}

/// The failure of a proposal that was given up for `reason`.
fn unfinished(lost: Option<String>, reason: String) -> Failure {
    match lost {
        Some(lost) => Failure::Unknown(format!("{lost}; {reason}")),
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
