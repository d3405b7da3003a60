//! Which backend server a chat goes to.
//!
//! The crate is pure: instants are handed in, there is no randomness, and
//! every router that was told the same servers computes the same order.
//!
//! The entry router makes a [`plan::Plan`] for each request from its
//! [`history::History`] of topologies and offers the request to one candidate
//! after the other. The owner of a candidate answers an [`offer::Offer`] by
//! what its [`cache::CacheIndex`] knows of the chat, the room that admission
//! leaves, and the [`bound::Bound`].

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
