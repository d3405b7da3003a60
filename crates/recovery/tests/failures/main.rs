//! Failing servers, requests that crash them and silent connections, in virtual time.

mod connection;
mod crashes;
mod outlier;
mod retry;
mod strikes;
