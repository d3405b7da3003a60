//! Operations on the table and their results.

use units::revision;

use crate::row::{Key, Row};

/// The content of one atomic transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The generation that each row must have; zero requires the row to be absent.
    pub checks: Vec<(Key, revision::Generation)>,
    /// The rows to write.
    pub puts: Vec<(Key, Row)>,
    /// The keys of the index rows to write, each with an empty value.
    pub index_keys: Vec<String>,
}

/// A table operation that the router has to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Run the batch as one transaction, then call [`crate::Ledger::handle_write`].
    Write(Batch),
    /// Read these rows, then call [`crate::Ledger::handle_read`].
    Read(Vec<Key>),
}

/// The result of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect; holds the generations of the puts, in the same order.
    Committed(Vec<revision::Generation>),
    /// These rows had a different generation; nothing was written.
    Conflict(Vec<Key>),
    /// The write was not sent, or the platform refused it: nothing was written.
    NotRun,
    /// The response was lost: the write may have taken effect, or may do so later.
    MayHaveRun,
}

/// A row with its generation, as read from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The row.
    pub row: Row,
    /// The generation of the row.
    pub generation: revision::Generation,
}
