//! Orders to engines under a lease with a fencing number.
//!
//! Operators race one another, and a process that orders an engine to load a
//! model may be paused or cut off while another one takes over. Whoever orders
//! first holds a [`Lease`] on a row of the platform's table. Each holder gets a
//! higher fencing number, which engines that check it compare with the last
//! one they saw. For engines that ignore it, a new holder also waits until
//! nothing of the former one can arrive any more.
//!
//! How a process drives a lease:
//!
//! 1. [`Lease::acquire`] says that it is wanted, [`Lease::release`] that it no longer is.
//! 2. Whenever something happened, or [`Lease::wake_at`] is reached, [`Lease::next_operation`]
//!    gives the next read or write of the row, one at a time; its result goes
//!    to [`Lease::handle_read`] or [`Lease::handle_write`].
//! 3. Right before each order, [`Lease::permit`] says whether it may be sent,
//!    under which fencing number, and when the call has to be given up.

mod lease;
mod settings;
mod table;

pub use lease::{Denial, Fencing, Lease, Permit};
pub use settings::Settings;
pub use table::{Fence, Operation, Row, Stored, WriteResult};
