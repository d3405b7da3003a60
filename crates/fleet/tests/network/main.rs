//! Routers on a small network that delays, drops and cuts, in virtual time.
#![expect(clippy::unwrap_used, reason = "a failed setup of a test ends the test")]

mod dissemination;
mod membership;
mod net;
mod scale;
