//! Reads the configuration and its changes from the platform's table.

use std::{error, fmt};

use config::{change::Change, rows, snapshot::Snapshot};
use serde::Deserialize;
use storage::table::{Range, Row, Table};
use tokio::time;
use units::{change, revision};

/// Why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The request to the platform failed.
    Platform(storage::Error),
    /// A row or an archived change cannot be parsed.
    Malformed(rows::Malformed),
    /// The table contains a lower revision than one that was read before.
    ///
    /// The table may have been restored from an old backup. Adopting its revision
    /// would revert accepted changes.
    Reverted {
        /// The revision that was read before.
        known: revision::Id,
        /// The revision that the table contains now.
        current: revision::Id,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Malformed(error) => error.fmt(f),
            Self::Reverted { known, current } => write!(
                f,
                "the table shows revision {current}, but revision {known} was accepted"
            ),
        }
    }
}

impl error::Error for Error {}

impl From<storage::Error> for Error {
    fn from(error: storage::Error) -> Self {
        Self::Platform(error)
    }
}

impl From<rows::Malformed> for Error {
    fn from(error: rows::Malformed) -> Self {
        Self::Malformed(error)
    }
}

/// The configuration and the generation of the row that contains its revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    /// The configuration.
    pub snapshot: Snapshot,
    /// The generation of the row [`rows::REVISION`], zero if the row is absent.
    pub generation: revision::Generation,
}

/// The maximum number of rows per scan.
const PAGE_SIZE: usize = 1_000;

/// The maximum number of attempts of a load. An attempt fails if a change is committed between
/// its scans.
const MAX_LOAD_ATTEMPTS: u32 = 5;

/// Reads the whole configuration.
///
/// # Errors
///
/// [`Error`] if a scan or the parsing of a row fails, or if changes were committed during
/// each attempt.
pub async fn load<T: Table>(table: &T, deadline: time::Instant) -> Result<Version, Error> {
    for _ in 0..MAX_LOAD_ATTEMPTS {
        let (before, _) = revision(table, deadline).await?;
        let found = scan_snapshot(table, deadline).await?;
        let listed = found.iter().map(|row| (row.key.as_str(), &row.value));
        let snapshot = Snapshot::from_rows(listed)?;
        // Each page is consistent only in itself. The row of the revision is on the
        // last page, so equal revisions mean that no change was committed in between.
        if snapshot.revision() == before {
            let revision = found.iter().find(|row| row.key == rows::REVISION);
            let generation = revision.map(|row| row.generation).unwrap_or_default();
            return Ok(Version {
                snapshot,
                generation,
            });
        }
    }
    Err(Error::Platform(storage::Error::NotRun(String::from(
        "the configuration changed while it was read",
    ))))
}

/// Reads all rows of the snapshot in pages.
async fn scan_snapshot<T: Table>(table: &T, deadline: time::Instant) -> Result<Vec<Row>, Error> {
    let mut found: Vec<Row> = Vec::new();
    loop {
        let last = found.last().map(|row| row.key.clone());
        let range = Range {
            prefix: String::from(rows::SNAPSHOT_PREFIX),
            from: last.clone().unwrap_or_default(),
            limit: Some(PAGE_SIZE),
        };
        let page = table.scan(&range, deadline).await?;
        let full = page.len() == PAGE_SIZE;
        // The range starts at the last row of the previous page, which is skipped.
        found.extend(
            page.into_iter()
                .filter(|row| Some(&row.key) != last.as_ref()),
        );
        if !full {
            return Ok(found);
        }
    }
}

/// Updates `known` to the revision of the table.
///
/// This takes one read if nothing changed. Otherwise it reads the missing changes,
/// or the whole configuration if those have moved to the archive.
///
/// # Errors
///
/// [`Error`] if a read fails or the table has reverted. `known` remains valid.
pub async fn advance<T: Table>(
    table: &T,
    known: &Version,
    deadline: time::Instant,
) -> Result<Version, Error> {
    let (current, generation) = revision(table, deadline).await?;
    let mut snapshot = known.snapshot.clone();
    if current < snapshot.revision() {
        return Err(Error::Reverted {
            known: snapshot.revision(),
            current,
        });
    }
    let missing = current.0 - snapshot.revision().0;
    if missing > 0 {
        let range = range(snapshot.revision().next(), Some(missing));
        for change in changes(table, &range, deadline).await? {
            if snapshot.apply(&change).is_err() {
                break;
            }
        }
    }
    if snapshot.revision() == current {
        return Ok(Version {
            snapshot,
            generation,
        });
    }
    // Some of the missing changes have moved to the archive.
    let loaded = load(table, deadline).await?;
    if loaded.snapshot.revision() < current {
        return Err(Error::Reverted {
            known: current,
            current: loaded.snapshot.revision(),
        });
    }
    Ok(loaded)
}

/// The range of the rows of up to `limit` changes from the revision `first` on.
pub fn range(first: revision::Id, limit: Option<u64>) -> Range {
    Range {
        prefix: String::from(rows::CHANGE_PREFIX),
        from: rows::change(first),
        limit: limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX)),
    }
}

/// Reads the changes in `range`.
///
/// # Errors
///
/// [`Error`] if the scan or the parsing of a row fails.
pub async fn changes<T: Table>(
    table: &T,
    range: &Range,
    deadline: time::Instant,
) -> Result<Vec<Change>, Error> {
    let found = table.scan(range, deadline).await?;
    found.iter().map(parse).collect()
}

/// Reads the revision that the change `id` created.
///
/// Returns `None` if the table has no such change: it is not committed, or has moved
/// to the archive.
///
/// # Errors
///
/// [`Error`] if the read fails. Whether the change is committed is then unknown.
pub async fn committed_revision<T: Table>(
    table: &T,
    id: &change::Id,
    deadline: time::Instant,
) -> Result<Option<revision::Id>, Error> {
    let row = table.read(&rows::id(id), deadline).await?;
    row.as_ref().map(parse).transpose()
}

/// Reads the revision of the configuration and the generation of its row.
///
/// Both are zero if the row is absent.
///
/// # Errors
///
/// [`Error`] if the read or the parsing of the row fails.
pub async fn revision<T: Table>(
    table: &T,
    deadline: time::Instant,
) -> Result<(revision::Id, revision::Generation), Error> {
    match table.read(rows::REVISION, deadline).await? {
        Some(row) => Ok((parse(&row)?, row.generation)),
        None => Ok(Default::default()),
    }
}

pub(crate) fn parse<'a, V: Deserialize<'a>>(row: &'a Row) -> Result<V, Error> {
    V::deserialize(&row.value)
        .map_err(|error| Error::Malformed(rows::Malformed::new(&row.key, error)))
}
