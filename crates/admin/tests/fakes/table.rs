//! An in-memory table whose calls are delayed and fail according to a script.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use storage::{
    Conflict, Error,
    table::{Range, Row, Table, Transaction},
};
use tokio::{task, time};
use units::revision;

/// How the table handles one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Executes the call and responds.
    Answered,
    /// Does not execute the call and reports this to the caller.
    Refused,
    /// Executes the call, but the response is lost.
    ResponseLost,
    /// Never executes the call; its outcome is unknown to the caller.
    RequestLost,
    /// Executes the call this many steps after the caller gave up.
    Delayed(u8),
}

/// The number of steps by which a call is delayed, and its behavior.
pub type Step = (u8, Behavior);

/// An in-memory table. Clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    script: Arc<Mutex<VecDeque<Step>>>,
    delayed: Arc<Mutex<Vec<task::JoinHandle<()>>>>,
}

impl Fake {
    /// Returns an empty table whose calls follow `script` in call order. Calls after the
    /// end of the script succeed immediately.
    pub fn new(script: Vec<Step>) -> Self {
        Self {
            script: Arc::new(Mutex::new(script.into())),
            ..Self::default()
        }
    }

    /// Waits for the calls whose execution is delayed.
    pub async fn join_delayed(&self) {
        let delayed: Vec<_> = self.delayed.lock().expect("lock").drain(..).collect();
        for call in delayed {
            call.await.expect("delayed call");
        }
    }

    /// Returns a handle to the same rows whose calls succeed immediately.
    pub fn without_faults(&self) -> Self {
        Self {
            rows: Arc::clone(&self.rows),
            ..Self::default()
        }
    }

    async fn next_step(&self) -> Behavior {
        let step = self.script.lock().expect("lock").pop_front();
        let (wait, behavior) = step.unwrap_or((0, Behavior::Answered));
        yield_steps(wait).await;
        behavior
    }

    /// Fails a read according to the script. A read changes nothing, so whether it was
    /// executed makes no difference.
    async fn check_read(&self) -> Result<(), Error> {
        match self.next_step().await {
            Behavior::Answered => Ok(()),
            Behavior::Refused => Err(Error::NotRun(String::from("script"))),
            _ => Err(Error::MayHaveRun(String::from("script"))),
        }
    }

    fn execute(&self, transaction: &Transaction) -> Result<Vec<revision::Generation>, Error> {
        let mut rows = self.rows.lock().expect("lock");
        let generation = |rows: &BTreeMap<String, Row>, key: &str| {
            rows.get(key).map(|row| row.generation).unwrap_or_default()
        };
        let conflicts: Vec<Conflict> = transaction
            .checks
            .iter()
            .filter(|check| generation(&rows, &check.key) != check.generation)
            .map(|check| Conflict {
                key: check.key.clone(),
                generation: generation(&rows, &check.key),
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(Error::Conflict(conflicts));
        }
        for key in &transaction.deletes {
            rows.remove(key);
        }
        let mut generations = Vec::new();
        for put in &transaction.puts {
            let generation = generation(&rows, &put.key).next();
            generations.push(generation);
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                generation,
            };
            rows.insert(put.key.clone(), row);
        }
        Ok(generations)
    }
}

impl Table for Fake {
    async fn read(&self, key: &str, _deadline: time::Instant) -> Result<Option<Row>, Error> {
        self.check_read().await?;
        Ok(self.rows.lock().expect("lock").get(key).cloned())
    }

    async fn scan(&self, range: &Range, _deadline: time::Instant) -> Result<Vec<Row>, Error> {
        self.check_read().await?;
        let rows = self.rows.lock().expect("lock");
        let listed = rows.values().filter(|row| {
            row.key.starts_with(&range.prefix) && row.key.as_str() >= range.from.as_str()
        });
        Ok(listed
            .take(range.limit.unwrap_or(usize::MAX))
            .cloned()
            .collect())
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        _deadline: time::Instant,
    ) -> Result<Vec<revision::Generation>, Error> {
        let response_lost = || Error::MayHaveRun(String::from("script"));
        match self.next_step().await {
            Behavior::Answered => self.execute(transaction),
            Behavior::Refused => Err(Error::NotRun(String::from("script"))),
            Behavior::RequestLost => Err(response_lost()),
            Behavior::ResponseLost => {
                drop(self.execute(transaction));
                Err(response_lost())
            }
            Behavior::Delayed(wait) => {
                let (table, transaction) = (self.clone(), transaction.clone());
                let call = task::spawn(async move {
                    yield_steps(wait).await;
                    drop(table.execute(&transaction));
                });
                self.delayed.lock().expect("lock").push(call);
                Err(response_lost())
            }
        }
    }
}

async fn yield_steps(steps: u8) {
    for _ in 0..steps {
        task::yield_now().await;
    }
}
