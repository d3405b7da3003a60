//! What is read from and written to the table.

use units::revision;

use crate::row::{Key, Row};

/// One transaction: it takes effect whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The generation that each row must have, zero for an absent one.
    pub checks: Vec<(Key, revision::Generation)>,
    /// The rows to be written.
    pub puts: Vec<(Key, Row)>,
    /// The keys of rows of the index to be written, with an empty value.
    pub index_keys: Vec<String>,
}

/// What the router has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Run the batch as one transaction, then call [`crate::Ledger::handle_write`].
    Write(Batch),
    /// Read these rows, then call [`crate::Ledger::handle_read`].
    Read(Vec<Key>),
}

/// How a write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect; the generations of the puts, in their order.
    Committed(Vec<revision::Generation>),
    /// These rows had another generation; nothing took effect.
    Conflict(Vec<Key>),
    /// It was not sent, or the platform refused it: nothing took effect.
    NotRun,
    /// Its answer was lost: it may have taken effect, or may do so later.
    MayHaveRun,
}

/// A row that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// The row.
    pub row: Row,
    /// Its generation.
    pub generation: revision::Generation,
}
