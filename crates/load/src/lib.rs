//! Load generator: multi-turn chats, bookings and lookups, and a report on their results.
//!
//! It simulates the callers and the platform's load balancer in front of the routers. It checks
//! that every caller receives the complete response to its own request or a final refusal, and
//! reads the ledgers of the plain services to find bookings that ran twice.

pub mod balancer;
pub mod booking;
pub mod call;
pub mod chat;
pub mod client;
pub mod compare;
pub mod lookup;
pub mod outcome;
pub mod report;
pub mod retry;
pub mod run;
pub mod settings;
pub mod traffic;
