//! Router membership, engine ownership and configuration propagation.
//!
//! [`Fleet`] is one router's view of the other routers: it takes events and
//! returns actions. [`owner`] computes which router owns a backend server,
//! [`revision_sync`] decides from which peer or table the next revision of the
//! configuration is read. The crate is sans-IO: the caller supplies the clock,
//! the sockets and the threads.
#![doc = include_str!("../../../docs/design/driving.md")]

mod event;
mod flap;
mod fleet;
mod load;
mod member;
mod member_list;
mod owner;
mod pause;
mod region;
mod reports;
pub mod revision_sync;
mod ring;
mod settings;
mod tree;
mod update_queue;

pub use event::{Action, Event, Received, Seed, Send};
pub use fleet::Fleet;
pub use member::Member;
pub use owner::owner;
pub use region::Region;
pub use settings::Settings;
