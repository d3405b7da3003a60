//! The routers that keep the record of a stream, and those that write the journal.

use placement::score;
use smallvec::SmallVec;
use units::availability;
use xxhash_rust::xxh3;

use super::{ASKED, Key};
use crate::source::Member;

/// The first `count` keepers of a stream, by rendezvous hashing.
///
/// As long as there are zones without one, the next keeper is in one of them. All routers with
/// the same members choose the same ones in the same order; without a router, the others keep
/// their order.
pub fn keepers(members: &[Member], key: Key, count: usize) -> SmallVec<[&Member; ASKED]> {
    let scores: Vec<u64> = members.iter().map(|member| score_of(member, key)).collect();
    let mut chosen: SmallVec<[usize; ASKED]> = SmallVec::new();
    while chosen.len() < count.min(members.len()) {
        let is_used = |index: &usize| {
            let mut chosen = chosen.iter();
            chosen.any(|other| members[*other].zone == members[*index].zone)
        };
        let left = || (0..members.len()).filter(|index| !chosen.contains(index));
        let best = |index: &usize| scores[*index];
        let in_new_zone = left().filter(|index| !is_used(index)).max_by_key(best);
        let Some(next) = in_new_zone.or_else(|| left().max_by_key(best)) else {
            break;
        };
        chosen.push(next);
    }
    chosen.iter().map(|index| &members[*index]).collect()
}

/// The router of a zone that writes the journal, by rendezvous hashing; `None` if the zone has none.
pub fn journal_writer<'a>(members: &'a [Member], zone: &availability::Zone) -> Option<&'a Member> {
    let key = Key(xxh3::xxh3_64(zone.as_str().as_bytes()));
    let members = members.iter().filter(|member| member.zone == *zone);
    members.max_by_key(|member| score_of(member, key))
}

fn score_of(member: &Member, key: Key) -> u64 {
    let host = xxh3::xxh3_64(member.host.as_str().as_bytes());
    score::pair_hash(key.as_chat(), host)
}
