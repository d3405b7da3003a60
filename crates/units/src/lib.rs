//! Identifiers, sizes and instants shared by all libraries.
//!
//! The crate has no I/O and no clock: callers pass in the instants.

pub mod availability;
pub mod backend;
pub mod change;
pub mod chat;
pub mod cost;
pub mod host;
pub mod name;
pub mod operator;
pub mod pool;
pub mod request;
pub mod revision;
pub mod size;
pub mod time;
pub mod workspace;

pub use name::Invalid;
