//! Reserves for more urgent requests, and shares of workspaces over the fleet.

mod allotment;
mod arrivals;
pub mod rank;
mod reserve;
mod shares;

pub use allotment::{allotment, part};
pub use arrivals::Arrivals;
pub use reserve::Reserve;
pub use shares::{Shares, Usage, Workspace, largest};
