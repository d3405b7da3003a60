//! Roll-outs of versions with bounded exposure.
//!
//! An operator orders that a service move to another version, whose servers run beside
//! those of the old one. Each router sends a small share of its own requests to the new
//! version (the canary), so that the share over the fleet holds without coordination. Routers
//! exchange counts of outcomes by route for both versions. A sequential test compares them:
//! a faulty version is rolled back, a healthy one is promoted and gets all requests, and the
//! roll-out is completed once the old servers are idle.
//!
//! The crate has no I/O, no clock and no randomness of its own.
//!
//! - [`Serving`] decides which versions of a service may receive requests.
//! - [`Trial`] selects the requests of one router for the new version and counts outcomes.
//! - [`Reports`] merges the counts of all routers, and [`verdict`] compares the versions.
//! - [`Controller`] moves one roll-out through its stages.

pub mod controller;
pub mod counts;
pub mod message;
pub mod order;
mod reports;
mod selector;
pub mod serving;
mod settings;
pub mod stage;
mod trial;
pub mod verdict;

pub use controller::Controller;
pub use counts::Counts;
pub use message::Message;
pub use order::Order;
pub use reports::Reports;
pub use selector::Selector;
pub use serving::{Role, Serving};
pub use settings::Settings;
pub use stage::Stage;
pub use trial::Trial;
