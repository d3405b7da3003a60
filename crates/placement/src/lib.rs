//! Selects the backend server that serves a chat.
//!
//! The crate is deterministic and performs no I/O: callers pass in the current
//! time, no randomness is used, and all routers with the same set of servers
//! compute the same ranking.
//!
//! The entry router builds a [`plan::Plan`] for each request from its
//! [`history::History`] of topologies and offers the request to one candidate
//! after another. The owner of a candidate decides on an [`offer::Offer`] by the
//! chat's status in the engine's [`cache::CacheIndex`], the capacity that
//! admission reports, and the [`bound::Bound`].

pub mod bound;
pub mod cache;
pub mod history;
pub mod load;
pub mod offer;
pub mod plan;
pub mod score;
pub mod settings;
pub mod topology;

pub use bound::Bound;
pub use cache::CacheIndex;
pub use history::History;
pub use load::TotalLoad;
pub use offer::{Capacity, Decision, Offer};
pub use plan::Plan;
pub use settings::Settings;
pub use topology::Topology;
