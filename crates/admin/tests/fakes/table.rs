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
pub enum Fate {
    /// It is carried out and answered.
    Answered,
    /// It is not carried out, and the caller knows.
    Refused,
    /// It is carried out and its answer is lost.
    AnswerLost,
    /// It is never carried out and the caller does not know.
    CallLost,
    /// The caller gives up, and it is carried out some steps later.
    Late(u8),
}

/// How many steps a call waits before it is carried out, and its fate.
pub type Step = (u8, Fate);

/// A table in memory; its clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct Fake {
    rows: Arc<Mutex<BTreeMap<String, Row>>>,
    script: Arc<Mutex<VecDeque<Step>>>,
    late: Arc<Mutex<Vec<task::JoinHandle<()>>>>,
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
    pub async fn settle(&self) {
        let late: Vec<_> = self.late.lock().expect("lock").drain(..).collect();
        for call in late {
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

    async fn next(&self) -> Fate {
        let step = self.script.lock().expect("lock").pop_front();
        let (wait, fate) = step.unwrap_or((0, Fate::Answered));
        pause(wait).await;
        fate
    }

    /// A read changes nothing, so whether it was carried out makes no difference.
    async fn read_fails(&self) -> Result<(), Error> {
        match self.next().await {
            Fate::Answered => Ok(()),
            Fate::Refused => Err(Error::NotRun(String::from("script"))),
            _ => Err(Error::MayHaveRun(String::from("script"))),
        }
    }

    fn carry_out(&self, transaction: &Transaction) -> Result<Vec<revision::Generation>, Error> {
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
        let mut made = Vec::new();
        for put in &transaction.puts {
            let generation = generation(&rows, &put.key).next();
            made.push(generation);
            let row = Row {
                key: put.key.clone(),
                value: put.value.clone(),
                generation,
            };
            rows.insert(put.key.clone(), row);
        }
        Ok(made)
    }
}

impl Table for Fake {
    async fn read(&self, key: &str, _deadline: time::Instant) -> Result<Option<Row>, Error> {
        self.read_fails().await?;
        Ok(self.rows.lock().expect("lock").get(key).cloned())
    }

    async fn scan(&self, range: &Range, _deadline: time::Instant) -> Result<Vec<Row>, Error> {
        self.read_fails().await?;
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
        let lost = || Error::MayHaveRun(String::from("script"));
        match self.next().await {
            Fate::Answered => self.carry_out(transaction),
            Fate::Refused => Err(Error::NotRun(String::from("script"))),
            Fate::CallLost => Err(lost()),
            Fate::AnswerLost => {
                drop(self.carry_out(transaction));
                Err(lost())
            }
            Fate::Late(wait) => {
                let (table, transaction) = (self.clone(), transaction.clone());
                let call = task::spawn(async move {
                    pause(wait).await;
                    drop(table.carry_out(&transaction));
                });
                self.late.lock().expect("lock").push(call);
                Err(lost())
            }
        }
    }
}

async fn pause(steps: u8) {
    for _ in 0..steps {
        task::yield_now().await;
    }
}
