//! The router process and its request path.
//!
//! Callers send requests over HTTP to any router ([`caller`]). This entry
//! router ([`entry`]) selects a backend server and forwards the request to the
//! router that owns the server ([`hop`]). The owner admits the request
//! ([`owner`]) and runs it on the server ([`backend`]).

pub mod backend;
pub mod caller;
pub mod claims;
pub mod completion;
pub mod entry;
pub mod follow;
pub mod gossip;
pub mod hop;
pub mod limits;
pub mod loads;
pub mod members;
pub mod metrics;
pub mod owner;
pub mod request;
pub mod response;
pub mod settings;
pub mod start;
pub mod status;
pub mod tracker;
pub mod view;

pub use gateway::{clock, shutdown};
pub use start::{Error, Router};
