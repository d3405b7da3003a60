//! Orders to engines under a lease with a fencing token.
//!
//! Several processes may give orders concurrently, and one that orders an engine
//! to load a model may be paused or partitioned while another takes over. A
//! process therefore sends orders only while it holds a [`Lease`] on a row of the
//! platform's table. Each holder gets a higher fencing token ([`Fence`]), which
//! engines that check it compare with the highest one they have seen. For engines
//! that ignore it, a new holder also waits until no order of the previous holder
//! can arrive any more.
//!
//! How a process drives a lease:
//!
//! 1. [`Lease::acquire`] requests the lease, [`Lease::release`] ends the request.
//! 2. After each event, and when [`Lease::wake_at`] is reached, [`Lease::next_operation`]
//!    returns the next read or write of the row, one at a time; its result is
//!    passed to [`Lease::handle_read`], [`Lease::handle_read_failure`] or
//!    [`Lease::handle_write`].
//! 3. Immediately before each order, [`Lease::permit`] decides whether it may be
//!    sent, and gives its fencing token and its deadline.

mod lease;
mod settings;
mod table;

pub use lease::{Denial, Fencing, Lease, Permit};
pub use settings::Settings;
pub use table::{Fence, Operation, Row, Stored, WriteResult};
