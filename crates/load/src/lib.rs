//! Load tool: returning chats, bookings and lookups, and a report.
//!
//! It plays the callers and the platform's balancer in front of the routers. It
//! checks that every caller gets the whole answer to its own request or a final
//! refusal, and reads the services' ledgers for bookings that ran twice.

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
