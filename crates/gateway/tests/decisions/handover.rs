//! The records of streams that routers are told again.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use gateway::{
    origins::{self, COPIES, Handover, Key, LOST_AFTER, MAX_SILENCE, Silence},
    source::Member,
};
use units::{host, time::Instant};
use yare::parameterized;

use crate::world::{START, host};

const STREAMS: u64 = 200;
/// The streams that are looked at in a round.
const BATCH: usize = 64;

fn member(number: usize) -> Member {
    Member {
        host: host(&format!("r{number}")),
        zone: format!("z{}", number % 3).parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        tunnels: None,
    }
}

/// The records that routers hold, as far as datagrams of one another tell them.
struct Fleet {
    members: Arc<Vec<Member>>,
    routers: BTreeMap<host::Id, (Handover, BTreeSet<Key>)>,
    /// The records told since the streams began.
    told: usize,
}

impl Fleet {
    /// A fleet in which streams begin at all routers in turn.
    fn begin(routers: usize) -> Self {
        let members: Vec<Member> = (0..routers).map(member).collect();
        let mut fleet = Self {
            members: Arc::default(),
            routers: BTreeMap::new(),
            told: 0,
        };
        for member in &members {
            fleet
                .routers
                .insert(member.host.clone(), Default::default());
        }
        fleet.set_members(members.clone());
        fleet.exchange();
        for number in 0..STREAMS {
            let key = Key(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
            let first = &members[number as usize % routers].host;
            let keepers = origins::keepers(&members, key, COPIES);
            let holders = keepers.iter().map(|keeper| &keeper.host).chain([first]);
            for holder in holders {
                fleet
                    .routers
                    .get_mut(holder)
                    .expect("a router")
                    .1
                    .insert(key);
            }
        }
        fleet.told = 0;
        fleet
    }

    fn set_members(&mut self, members: Vec<Member>) {
        self.members = Arc::new(members);
        for (handover, keys) in self.routers.values_mut() {
            handover.set_members(Arc::clone(&self.members), keys.iter().copied());
        }
    }

    /// Ends a router and starts another process under its name.
    fn restart(&mut self, host: &host::Id) {
        let mut handover = Handover::default();
        handover.set_members(Arc::clone(&self.members), std::iter::empty());
        self.routers
            .insert(host.clone(), (handover, BTreeSet::new()));
        for (other, (handover, keys)) in &mut self.routers {
            if other != host {
                handover.started(host, keys.iter().copied());
            }
        }
    }

    /// Ends a router for good.
    fn remove(&mut self, host: &host::Id) {
        self.routers.remove(host);
        let members = self.members.iter().filter(|member| member.host != *host);
        self.set_members(members.cloned().collect());
    }

    /// Plays rounds until all records are told.
    fn exchange(&mut self) {
        for _ in 0..STREAMS as usize / BATCH + 2 {
            let mut told = Vec::new();
            for (own, (handover, _)) in &mut self.routers {
                told.extend(handover.next(own, BATCH));
            }
            self.told += told.len();
            for (keeper, key) in told {
                if let Some((_, keys)) = self.routers.get_mut(&keeper.host) {
                    keys.insert(key);
                }
            }
        }
    }

    /// The streams that a router finds which asks the others.
    fn found(&self) -> usize {
        let keys = (0..STREAMS).map(|number| Key(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let is_found = |key: &Key| {
            let asked = origins::keepers(&self.members, *key, origins::ASKED);
            let mut holders = asked
                .iter()
                .filter_map(|asked| self.routers.get(&asked.host));
            holders.any(|(_, keys)| keys.contains(key))
        };
        keys.filter(is_found).count()
    }
}

/// Guards against streams whose version nobody knows after a rolling restart: each router that starts
/// knows nothing.
#[parameterized(
    two = { 2 },
    three = { 3 },
    six = { 6 },
    twelve = { 12 },
    eighty_five = { 85 },
)]
fn records_outlast_a_rolling_restart(routers: usize) {
    let mut fleet = Fleet::begin(routers);
    for number in 0..routers {
        fleet.restart(&member(number).host);
        fleet.exchange();
    }
    assert_eq!(fleet.found(), STREAMS as usize);
}

/// Guards against records that are lost one by one as routers end for good.
#[parameterized(six = { 6 }, twelve = { 12 })]
fn records_outlast_all_routers_but_one_that_end_in_turn(routers: usize) {
    let mut fleet = Fleet::begin(routers);
    for number in 1..routers {
        fleet.remove(&member(number).host);
        fleet.exchange();
    }
    assert_eq!(fleet.found(), STREAMS as usize);
}

/// Guards against routers that are all replaced by others under other names.
#[test]
fn records_move_to_routers_that_replace_all_others() {
    let mut fleet = Fleet::begin(6);
    for number in 0..6 {
        let joined = member(number + 6);
        let mut members = Vec::clone(&fleet.members);
        members.push(joined.clone());
        fleet.routers.insert(joined.host, Default::default());
        fleet.set_members(members);
        fleet.exchange();
        fleet.remove(&member(number).host);
        fleet.exchange();
    }
    assert_eq!(fleet.found(), STREAMS as usize);
}

/// Guards against records that are told to all routers at each change: what one change costs does not
/// grow with the fleet.
#[parameterized(twelve = { 12 }, eighty_five = { 85 }, three_hundred = { 300 })]
fn a_change_tells_only_what_it_moves(routers: usize) {
    let mut fleet = Fleet::begin(routers);
    fleet.restart(&member(0).host);
    fleet.exchange();
    // Of each stream, four keepers and the router that began it tell each record that the new one keeps.
    let kept = STREAMS as usize * COPIES / routers;
    let most = 2 * kept * (COPIES + 1);
    assert!(fleet.told <= most, "{} told, at most {most}", fleet.told);
}

/// Guards against keepers that are registered and have ended, and against routers that are left out
/// because nobody has heard them yet.
#[test]
fn a_registered_router_counts_until_it_has_been_silent_for_long() {
    let members = Arc::new((0..4).map(member).collect::<Vec<_>>());
    let mut silence = Silence::default();
    let mut audible = |silent: &str, now: Instant| {
        let is_heard = |host: &host::Id| host.as_str() != silent;
        silence.audible(&members, is_heard, now).len()
    };
    assert_eq!(audible("r1", START), 4);
    assert_eq!(audible("r1", START + MAX_SILENCE / 2), 4);
    assert_eq!(audible("r1", START + MAX_SILENCE), 3);
    // Heard again, and silent anew.
    assert_eq!(audible("", START + MAX_SILENCE), 4);
    let later = START + MAX_SILENCE + Duration::from_secs(1);
    assert_eq!(audible("r1", later), 4);
    assert_eq!(audible("r1", later + MAX_SILENCE), 3);
}

/// Guards against registrations of lost routers that stay for ever, and against the removal of one that is
/// only not heard for some time.
#[test]
fn a_router_that_is_not_heard_for_long_is_lost() {
    let members = Arc::new((0..3).map(member).collect::<Vec<_>>());
    let mut silence = Silence::default();
    let lost = |silence: &Silence, now| silence.lost(now).cloned().collect::<Vec<_>>();
    let is_first = |router: &host::Id| *router == host("r0");
    let is_not_last = |router: &host::Id| *router != host("r2");
    silence.audible(&members, is_first, START);
    let almost = START + LOST_AFTER - Duration::from_secs(1);
    silence.audible(&members, is_first, almost);
    assert_eq!(lost(&silence, almost), Vec::new());
    silence.audible(&members, is_not_last, almost);
    let later = START + LOST_AFTER;
    silence.audible(&members, is_first, later);
    assert_eq!(lost(&silence, later), [host("r2")]);
    let without = Arc::new(members[..2].to_vec());
    silence.audible(&without, is_first, later);
    assert_eq!(lost(&silence, later), Vec::new());
}
