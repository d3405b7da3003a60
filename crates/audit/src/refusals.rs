//! Stores the latest refused changes.

use config::{refused::Refused, rows};
use storage::table::{Put, Range, Table, Transaction};
use tokio::time;

use crate::reader::{Error, parse};

/// The number of refused changes that [`trim`] keeps.
pub const MAX_KEPT: usize = 1_000;

/// The maximum number of rows that one call of [`trim`] deletes.
const MAX_DELETES: usize = 500;

/// Writes `refused` to the audit trail.
///
/// # Errors
///
/// [`Error`] if the write fails. The audit trail may then lack the entry, but the change
/// remains refused.
pub async fn record<T: Table>(
    table: &T,
    refused: &Refused,
    deadline: time::Instant,
) -> Result<(), Error> {
    let key = rows::refused(refused.when, &refused.id);
    let value = serde_json::to_value(refused)
        .map_err(|error| Error::Malformed(rows::Malformed::new(&key, error)))?;
    let transaction = Transaction {
        puts: vec![Put { key, value }],
        ..Transaction::default()
    };
    table.transact(&transaction, deadline).await?;
    Ok(())
}

/// Reads the changes refused at `when` or later, the earliest first.
///
/// `when` is in milliseconds since the Unix epoch.
///
/// # Errors
///
/// [`Error`] if the scan or the parsing of a row fails.
pub async fn since<T: Table>(
    table: &T,
    when: u64,
    deadline: time::Instant,
) -> Result<Vec<Refused>, Error> {
    let range = Range {
        prefix: String::from(rows::REFUSED_PREFIX),
        from: rows::refused_since(when),
        limit: None,
    };
    let found = table.scan(&range, deadline).await?;
    found.iter().map(parse).collect()
}

/// Deletes the earliest refused changes beyond [`MAX_KEPT`] and returns the number deleted.
///
/// # Errors
///
/// [`Error`] if the scan or the deletion fails. A later call deletes the remaining rows.
pub async fn trim<T: Table>(table: &T, deadline: time::Instant) -> Result<usize, Error> {
    let range = Range {
        prefix: String::from(rows::REFUSED_PREFIX),
        ..Range::default()
    };
    let found = table.scan(&range, deadline).await?;
    let excess = found.len().saturating_sub(MAX_KEPT).min(MAX_DELETES);
    if excess == 0 {
        return Ok(0);
    }
    let transaction = Transaction {
        deletes: found.into_iter().take(excess).map(|row| row.key).collect(),
        ..Transaction::default()
    };
    table.transact(&transaction, deadline).await?;
    Ok(excess)
}
