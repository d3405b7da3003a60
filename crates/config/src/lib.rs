//! Declared resources, their checks and their revisions.
//!
//! The crate is pure: it reads no file, table or clock. [`snapshot::Snapshot`]
//! is the configuration at one revision, [`change::Change`] leads from one
//! revision to the next, and [`rows`] says how both are kept in the table.

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
