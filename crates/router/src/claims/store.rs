//! Reads and writes of claims in the platform's table.

use std::{sync::Arc, time::Duration};

use once::{Batch, Bucket, Key, Row, Stored, WriteResult, sweep};
use storage::{
    Error,
    table::{self, Table as _},
};
use tokio::time;
use units::revision;

/// Timeout of a call to the platform.
const TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of index rows read by one sweep.
const SWEEP_ROWS: usize = 200;

/// The result of a read or write of the table.
#[derive(Debug)]
pub enum Completion {
    /// The result of a write.
    Wrote(WriteResult),
    /// The rows read; `None` if the read failed.
    Read(Option<Vec<Option<Stored>>>),
}

/// Writes a batch as one transaction.
pub async fn write(table: &table::Client, batch: Batch) -> WriteResult {
    let transaction = match transaction(&batch) {
        Ok(transaction) => transaction,
        Err(error) => {
            logging::event!(error, "claim_malformed", error = error);
            return WriteResult::NotRun;
        }
    };
    let deadline = time::Instant::now() + TIMEOUT;
    match table.transact(&transaction, deadline).await {
        Ok(mut generations) => {
            generations.truncate(batch.puts.len());
            WriteResult::Committed(generations)
        }
        Err(Error::Conflict(rows)) => {
            let in_conflict = |key: &Key| {
                let text = key.to_string();
                rows.iter().any(|row| row.key == text)
            };
            let keys = batch.checks.into_iter().map(|(key, _)| key);
            WriteResult::Conflict(keys.filter(in_conflict).collect())
        }
        Err(Error::MayHaveRun(reason)) => {
            logging::event!(warn, "claim_unsure", reason = reason);
            WriteResult::MayHaveRun
        }
        Err(error @ (Error::NotRun(_) | Error::Rejected(_))) => {
            logging::event!(warn, "claim_failed", error = error);
            WriteResult::NotRun
        }
    }
}

fn transaction(batch: &Batch) -> serde_json::Result<table::Transaction> {
    let checks = batch.checks.iter().map(|(key, generation)| table::Check {
        key: key.to_string(),
        generation: *generation,
    });
    let mut puts = Vec::with_capacity(batch.puts.len() + batch.index_keys.len());
    for (key, row) in &batch.puts {
        puts.push(table::Put {
            key: key.to_string(),
            value: serde_json::to_value(row)?,
        });
    }
    for key in &batch.index_keys {
        puts.push(table::Put {
            key: key.clone(),
            value: serde_json::Value::Null,
        });
    }
    Ok(table::Transaction {
        checks: checks.collect(),
        puts,
        deletes: Vec::new(),
    })
}

/// Reads the rows of the given claims; `None` if any of the reads fails.
pub async fn read(table: &table::Client, keys: &[Key]) -> Option<Vec<Option<Stored>>> {
    let deadline = time::Instant::now() + TIMEOUT;
    let mut rows = Vec::with_capacity(keys.len());
    for key in keys {
        match table.read(&key.to_string(), deadline).await {
            Ok(row) => rows.push(row.and_then(stored)),
            Err(error) => {
                logging::event!(warn, "claim_unread", error = error);
                return None;
            }
        }
    }
    Some(rows)
}

fn stored(row: table::Row) -> Option<Stored> {
    let generation: revision::Generation = row.generation;
    let row: Row = serde_json::from_value(row.value).ok()?;
    Some(Stored { row, generation })
}

/// Deletes outcomes that are past their retention time.
pub async fn sweep(table: Arc<table::Client>, current: Bucket) {
    let range = table::Range {
        prefix: String::from(sweep::PREFIX),
        limit: Some(SWEEP_ROWS),
        ..table::Range::default()
    };
    let deadline = time::Instant::now() + TIMEOUT;
    let Ok(rows) = table.scan(&range, deadline).await else {
        return;
    };
    let index = rows.iter().map(|row| (row.key.as_str(), row.generation));
    let plan = sweep::plan(index, current, once::Settings::default().retention_buckets);
    if plan.deletes.is_empty() {
        return;
    }
    let count = plan.deletes.len();
    let checks = plan.checks.into_iter();
    let transaction = table::Transaction {
        checks: checks
            .map(|(key, generation)| table::Check { key, generation })
            .collect(),
        deletes: plan.deletes,
        ..table::Transaction::default()
    };
    if table.transact(&transaction, deadline).await.is_ok() {
        logging::event!(info, "outcomes_deleted", rows = count);
    }
}
