//! How fast updates reach a whole fleet.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use gateway::{
    peers::{QUIET_FAN_OUT, WATCHERS, Watcher, Watchers, gossip_targets},
    source::Member,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use units::{host, time::Instant};

use crate::world::{START, registered};

/// One datagram in a hundred is lost.
const LOSS_RATE: f64 = 0.01;

/// The number of rounds until one router's update has reached all, with `fan_out` contacts
/// per router and round.
fn rounds_until_converged(members: &[Member], first: usize, fan_out: usize, seed: u64) -> usize {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut informed = vec![false; members.len()];
    informed[first] = true;
    let position: HashMap<&host::Id, usize> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (&member.host, index))
        .collect();
    for round in 0.. {
        if informed.iter().all(|&informed| informed) {
            return round;
        }
        let senders: Vec<_> = (0..members.len())
            .filter(|&index| informed[index])
            .collect();
        for index in senders {
            for target in gossip_targets(members, &members[index].host, fan_out * round, fan_out) {
                informed[position[&target.host]] |= !random.random_bool(LOSS_RATE);
            }
        }
    }
    unreachable!("the rounds do not end");
}

fn max_rounds(count: usize, fan_out: usize) -> usize {
    let members = registered(count);
    let seeds = 0..3;
    let rounds =
        seeds.map(|seed| rounds_until_converged(&members, seed as usize * 7, fan_out, seed));
    rounds.max().expect("at least one seed")
}

/// Guards against slow propagation: a key is revoked, and one router of a thousand learns
/// of it. If each contacted its neighbours in the list, the update would move around the
/// fleet step by step, and the routers on the far side would accept the key for seconds
/// longer.
#[test]
fn an_update_reaches_a_thousand_routers_in_few_rounds() {
    // Each router contacts eight others, so at best nine times as many hold the update
    // after each round. In the order of the list it took 5, 9 and 16 rounds; in the
    // shuffled order it takes 3, 4 and 5.
    assert!(max_rounds(85, 8) <= 4, "85: {}", max_rounds(85, 8));
    assert!(max_rounds(300, 8) <= 5, "300: {}", max_rounds(300, 8));
    assert!(max_rounds(1000, 8) <= 6, "1000: {}", max_rounds(1000, 8));
}

/// A fleet whose routers learn of the watchers by gossip.
struct Fleet {
    members: Vec<Member>,
    hosts: Vec<host::Id>,
    positions: HashMap<host::Id, usize>,
    watchers: Vec<Watchers>,
    watching: Vec<bool>,
    gossip_offsets: Vec<usize>,
    watch_changes: usize,
    now: Instant,
    random: SmallRng,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members = registered(count);
        let hosts: Vec<_> = members.iter().map(|member| member.host.clone()).collect();
        Self {
            watchers: hosts.iter().map(|own| Watchers::new(own, 1)).collect(),
            positions: hosts.iter().cloned().zip(0..).collect(),
            hosts,
            watching: vec![false; count],
            gossip_offsets: vec![0; count],
            watch_changes: 0,
            now: START,
            random: SmallRng::seed_from_u64(count as u64),
            members,
        }
    }

    /// Runs one round in which the routers of `up` take part.
    fn round(&mut self, up: &[usize], quiet_fan_out: usize) {
        self.now = self.now + Duration::from_millis(200);
        let heard: BTreeSet<_> = up.iter().map(|&index| &self.hosts[index]).collect();
        let is_heard = |host: &host::Id| heard.contains(host);
        for &index in up {
            let is_watching = self.watchers[index].should_watch(&self.hosts, is_heard, self.now);
            self.watch_changes += usize::from(is_watching != self.watching[index]);
            self.watching[index] = is_watching;
        }
        let advertised: Vec<_> = up
            .iter()
            .map(|&index| (index, self.watchers[index].advertise(true, self.now)))
            .collect();
        for (index, watchers) in advertised {
            let fan_out = if self.watching[index] {
                8
            } else {
                quiet_fan_out
            };
            self.gossip(index, &watchers, fan_out, up);
        }
    }

    /// Sends the watchers to some peers, which relay changes at once.
    fn gossip(&mut self, index: usize, watchers: &[Watcher], fan_out: usize, up: &[usize]) {
        let own = &self.members[index].host;
        let offset = self.gossip_offsets[index];
        self.gossip_offsets[index] += fan_out;
        let targets: Vec<usize> = gossip_targets(&self.members, own, offset, fan_out)
            .into_iter()
            .map(|target| self.positions[&target.host])
            .filter(|target| up.contains(target))
            .collect();
        for target in targets {
            if self.random.random_bool(LOSS_RATE) {
                continue;
            }
            if self.watchers[target].receive(watchers, self.now) {
                let watchers = self.watchers[target].advertise(true, self.now);
                self.gossip(target, &watchers, 8, up);
            }
        }
    }

    fn watcher_count(&self) -> usize {
        self.watching.iter().filter(|&&watches| watches).count()
    }
}

/// Guards against needless watchers: a router that learns of the watchers' heartbeats too
/// rarely takes them for dead and watches the store too. Each watcher costs a call per
/// change and full gossip.
///
/// With two peers per quiet round, no router of 85, 300 and 1,000 started or stopped
/// watching in 150 rounds; with one peer there were 14 changes among 1,000, and seven
/// watchers at the end.
#[test]
fn the_set_of_watchers_is_stable() {
    for count in [85, 300] {
        let mut fleet = Fleet::new(count);
        let up: Vec<_> = (0..count).collect();
        for _ in 0..60 {
            fleet.round(&up, QUIET_FAN_OUT);
        }
        fleet.watch_changes = 0;
        for _ in 0..60 {
            fleet.round(&up, QUIET_FAN_OUT);
        }
        assert_eq!(fleet.watcher_count(), WATCHERS, "{count}");
        assert_eq!(fleet.watch_changes, 0, "{count}");
    }
}

/// Guards against a revoked key that stays valid: all watchers are killed at once, and no
/// router learns of the change until others watch the store.
#[test]
fn watchers_are_replaced_within_seconds() {
    let mut fleet = Fleet::new(85);
    let all: Vec<_> = (0..85).collect();
    for _ in 0..60 {
        fleet.round(&all, QUIET_FAN_OUT);
    }
    let remaining: Vec<_> = all
        .into_iter()
        .filter(|&index| !fleet.watching[index])
        .collect();
    fleet.watching.fill(false);
    let mut rounds = 0;
    while fleet.watcher_count() == 0 {
        fleet.round(&remaining, QUIET_FAN_OUT);
        rounds += 1;
    }
    assert!(rounds <= 10, "{rounds} rounds of 200 ms");
}
