//! How a sum reaches all routers of a zone.

use std::collections::BTreeSet;

use units::host;

use super::sums;
use crate::source::Member;

/// From so many routers on some pass a sum on to others.
const MAX_DIRECT: usize = 6;

/// A router that is sent a sum, and those that it passes it on to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay<'a> {
    /// The router.
    pub member: &'a Member,
    /// The hashes of the others.
    pub targets: Vec<u32>,
}

/// Divides `members` among some of them, for a router that adds up to send to.
///
/// Sent by the one who adds up to each, sums would fill the link of a small host
/// in a large zone. Only routers that were heard lately, `alive`, pass on, and in
/// each `round` others do, so that one that has just died hides only one sum from
/// those behind it.
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
