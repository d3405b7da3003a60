//! Frames between the processes of the system.
//!
//! [`heartbeat`] defines the datagrams that routers exchange, [`hop`] the frames
//! of a forwarded request, and [`seal`] authenticates datagrams and the frames of
//! a connection. The crate performs no I/O: it only encodes and decodes.

mod codec;
pub mod heartbeat;
pub mod hop;
pub mod seal;

pub use codec::Error;
