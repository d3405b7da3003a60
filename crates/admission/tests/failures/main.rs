//! Simulations of one backend server, its load reports and its owners under
//! failures, in virtual time.

mod cold;
mod day;
mod engine;
mod fairness;
mod invariants;
mod non_streaming;
mod owners;
mod reports;
mod sim;
mod ticket_log;
