//! The memory that requests take at an engine, and how many prompt tokens may wait there.
//!
//! The crate performs no I/O and reads no clock. A router keeps one [`Memory`] for each engine,
//! and one [`Typical`] for each service.

pub mod demand;
pub mod memory;
pub mod output;
pub mod reading;
mod sample;
pub mod tokens;

pub use demand::{Engine, Footprint, Part, Usage};
pub use memory::{Memory, Request};
pub use output::PieceSize;
pub use reading::{Rate, Tolerance};
pub use sample::Typical;
pub use tokens::Tokens;
