//! Settings of the audit trail.

/// Settings of the archive of old changes.
#[derive(Clone, Debug)]
pub struct Archive {
    /// The number of latest changes that stay in the table. A retry of a change is
    /// recognised by its id only while the change is in the table.
    pub keep: u64,
    /// The number of changes in one object.
    pub block: u64,
}

impl Default for Archive {
    fn default() -> Self {
        Self {
            keep: 10_000,
            block: 500,
        }
    }
}
