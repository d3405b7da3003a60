//! The audit trail of configuration changes.
//!
//! Every accepted change is a row of the platform's table, written in one
//! transaction with the resources that it changes. [`reader`] reads the
//! configuration and its changes, [`archive`] moves old changes to the object
//! store, and [`refusals`] keeps the latest refused changes.

pub mod archive;
pub mod reader;
pub mod refusals;
pub mod settings;
