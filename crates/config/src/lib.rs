//! Declared resources, their validation and their revisions.
//!
//! The crate performs no I/O and reads no clock. [`snapshot::Snapshot`] is the
//! configuration at one revision, [`change::Change`] transforms one revision
//! into the next, and [`rows`] defines how both are stored in the platform's table.

pub mod change;
pub mod check;
pub mod file;
pub mod key;
pub mod proposal;
pub mod refused;
pub mod resource;
pub mod response;
pub mod rows;
pub mod snapshot;
pub mod state;
