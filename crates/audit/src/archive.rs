//! Moves old changes from the table to the object store.
//!
//! The table keeps the latest changes: routers catch up from them, and retries of
//! changes are recognised by their ids. Only operators read older changes, so those
//! move to objects of several hundred changes each, with one JSON line per change.

use bytes::Bytes;
use config::{change::Change, rows};
use storage::{
    Error as Failed,
    objects::{Condition, Objects},
    table::{Table, Transaction},
};
use tokio::time;
use units::revision;

use crate::{
    reader::{self, Error},
    settings::Archive,
};

/// The prefix of the keys of the objects.
pub const PREFIX: &str = "audit/changes/";

/// The key of the object whose first change created `revision`.
fn key(revision: revision::Id) -> String {
    format!("{PREFIX}{:020}", revision.0)
}

/// Moves the oldest block of changes to an object, unless the table has to keep any of them.
///
/// Returns the number of changes moved, zero if there was nothing to move. Any
/// number of processes may call this concurrently, and it may be interrupted at
/// any point: rows are deleted only after they have been read back from an object.
///
/// # Errors
///
/// [`Error`]. Every change is still in the table or in an object.
pub async fn compact<T: Table, O: Objects>(
    table: &T,
    objects: &O,
    settings: &Archive,
    deadline: time::Instant,
) -> Result<u64, Error> {
    let Some(block) = oldest_block(table, settings, deadline).await? else {
        return Ok(0);
    };
    let Some(first) = block.first() else {
        return Ok(0);
    };
    let key = key(first.to);
    match objects
        .put(&key, to_json_lines(&block)?, &Condition::Absent, deadline)
        .await
    {
        // Another process wrote the object first, or the response to an attempt of this
        // process was lost.
        Ok(()) | Err(Failed::Conflict(_) | Failed::MayHaveRun(_)) => {}
        Err(error) => return Err(error.into()),
    }
    // An object written by another process may contain fewer changes than this
    // block. Deleting the rows of the other changes would lose them.
    let moved = read_object(objects, &key, deadline).await?;
    let moved: Vec<&Change> = moved
        .iter()
        .filter(|change| block.contains(change))
        .collect();
    if moved.is_empty() {
        return Err(Error::Malformed(rows::Malformed::new(
            &key,
            "the object does not hold the changes after which it is named",
        )));
    }
    let changes = moved.iter().map(|change| rows::change(change.to));
    let ids = moved.iter().map(|change| rows::id(&change.id));
    let transaction = Transaction {
        deletes: changes.chain(ids).collect(),
        ..Transaction::default()
    };
    table.transact(&transaction, deadline).await?;
    Ok(moved.len() as u64)
}

/// Reads the oldest block of changes from the table.
///
/// Returns `None` if the block is not full or contains changes that the table has to keep.
async fn oldest_block<T: Table>(
    table: &T,
    settings: &Archive,
    deadline: time::Instant,
) -> Result<Option<Vec<Change>>, Error> {
    let range = reader::range(revision::Id(0), Some(settings.block));
    let block = reader::changes(table, &range, deadline).await?;
    let (latest, _) = reader::revision(table, deadline).await?;
    let is_old = |last: &Change| latest.0.saturating_sub(last.to.0) >= settings.keep;
    let is_full = block.len() as u64 == settings.block;
    Ok(Some(block).filter(|block| is_full && block.last().is_some_and(is_old)))
}

/// Reads up to `limit` changes from the revision `first` on, from the objects and the table.
///
/// # Errors
///
/// [`Error`] if the table or an object cannot be read.
pub async fn history<T: Table, O: Objects>(
    table: &T,
    objects: &O,
    first: revision::Id,
    limit: u64,
    deadline: time::Instant,
) -> Result<Vec<Change>, Error> {
    // The table is read before the objects, so a change that is moved in between is
    // read from both and not from neither.
    let range = reader::range(first, Some(limit));
    let recent = reader::changes(table, &range, deadline).await?;
    let first_recent = recent.first().map_or(u64::MAX, |change| change.to.0);
    let first = first.max(revision::Id(1));
    let mut found: Vec<Change> = Vec::new();
    if first_recent > first.0 {
        let keys = objects.list(PREFIX, deadline).await?;
        // The preceding block may contain the first change.
        let start = keys.partition_point(|object| *object <= key(first));
        for object in &keys[start.saturating_sub(1)..] {
            if found.len() as u64 >= limit {
                break;
            }
            let block = read_object(objects, object, deadline).await?;
            let wanted = block.into_iter().filter(|change| {
                let after = found.last().map_or(first, |last| last.to.next());
                change.to >= after && change.to.0 < first_recent
            });
            let wanted: Vec<Change> = wanted.collect();
            found.extend(wanted);
        }
    }
    found.extend(recent);
    found.truncate(usize::try_from(limit).unwrap_or(usize::MAX));
    Ok(found)
}

async fn read_object<O: Objects>(
    objects: &O,
    key: &str,
    deadline: time::Instant,
) -> Result<Vec<Change>, Error> {
    let Some(object) = objects.get(key, deadline).await? else {
        let reason = String::from("the object cannot be read back");
        return Err(Error::Platform(Failed::NotRun(reason)));
    };
    let lines = object.body.split(|byte| *byte == b'\n');
    lines
        .filter(|line| !line.is_empty())
        .map(serde_json::from_slice)
        .collect::<Result<_, _>>()
        .map_err(|error| Error::Malformed(rows::Malformed::new(key, error)))
}

fn to_json_lines(changes: &[Change]) -> Result<Bytes, Error> {
    let mut lines = Vec::new();
    for change in changes {
        let line = serde_json::to_vec(change)
            .map_err(|error| Error::Malformed(rows::Malformed::new("change", error)))?;
        lines.extend(line);
        lines.push(b'\n');
    }
    Ok(Bytes::from(lines))
}
