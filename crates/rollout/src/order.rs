//! Orders of operators to move a service to another version.

use units::{backend, pool, time::Millis};

/// An order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub pool: pool::Id,
    /// The version to move to.
    pub to: backend::Version,
    /// The time within which the roll-out has to end, counted from the acknowledgement of
    /// the order by the store.
    pub duration: Millis,
    /// The store's version of the order. A repeated order has a higher one.
    pub revision: u64,
}
