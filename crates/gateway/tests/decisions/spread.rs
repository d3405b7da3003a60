//! How fast news reaches a whole fleet.

use std::{collections::HashMap, time::Duration};

use gateway::{
    peers::{QUIET_FAN_OUT, Readers, WATCHERS, Watcher, turn},
    source::Member,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::{host, time::Instant};

use crate::world::{START, registered};

/// One datagram in a hundred is lost.
const LOST: f64 = 0.01;

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
            for target in turn(members, &members[index].host, most * round, most) {
                knows[position[&target.host]] |= !random.random_bool(LOST);
            }
        }
    }
    unreachable!("the rounds do not end");
}

fn worst(count: usize, most: usize) -> usize {
    let members = registered(count);
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

/// Routers that hear of who watches the store by what is told in turn.
struct Fleet {
    members: Vec<Member>,
    hosts: Vec<host::Id>,
    positions: HashMap<host::Id, usize>,
    readers: Vec<Readers>,
    watching: Vec<bool>,
    told: Vec<usize>,
    changes: usize,
    now: Instant,
    random: SmallRng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members = registered(count);
        let hosts: Vec<_> = members.iter().map(|member| member.host.clone()).collect();
        Self {
            readers: hosts.iter().map(|own| Readers::new(own, 1)).collect(),
            positions: hosts.iter().cloned().zip(0..).collect(),
            hosts,
            watching: vec![false; count],
            told: vec![0; count],
            changes: 0,
            now: START,
            random: SmallRng::seed_from_u64(count as u64),
            members,
        }
    }

    /// One round, in which the routers of `up` take part.
    fn round(&mut self, up: &[usize], quiet: usize) {
        self.now = self.now + Duration::from_millis(200);
        for &index in up {
            let is_watching = self.readers[index].decide(&self.hosts, self.now);
            self.changes += usize::from(is_watching != self.watching[index]);
            self.watching[index] = is_watching;
        }
        let told: Vec<_> = up
            .iter()
            .map(|&index| (index, self.readers[index].tell(true, self.now)))
            .collect();
        for (index, watchers) in told {
            let most = if self.watching[index] { 8 } else { quiet };
            self.tell(index, &watchers, most, up);
        }
    }

    /// Tells some others, who pass on at once what is new of the watchers.
    fn tell(&mut self, index: usize, watchers: &[Watcher], most: usize, up: &[usize]) {
        let own = &self.members[index].host;
        let told = self.told[index];
        self.told[index] += most;
        let targets: Vec<usize> = turn(&self.members, own, told, most)
            .into_iter()
            .map(|target| self.positions[&target.host])
            .filter(|target| up.contains(target))
            .collect();
        for target in targets {
            if self.random.random_bool(LOST) {
                continue;
            }
            if self.readers[target].hear(watchers, self.now) {
                let watchers = self.readers[target].tell(true, self.now);
                self.tell(target, &watchers, 8, up);
            }
        }
    }

    fn watchers(&self) -> usize {
        self.watching.iter().filter(|&&watches| watches).count()
    }
}

/// A router that hears too seldom of those who watch the store takes them for
/// dead and watches too. All who do pay for each change, and tell all others.
///
/// With two others told in a quiet round no router of 85, 300 and 1,000 began or
/// ceased to watch in 150 rounds; with one there were 14 changes among 1,000, and
/// seven watched at the end.
#[test]
fn the_same_few_go_on_watching() {
    for count in [85, 300] {
        let mut fleet = Fleet::new(count);
        let up: Vec<_> = (0..count).collect();
        for _ in 0..60 {
            fleet.round(&up, QUIET_FAN_OUT);
        }
        fleet.changes = 0;
        for _ in 0..60 {
            fleet.round(&up, QUIET_FAN_OUT);
        }
        assert_eq!(fleet.watchers(), WATCHERS, "{count}");
        assert_eq!(fleet.changes, 0, "{count}");
    }
}

/// The routers that watch the store are killed at once, and a key is taken away.
/// Nobody hears of it until others watch.
#[test]
fn others_watch_within_seconds() {
    let mut fleet = Fleet::new(85);
    let all: Vec<_> = (0..85).collect();
    for _ in 0..60 {
        fleet.round(&all, QUIET_FAN_OUT);
    }
    let left: Vec<_> = all
        .into_iter()
        .filter(|&index| !fleet.watching[index])
        .collect();
    fleet.watching.fill(false);
    let mut rounds = 0;
    while fleet.watchers() == 0 {
        fleet.round(&left, QUIET_FAN_OUT);
        rounds += 1;
    }
    assert!(rounds <= 10, "{rounds} rounds of 200 ms");
}
