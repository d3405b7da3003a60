//! Whom a router tells in which round.

use units::host;

use crate::source::Member;

/// The other routers whose turn it is in a round, `most` at a time.
///
/// Each router begins behind itself in the list that all share. Were all to begin
/// at its front, they would all tell the same few in each round: their links
/// would be full, news would spread by these few only, and the rest would hear
/// nothing for as many rounds as there are turns.
pub fn turn<'a>(
    members: &'a [Member],
    own: &host::Id,
    round: usize,
    most: usize,
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
    let first = round.wrapping_mul(most) % others.len();
    let turn = others.iter().cycle().skip(first);
    turn.take(most.min(others.len())).copied().collect()
}
