//! Ways to place requests, side by side.

pub mod choice;
pub mod direct;
pub mod entry;
pub mod owned;

use std::fmt;

/// The policies by the names that the figures give them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Entry, owner, engine: the product's policy.
    Chosen,
    /// Entry routers that decide with the gateway's pool.
    Entry,
    /// Any engine.
    Random,
    /// The less loaded of any two, by lagging reports.
    TwoChoices,
    /// The chat's hash modulo the number of engines.
    Modulo,
    /// The chat's rendezvous order, bounded by the router's own requests.
    RendezvousLocal,
}

impl Name {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Chosen,
        Self::Entry,
        Self::Random,
        Self::TwoChoices,
        Self::Modulo,
        Self::RendezvousLocal,
    ];
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chosen => "chosen",
            Self::Entry => "entry",
            Self::Random => "random",
            Self::TwoChoices => "two_choices",
            Self::Modulo => "modulo",
            Self::RendezvousLocal => "rendezvous_local",
        })
    }
}
