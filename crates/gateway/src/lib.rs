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
pub mod budget;
pub mod clock;
pub mod connection;
pub mod deaths;
pub mod dispatch;
pub mod evidence;
pub mod fence;
pub mod follow;
pub mod headers;
pub mod line;
pub mod link;
pub mod listener;
pub mod load;
pub mod metrics;
pub mod observer;
pub mod pause;
pub mod peers;
pub mod pool;
pub mod protocol;
pub mod readiness;
pub mod reads;
pub mod refusal;
pub mod relay;
pub mod replica;
pub mod roster;
pub mod route;
pub mod serve;
pub mod settings;
pub mod shutdown;
pub mod source;
pub mod start;
pub mod state;
pub mod status;
pub mod value;
