//! Failing servers, poison requests and silent connections, in virtual time.

mod connection;
mod crashes;
mod outlier;
mod retry;
mod strikes;
