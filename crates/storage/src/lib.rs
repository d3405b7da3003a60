//! Clients of the platform: table, object store and host list.
//!
//! Each service is a small trait ([`table::Table`], [`objects::Objects`],
//! [`hosts::Hosts`]) with an HTTP client. Tests put a fake in its place.
//!
//! Every call takes the deadline by which it has to be done. A call that
//! misses it ends with an [`Error`], never waits on. A read whose answer may be
//! large is waited for beyond its deadline while its bytes keep coming
//! ([`progress`]).

mod error;
pub mod hosts;
pub mod http;
pub mod objects;
pub mod progress;
pub mod table;
pub mod traffic;

pub use error::{Conflict, Error};
