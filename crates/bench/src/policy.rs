//! The placement policies that the benchmarks compare.

pub mod choice;
pub mod direct;
pub mod entry;
pub mod owned;

use std::fmt;

/// A policy, displayed under the name that the figures use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// The entry router offers the request to the owner of an engine, which admits it.
    Chosen,
    /// The entry router decides with the gateway's pool.
    Entry,
    /// A random engine.
    Random,
    /// The less loaded of two random engines, by delayed load reports.
    TwoChoices,
    /// The hash of the chat modulo the number of engines.
    Modulo,
    /// The rendezvous order of the chat, with a load bound computed from the router's
    /// own requests.
    RendezvousLocal,
}

impl Name {
    /// All policies.
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
