//! Routers on a simulated network with delays, loss and partitions, in virtual time.
#![expect(clippy::unwrap_used, reason = "a failed setup of a test ends the test")]

mod dissemination;
mod membership;
mod net;
mod scale;
