//! The administration API over the platform's table.

pub mod access;
mod api;
pub mod fleet;
pub mod metrics;
pub mod orders;
pub mod process;
pub mod responses;
pub mod settings;
pub mod store;
