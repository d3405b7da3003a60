//! Whom a router tells next.

use units::host;
use xxhash_rust::xxh3;

use crate::source::Member;

/// The other routers whose turn it is, `most` of them, when so many have been `told`.
///
/// Each router counts from itself on in the list that all share. Were all to begin
/// at its front, they would all tell the same few in each round: their links
/// would be full, news would spread by these few only, and the rest would hear
/// nothing for as many rounds as there are turns.
///
/// The steps are in an order without a pattern. Taken one after the other, news
/// would go round the fleet step by step, since a router that has just heard
/// would tell those whom its neighbours have told.
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

/// All steps from one router to another of `count`, in an order that all agree on.
fn shuffled_steps(count: usize) -> Vec<usize> {
    let mut steps: Vec<usize> = (0..count).collect();
    steps.sort_by_cached_key(|step| xxh3::xxh3_64(&step.to_le_bytes()));
    steps
}
