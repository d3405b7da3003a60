//! A table in memory whose calls wait and fail as a script says.

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

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// It is carried out and answered.
    Answered,
    /// It is not carried out, and the caller knows.
    Refused,
    /// It is carried out and its answer is lost.
    ResponseLost,
    /// It is never carried out and the caller does not know.
    RequestLost,
    /// The caller gives up, and it is carried out some steps later.
    Delayed(u8),
}

/// How many steps a call waits before it is carried out, and its fate.
pub type Step = (u8, Behavior);

/// A table in memory; its clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    script: Arc<Mutex<VecDeque<Step>>>,
    delayed: Arc<Mutex<Vec<task::JoinHandle<()>>>>,
}

impl Fake {
    /// A table whose calls follow `script` in the order in which they are made,
    /// and are answered at once after its end.
    pub fn new(script: Vec<Step>) -> Self {
        Self {
            script: Arc::new(Mutex::new(script.into())),
            ..Self::default()
        }
    }

    /// Waits for the calls that are carried out late.
    pub async fn join_delayed(&self) {
        let delayed: Vec<_> = self.delayed.lock().expect("lock").drain(..).collect();
        for call in delayed {
            call.await.expect("late call");
        }
    }

    /// The same table, whose calls are answered at once.
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

    /// A read changes nothing, so whether it was carried out makes no difference.
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
