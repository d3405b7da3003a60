//! Decides whether the response of a backend server is complete.
//!
//! Everything that reads a response checks its [`head`] and asks a [`Tracker`], whether it forwards
//! the body, stores it or counts how it ended. The crate reads no sockets: a body whose connection
//! failed, or that was not read to its end in time, is truncated in any case.

pub mod chunks;
mod delimiter;
pub mod events;
mod format;
pub mod head;
mod tracker;

pub use delimiter::Delimiter;
pub use format::Format;
pub use tracker::{Tracker, Truncation};
