//! Distribution of fleet totals to the routers of a zone.

use std::collections::BTreeSet;

use units::host;

use super::sums;
use crate::source::Member;

/// Up to this many routers are sent a total directly; beyond it, some relay it to the rest.
const MAX_DIRECT: usize = 6;

/// A router that is sent a total, and the routers to which it relays it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay<'a> {
    /// The router that is sent the total.
    pub member: &'a Member,
    /// The hashes of the host names of the routers that it relays to.
    pub targets: Vec<u32>,
}

/// Chooses the relays to which an aggregator sends a total, and divides the other `members`
/// among them.
///
/// Sending a total to every router would fill the link of a small aggregator in a large
/// zone. Only routers in `alive` are relays, and the relays rotate with each `round`, so
/// that the routers behind a relay that has just died miss only one total.
pub fn relays<'a>(
    members: &[&'a Member],
    alive: &BTreeSet<host::Id>,
    round: usize,
) -> Vec<Relay<'a>> {
    let direct = |member: &&'a Member| Relay {
        member,
        targets: Vec::new(),
    };
    let is_alive = |member: &&&Member| alive.contains(&member.host);
    let alive_members: Vec<&Member> = members.iter().filter(is_alive).copied().collect();
    if members.len() <= MAX_DIRECT || alive_members.is_empty() {
        return members.iter().map(direct).collect();
    }
    let count = members.len().isqrt().clamp(1, alive_members.len());
    let turns = alive_members
        .iter()
        .cycle()
        .skip(round * count % alive_members.len());
    let mut relays: Vec<_> = turns.take(count).map(direct).collect();
    let chosen: BTreeSet<&host::Id> = relays.iter().map(|relay| &relay.member.host).collect();
    let rest = members
        .iter()
        .filter(|member| !chosen.contains(&member.host));
    for (index, member) in rest.enumerate() {
        let hash = sums::hash(member.host.as_str());
        relays[index % count].targets.push(hash);
    }
    relays
}
