//! A router that places each request locally, without a designated owner for each server.
//!
//! Each router places, limits and retries the requests that it receives. Limits that apply
//! to the whole fleet are enforced by a fixed share for each router. State received from
//! other routers can only make a router use less than its share.
//!
//! The crate is independent of the wire protocol and the store: [`protocol::Protocol`]
//! parses request heads and writes the heads of attempts, and [`source::Source`] reads and
//! watches the store.

pub mod activity;
pub mod advisory;
pub mod allowance;
pub mod attempt;
pub mod check;
pub mod clock;
pub mod confirmation;
pub mod connection;
pub mod connector;
pub mod crashes;
pub mod cutoff;
pub mod dial;
pub mod discard;
pub mod dispatch;
pub mod egress;
pub mod follow;
pub mod gate;
pub mod headers;
pub mod held;
pub mod identity;
pub mod journal;
pub mod link;
pub mod listener;
pub mod load;
pub mod lost_routers;
pub mod metrics;
pub mod observer;
pub mod origins;
pub mod outlier;
pub mod parts;
pub mod pause;
pub mod peers;
pub mod pool;
pub mod prefixes;
pub mod probe;
pub mod protocol;
pub mod quarantine;
pub mod queue;
pub mod reach;
pub mod read_ahead;
pub mod readiness;
pub mod recorder;
pub mod refusal;
pub mod relay;
pub mod replica;
pub mod retry_budget;
pub mod rollouts;
pub mod roster;
pub mod route;
pub mod serve;
pub mod service_versions;
pub mod settings;
pub mod shutdown;
pub mod silence;
pub mod slow_start;
pub mod source;
pub mod staleness;
pub mod start;
pub mod state;
pub mod status;
pub mod tunnel;
pub mod value;
