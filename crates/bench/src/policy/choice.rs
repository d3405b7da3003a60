//! Rules by which an entry router chooses an engine without other routers.

use placement::{Bound, Topology, TotalLoad};
use units::chat;

use crate::random::Random;

/// Maximum number of engines ranked in the rendezvous order of a chat.
const MAX_RANKED: usize = 8;

/// What a router knows when it chooses an engine.
#[derive(Debug)]
pub struct View<'a> {
    /// The topology that the router has applied.
    pub topology: &'a Topology,
    /// The router's requests in flight on each engine, in the order of the engines'
    /// names.
    pub in_flight: &'a [u32],
    /// The last load report of each engine.
    pub reported: &'a [u32],
    /// Engines to skip: already tried for this request, or avoided after a refused
    /// connection.
    pub tried: &'a [usize],
}

impl View<'_> {
    /// Indices of the eligible engines that are not to be skipped.
    fn eligible(&self) -> Vec<usize> {
        let members = self.topology.members().iter().enumerate();
        members
            .filter(|(_, member)| member.state == placement::topology::State::Eligible)
            .map(|(index, _)| index)
            .filter(|index| !self.tried.contains(index))
            .collect()
    }
}

/// A rule that chooses an engine.
pub trait Choice {
    /// The index of the engine for a request of `chat`, if any is eligible.
    fn choose(&self, view: &View<'_>, chat: chat::Key, random: &mut Random) -> Option<usize>;
}

/// A random engine.
#[derive(Clone, Copy, Debug)]
pub struct Any;

impl Choice for Any {
    fn choose(&self, view: &View<'_>, _: chat::Key, random: &mut Random) -> Option<usize> {
        let eligible = view.eligible();
        eligible.get(random.below(eligible.len())).copied()
    }
}

/// The less loaded of two random engines, by delayed load reports.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoices;

impl Choice for TwoChoices {
    fn choose(&self, view: &View<'_>, _: chat::Key, random: &mut Random) -> Option<usize> {
        let eligible = view.eligible();
        let first = *eligible.get(random.below(eligible.len()))?;
        let second = *eligible.get(random.below(eligible.len()))?;
        let load = |engine: usize| view.reported[engine];
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }
}

/// The hash of the chat modulo the number of engines.
#[derive(Clone, Copy, Debug)]
pub struct Modulo;

impl Choice for Modulo {
    fn choose(&self, view: &View<'_>, chat: chat::Key, _: &mut Random) -> Option<usize> {
        let eligible = view.eligible();
        let length = u64::try_from(eligible.len())
            .ok()
            .filter(|length| *length > 0)?;
        eligible.get((chat.0 % length) as usize).copied()
    }
}

/// The rendezvous order of the chat, with a load bound computed from the router's own
/// requests in flight.
#[derive(Clone, Debug, Default)]
pub struct RendezvousLocal {
    bound: Bound,
}

impl Choice for RendezvousLocal {
    fn choose(&self, view: &View<'_>, chat: chat::Key, _: &mut Random) -> Option<usize> {
        let members = view.topology.members();
        let index = |id| members.binary_search_by(|other| other.id.cmp(id)).ok();
        let total = TotalLoad {
            requests: view
                .in_flight
                .iter()
                .map(|in_flight| u64::from(*in_flight))
                .sum(),
            weight: view.topology.eligible().len() as u64,
        };
        let ranked = view.topology.rank(chat, MAX_RANKED);
        let eligible: Vec<usize> = ranked
            .iter()
            .filter_map(|member| index(&member.id))
            .filter(|engine| !view.tried.contains(engine))
            .collect();
        let within_bound = eligible
            .iter()
            .find(|engine| self.bound.admits(view.in_flight[**engine], None, 1, total));
        within_bound.or(eligible.first()).copied()
    }
}
