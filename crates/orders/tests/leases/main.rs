//! Leases under single faults and random interleavings of faults.
#![expect(clippy::unwrap_used, reason = "a failed setup of a test ends the test")]

mod cases;
mod interleavings;
