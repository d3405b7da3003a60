//! Membership of routers, engine ownership and spread of configuration.
//!
//! [`Fleet`] is one router's view of the others: events go in, actions come
//! out. [`owner`] tells which router owns a backend server, [`revision_sync`] decides
//! where the next revision of the configuration comes from. Nothing here has a
//! clock, a socket or a thread.
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
pub mod revision_sync;
mod ring;
mod settings;
mod strike;
mod tree;
mod update_queue;

pub use event::{Action, Event, Received, Seed, Send};
pub use fleet::Fleet;
pub use member::Member;
pub use owner::owner;
pub use region::Region;
pub use settings::Settings;
pub use strike::Strike;
