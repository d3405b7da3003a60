//! At-most-once claims for non-idempotent requests.
//!
//! A request with an idempotency key is sent to a backend server only by the
//! router whose claim is in the platform's table. The claim names the attempt,
//! so a router that got no response to its write reads the row to find out
//! whether the claim was written. A claim never expires: a later request with
//! the same key gets the state of the existing claim and is never sent.
//!
//! How a router drives a [`Ledger`]:
//!
//! 1. [`Ledger::claim`] enqueues a request, or refuses it at once.
//! 2. After each event, and when [`Ledger::wake_at`] is reached, it calls
//!    [`Ledger::next_operation`]; at most one [`Operation`] is in flight at a time.
//! 3. For [`Operation::Write`] it runs the [`Batch`] as one transaction of the table and
//!    passes the result to [`Ledger::handle_write`]; for [`Operation::Read`] it reads the
//!    rows and passes them to [`Ledger::handle_read`].
//! 4. Both, and [`Ledger::expire`] on every timer, return a [`Resolution`] for each
//!    resolved claim: granted, answered with a recorded outcome, or refused.
//! 5. A granted request is sent only after [`Ledger::start`] returned `Ok`,
//!    immediately before its first byte; this succeeds only once per attempt.
//! 6. Then [`Ledger::finish`] records the outcome, or that it is unknown. The claim
//!    of a granted request that will not be sent is released by [`Ledger::release`].
//! 7. Periodically, [`sweep::plan`] selects the expired outcomes to delete.

mod batch;
mod ledger;
mod row;
mod settings;
pub mod sweep;

pub use batch::{Batch, Operation, Stored, WriteResult};
pub use ledger::{Claim, Decision, Ledger, Resolution};
pub use row::{Bucket, Key, Outcome, Row, State};
pub use settings::Settings;
