//! At-most-once claims for non-idempotent requests.
//!
//! A request with an idempotency key is sent to a backend server only by the
//! router whose claim stands in the platform's table. The claim names the
//! attempt, so a router whose write was answered by silence reads the row to
//! learn whether its claim stands. A claim expires for nobody: whoever else
//! comes with the same key is told what is known, and never sends.
//!
//! How a router drives a [`Ledger`]:
//!
//! 1. [`Ledger::claim`] enqueues a request, or refuses it at once.
//! 2. Whenever something happened, or [`Ledger::wake_at`] is reached, it calls
//!    [`Ledger::next_operation`]; there is at most one piece of [`Operation`] at a time.
//! 3. For [`Operation::Write`] it runs the [`Batch`] as one transaction of the table and
//!    hands the result to [`Ledger::handle_write`]; for [`Operation::Read`] it reads the
//!    rows and hands them to [`Ledger::handle_read`].
//! 4. Both, and [`Ledger::expire`] on every timer, give [`Resolution`] claims:
//!    granted, answered by a recorded outcome, or refused.
//! 5. A granted request is sent only after [`Ledger::start`] said so, at once
//!    before its first byte; that works a single time.
//! 6. Then [`Ledger::finish`] records the outcome, or that it is unknown. A
//!    granted request that will not be sent is given back by [`Ledger::release`].
//! 7. Once an hour [`sweep::plan`] tells which old outcomes to delete.

mod batch;
mod ledger;
mod row;
mod settings;
pub mod sweep;

pub use batch::{Batch, Operation, Stored, WriteResult};
pub use ledger::{Claim, Decision, Ledger, Resolution};
pub use row::{Bucket, Key, Outcome, Row, State};
pub use settings::Settings;
