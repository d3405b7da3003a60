//! The request path: entry, owner, backend server.
//!
//! Callers reach any router over HTTP ([`caller`]). It decides as the entry
//! ([`entry`]) which backend server a request is offered to, and passes it to
//! the router that owns that server ([`hop`]). The owner admits it ([`owner`])
//! and runs it on the server ([`backend`]).

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
