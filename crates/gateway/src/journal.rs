//! The versions that began streams, kept in the store for routers that start after all others have
//! ended.
//!
//! Keepers hold these records in memory ([`crate::origins`]). While a service has several versions,
//! one router of each availability zone, the writer, also stores what the routers of its zone tell
//! it: one row for all records of an interval, under a key that is never written again. A router that
//! finds no keeper of a stream reads all rows. A record is never replaced, so an old row cannot tell a
//! wrong version.

mod backlog;
mod batch;
mod reader;
mod snapshot;
mod writer;

use std::time::Duration;

pub use backlog::{Backlog, Call, MAX_PENDING, MAX_ROW_RECORDS, MAX_ROWS};
pub use batch::Batch;
pub use reader::{Request, read};
pub use snapshot::Snapshot;
pub use writer::write;

/// The minimum time between two rows of a writer. Streams that begin within it are lost if all routers
/// end.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum time between two reads of a router.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout of a call to the store. A caller that takes a stream up waits for a read.
const TIMEOUT: Duration = Duration::from_millis(600);
