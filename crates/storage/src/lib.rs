//! Clients of the platform: table, object store and host list.
//!
//! Each service is a small trait ([`table::Table`], [`objects::Objects`],
//! [`hosts::Hosts`]) with an HTTP client. Tests replace the client by a fake.
//!
//! Every call takes a deadline, and fails with an [`Error`] when it misses it. The
//! deadline of a read whose response may be large is extended while its bytes
//! keep arriving ([`progress`]).

mod error;
pub mod head;
pub mod hosts;
pub mod http;
pub mod objects;
pub mod progress;
pub mod table;
pub mod traffic;

pub use error::{Conflict, Error};
