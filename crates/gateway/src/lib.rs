//! A router that decides where a caller connects, without owners of servers.
//!
//! Each router places, limits and repeats the requests that reach it. Bounds
//! that are summed over the fleet are kept by fixed shares of each router, and
//! what routers learn of each other only makes them use less of a share.
//!
//! The crate knows no protocol: [`protocol::Protocol`] reads callers' heads and
//! writes attempts, [`source::Source`] reads and watches what is stored.

pub mod activity;
pub mod ages;
pub mod attempt;
pub mod clock;
pub mod connection;
pub mod crashes;
pub mod dispatch;
pub mod follow;
pub mod headers;
pub mod link;
pub mod listener;
pub mod load;
pub mod metrics;
pub mod observer;
pub mod outlier;
pub mod pause;
pub mod peers;
pub mod pool;
pub mod prefixes;
pub mod protocol;
pub mod queue;
pub mod readiness;
pub mod refusal;
pub mod relay;
pub mod replica;
pub mod retry_budget;
pub mod roster;
pub mod route;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod slow_start;
pub mod source;
pub mod start;
pub mod state;
pub mod status;
pub mod value;
