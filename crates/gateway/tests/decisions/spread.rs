//! How fast news reaches a whole fleet.

use std::collections::HashMap;

use gateway::{peers::turn, source::Member};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::host;

use crate::world::members;

/// One datagram in a hundred is lost.
const LOST: f64 = 0.01;

fn fleet(count: usize) -> Vec<Member> {
    let members = members(count).into_iter();
    members
        .map(|host| Member {
            host,
            zone: "a".parse().expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
        })
        .collect()
}

/// Rounds until all have heard what one router knows, each telling `most` others a round.
fn rounds_until_heard(members: &[Member], first: usize, most: usize, seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut knows = vec![false; members.len()];
    knows[first] = true;
    let position: HashMap<&host::Id, usize> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (&member.host, index))
        .collect();
    for round in 0.. {
        if knows.iter().all(|&knows| knows) {
            return round;
        }
        let telling: Vec<_> = (0..members.len()).filter(|&index| knows[index]).collect();
        for index in telling {
            for target in turn(members, &members[index].host, round, most) {
                knows[position[&target.host]] |= !random.random_bool(LOST);
            }
        }
    }
    unreachable!("the rounds do not end");
}

fn worst(count: usize, most: usize) -> usize {
    let members = fleet(count);
    let seeds = 0..3;
    let rounds = seeds.map(|seed| rounds_until_heard(&members, seed as usize * 7, most, seed));
    rounds.max().expect("a seed")
}

/// A key is taken away, and one router of a thousand hears of it. Were each to
/// tell those next to it in the list, the news would go round the fleet step by
/// step, and those on its far side would take the key for seconds longer.
#[test]
fn news_reaches_a_thousand_routers_in_few_rounds() {
    // Each tells eight others, so at best nine times as many know after each round.
    // In the list's own order it took 5, 9 and 16 rounds; now it takes 3, 4 and 5.
    assert!(worst(85, 8) <= 4, "85: {}", worst(85, 8));
    assert!(worst(300, 8) <= 5, "300: {}", worst(300, 8));
    assert!(worst(1000, 8) <= 6, "1000: {}", worst(1000, 8));
}
