//! The order in which a router contacts its peers.

use units::host;
use xxhash_rust::xxh3;

use crate::source::Member;

/// Selects the next `count` peers, after `offset` contacts so far.
///
/// Each router counts from its own position in the shared member list. If all began at the
/// front of the list, all would contact the same few peers in each round: the links of
/// these would be full, updates would spread through these few only, and the other routers
/// would receive nothing until their turn.
///
/// The distances between sender and target are shuffled. In ascending order, an update
/// would move around the list step by step, since a router that has just received it would
/// contact the peers that its neighbours have already informed.
pub fn gossip_targets<'a>(
    members: &'a [Member],
    own: &host::Id,
    offset: usize,
    count: usize,
) -> Vec<&'a Member> {
    let position = members.iter().position(|member| member.host == *own);
    let begin = position.map_or(0, |position| position + 1);
    let others: Vec<&Member> = members[begin..]
        .iter()
        .chain(&members[..begin])
        .filter(|member| member.host != *own)
        .collect();
    if others.is_empty() {
        return Vec::new();
    }
    let first = offset % others.len();
    let steps = shuffled_steps(others.len());
    let targets = steps.iter().cycle().skip(first);
    targets
        .take(count.min(others.len()))
        .map(|&step| others[step])
        .collect()
}

/// All distances in a list of `count` peers, shuffled in the same way on every router.
fn shuffled_steps(count: usize) -> Vec<usize> {
    let mut steps: Vec<usize> = (0..count).collect();
    steps.sort_by_cached_key(|step| xxh3::xxh3_64(&step.to_le_bytes()));
    steps
}
