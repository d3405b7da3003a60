//! What routers tell each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use gateway::{
    dispatch,
    evidence::Ends,
    load::{Heard, Load, Report, Teller},
    peers::{
        ADDERS, Adders, Digest, Directory, Frame, Readers, Roll, Sum, Sums, Total, Versions,
        WATCHERS, Watcher, loads as digest_loads, relays, sums, turn,
    },
    source::Member,
};
use proptest::prelude::*;
use units::{host, time::Instant};
use wire::seal::Tag;

use crate::world::{START, host, members, server};

const PATIENCE: Duration = Duration::from_secs(1);

fn digest(name: &str, configuration: u64) -> Digest {
    let versions = Versions {
        configuration,
        servers: 1,
        routers: 1,
    };
    Digest::new(host(name), versions, true, Vec::new(), Vec::new())
}

fn at(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn own(configuration: u64) -> Versions {
    Versions {
        configuration,
        servers: 1,
        routers: 1,
    }
}

/// Whom to ask, where no other router is near.
fn ahead(
    roll: &mut Roll,
    own: Versions,
    is_watching: bool,
    random: usize,
    now: Instant,
) -> Option<SocketAddr> {
    roll.ahead(own, is_watching, |_| false, random, now)
}

/// The store refuses this router and serves the others. A key is taken away,
/// and this router would go on taking it.
#[test]
fn a_router_that_is_behind_asks_one_that_is_ahead() {
    let mut roll = Roll::default();
    roll.heard(&digest("r1", 5), at(1), START, PATIENCE);
    assert_eq!(roll.newest_configuration(), 5);
    roll.heard(&digest("r2", 6), at(2), START, PATIENCE);
    assert_eq!(ahead(&mut roll, own(5), true, 0, START), None);
    let later = START + Duration::from_millis(200);
    assert_eq!(ahead(&mut roll, own(5), true, 0, later), Some(at(2)));
    let at_once = later + Duration::from_millis(10);
    assert_eq!(
        ahead(&mut roll, own(5), true, 0, at_once),
        None,
        "one question at a time"
    );
}

/// The store tells all within a few milliseconds, so being behind for a moment
/// is no reason to ask.
#[test]
fn a_router_that_catches_up_does_not_ask() {
    let mut roll = Roll::default();
    roll.heard(&digest("r1", 6), at(1), START, PATIENCE);
    assert_eq!(ahead(&mut roll, own(5), true, 0, START), None);
    assert_eq!(
        ahead(
            &mut roll,
            own(6),
            true,
            0,
            START + Duration::from_millis(100)
        ),
        None
    );
    assert_eq!(
        ahead(
            &mut roll,
            own(5),
            true,
            0,
            START + Duration::from_millis(200)
        ),
        None
    );
}

/// The router that knew most has died. Asked again and again, it would keep
/// this one from asking another that has the news by now.
#[test]
fn a_router_that_does_not_answer_is_not_asked_again() {
    let mut roll = Roll::default();
    roll.heard(&digest("r1", 6), at(1), START, PATIENCE);
    roll.heard(&digest("r2", 6), at(2), START, PATIENCE);
    let first = ahead(&mut roll, own(5), false, 0, START).expect("one to ask");
    roll.forget(first);
    let later = START + Duration::from_millis(100);
    for random in 0..4 {
        let later = later + Duration::from_millis(100 * random as u64);
        let next = ahead(&mut roll, own(5), false, random, later).expect("one to ask");
        assert_ne!(next, first);
    }
}

/// A change reaches all routers at once. If all asked the same one for it, its
/// link would carry a large configuration once for each of them.
#[test]
fn routers_ask_any_that_knows() {
    let mut roll = Roll::default();
    for index in 0..5 {
        roll.heard(&digest(&format!("r{index}"), 6), at(index), START, PATIENCE);
    }
    let asked = (0..50).map(|random| {
        let now = START + Duration::from_secs(random);
        ahead(&mut roll, own(5), false, random as usize, now)
    });
    let asked: BTreeSet<_> = asked.flatten().collect();
    assert_eq!(asked.len(), 5);
}

/// Three hundred routers start at the same moment and tell eight others in each
/// round. If all told the same eight, these would be flooded, and the others
/// would hear of a new configuration only when their turn comes, after seconds.
#[test]
fn each_router_is_told_by_as_many_others_in_each_round() {
    let members: Vec<Member> = members(300)
        .into_iter()
        .map(|host| Member {
            host,
            zone: "a".parse().expect("a name"),
            address: at(1),
        })
        .collect();
    for round in 0..3 {
        let mut told: BTreeMap<&str, u32> = BTreeMap::new();
        for member in &members {
            for target in turn(&members, &member.host, 8 * round, 8) {
                assert_ne!(target.host, member.host);
                *told.entry(target.host.as_str()).or_default() += 1;
            }
        }
        assert_eq!(told.len(), 300);
        assert!(told.values().all(|&count| count == 8), "round {round}");
    }
    let rounds = 0..300_usize.div_ceil(8);
    let all = rounds.flat_map(|round| turn(&members, &members[7].host, 8 * round, 8));
    let all: BTreeSet<&str> = all.map(|member| member.host.as_str()).collect();
    assert_eq!(all.len(), 299, "everyone has a turn");
}

/// Servers are replaced one after the other, and each change would make every
/// router ask for it, through other zones and at once. What routers tell each
/// other would take more of their links than their callers do.
#[test]
fn series_of_changes_are_asked_for_together_and_near_by() {
    let changed = |servers| {
        let mut digest = digest("r1", 5);
        digest.versions.servers = servers;
        digest
    };
    let mut roll = Roll::default();
    let mut asked = Vec::new();
    for step in 0..40 {
        let now = START + Duration::from_millis(25 * step);
        let far = Digest {
            host: host("r2"),
            ..changed(2 + step)
        };
        roll.heard(&far, at(2), now, PATIENCE);
        roll.heard(&changed(2 + step), at(1), now, PATIENCE);
        let near = host("r1");
        asked.extend(roll.ahead(own(5), false, |host| *host == near, step as usize, now));
    }
    assert_eq!(asked, [at(1); 4], "four in a second, all near by");
}

/// While servers change in series a key is taken away. Asked for only with the
/// next series, it would be taken for a quarter of a second longer.
#[test]
fn a_configuration_does_not_wait_for_a_series() {
    let mut roll = Roll::default();
    let mut servers = digest("r1", 5);
    servers.versions.servers = 2;
    roll.heard(&servers, at(1), START, PATIENCE);
    assert!(ahead(&mut roll, own(5), false, 0, START).is_some());
    let next = START + Duration::from_millis(70);
    assert_eq!(ahead(&mut roll, own(5), false, 0, next), None);
    roll.heard(&digest("r1", 6), at(1), next, PATIENCE);
    assert!(ahead(&mut roll, own(5), false, 0, next).is_some());
}

/// A router that died would count with its last requests for ever.
#[test]
fn a_silent_router_is_forgotten() {
    let mut roll = Roll::default();
    assert!(roll.heard(&digest("r1", 5), at(1), START, PATIENCE));
    assert_eq!(roll.silent(START + PATIENCE - Duration::from_millis(1)), []);
    assert_eq!(roll.silent(START + PATIENCE), [host("r1")]);
    assert!(roll.is_empty());
}

/// A fleet whose routers hear each other, each round all of them.
struct Gossip {
    all: Vec<host::Id>,
    readers: Vec<Readers>,
    watching: Vec<bool>,
    now: Instant,
}

impl Gossip {
    fn new(count: usize) -> Self {
        let all = members(count);
        Self {
            readers: all.iter().map(|own| Readers::new(own, 1)).collect(),
            watching: vec![false; count],
            now: START,
            all,
        }
    }

    /// One round, in which only the routers of `up` take part.
    fn round(&mut self, up: &[usize], is_served: bool) {
        self.now = self.now + Duration::from_millis(200);
        for &index in up {
            self.watching[index] = self.readers[index].decide(&self.all, self.now);
        }
        let told: Vec<_> = up
            .iter()
            .map(|&index| self.readers[index].tell(is_served, self.now))
            .collect();
        for &index in up {
            for watchers in &told {
                self.readers[index].hear(watchers, self.now);
            }
        }
    }

    fn watching(&self, up: &[usize]) -> usize {
        up.iter().filter(|&&index| self.watching[index]).count()
    }
}

/// Every router that watches the store is told of every change, and each of
/// these calls is paid for. With a thousand routers the store would be busy
/// with nothing else.
#[test]
fn a_few_routers_watch_the_store_for_all() {
    for count in [3, 8, 85, 300] {
        let mut gossip = Gossip::new(count);
        let up: Vec<_> = (0..count).collect();
        for _ in 0..60 {
            gossip.round(&up, true);
        }
        assert_eq!(gossip.watching(&up), count.min(WATCHERS), "{count} routers");
    }
}

/// All routers that watch are killed at once. Nobody hears of changes until
/// others take over.
#[test]
fn others_take_over_when_watchers_die() {
    let mut gossip = Gossip::new(85);
    let all: Vec<_> = (0..85).collect();
    for _ in 0..60 {
        gossip.round(&all, true);
    }
    let left: Vec<_> = all
        .into_iter()
        .filter(|&index| !gossip.watching[index])
        .collect();
    for _ in 0..10 {
        gossip.round(&left, true);
    }
    let watching = gossip.watching(&left);
    assert!(
        (WATCHERS..=3 * WATCHERS).contains(&watching),
        "{watching} after two seconds"
    );
    for _ in 0..60 {
        gossip.round(&left, true);
    }
    assert_eq!(gossip.watching(&left), WATCHERS);
}

/// The store answers nobody. If all routers tried, its return would be met by
/// all of them at once.
#[test]
fn few_try_while_the_store_is_away() {
    let mut gossip = Gossip::new(85);
    let up: Vec<_> = (0..85).collect();
    for _ in 0..100 {
        gossip.round(&up, false);
    }
    let trying = gossip.watching(&up);
    assert!((WATCHERS..=24).contains(&trying), "{trying}");
}

#[test]
fn a_digest_of_a_large_fleet_fits_one_datagram() {
    let watchers = (0..12).map(|host| Watcher {
        host: u32::MAX - host,
        beat: u64::MAX,
        is_served: true,
    });
    let watchers = watchers.collect();
    let loads: Vec<_> = (0..120)
        .map(|index| dispatch::Load {
            server: server(&format!("i-{index:016x}")),
            running: 300,
            ends: Ends {
                failed: 300,
                completed: 30_000,
            },
        })
        .collect();
    let digest = Digest::new(
        host("edge-lk-west-a-1"),
        own(u64::MAX),
        true,
        watchers,
        Vec::new(),
    );
    let report = Teller::default().next(&digest_loads(&loads), START);
    let frame = Frame::Digest(digest.with_loads(report));
    let bytes = frame.encode().expect("it fits");
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

fn load(server: u32, running: u16) -> Load {
    Load {
        server,
        running,
        ends: Ends::default(),
    }
}

/// Eighty-five routers have a request or two each at one server. Each alone sees
/// a server with room, and all together fill it.
#[test]
fn loads_of_all_zones_add_up() {
    let mut adder = Sums::default();
    for index in 0..28 {
        adder.told(
            host(&format!("a{index}")),
            vec![load(1, 1), load(2, 2)],
            START,
        );
    }
    for zone in [7, 8] {
        let loads = vec![load(1, 28)];
        let routers = 28;
        adder.heard(
            Sum {
                zone,
                routers,
                loads,
            },
            START,
        );
    }
    let own = [load(1, 2)];
    let sum = adder.zone(6, &own, START);
    assert_eq!(sum.loads, [load(1, 30), load(2, 56)]);
    let total = adder.total(&sum, START);
    assert_eq!(total, [load(1, 86), load(2, 56)]);
    assert_eq!(sums::without(&total, &own), [load(1, 84), load(2, 56)]);
}

/// Three thousand servers do not fit one datagram. Were the sum not told at all,
/// every router would see only its own requests.
#[test]
fn a_sum_over_many_servers_tells_of_the_busiest() {
    let mut adder = Sums::default();
    let own: Vec<_> = (0..3000)
        .map(|server| load(server, (server % 700) as u16))
        .collect();
    let sum = adder.zone(6, &own, START);
    let least = sum.loads.iter().map(|load| load.running).min();
    assert!(least >= Some(600), "{least:?}");
    let frame = Frame::Sum {
        zone: sum.zone,
        routers: sum.routers,
        loads: Teller::default().next(&sum.loads, START),
    };
    assert!(frame.encode().is_ok());
    let total = Total {
        adder: u32::MAX,
        routers: u16::MAX,
        loads: Teller::default().next(&adder.total(&sum, START), START),
        others: vec![u32::MAX; 10],
    };
    assert!(Frame::Total(total).encode().is_ok());
}

/// Each of 28 routers of a zone sees a single failure of a server. Added up, they
/// tell the whole fleet; if they were not, every router would have to meet the
/// server three times to learn it.
#[test]
fn failures_of_all_routers_add_up() {
    let seen = |failed| Load {
        ends: Ends {
            failed,
            completed: 0,
        },
        ..load(1, 0)
    };
    let mut adder = Sums::default();
    for index in 0..28 {
        adder.told(host(&format!("a{index}")), vec![seen(16)], START);
    }
    let own = [seen(16)];
    let sum = adder.zone(6, &own, START);
    let total = adder.total(&sum, START);
    assert_eq!(total, [seen(29 * 16)]);
    assert_eq!(sums::without(&total, &own), [seen(28 * 16)]);
}

/// A router died, or a zone is cut off. What it told last must not count for ever.
#[test]
fn old_loads_do_not_count() {
    let mut adder = Sums::default();
    adder.told(host("a1"), vec![load(1, 9)], START);
    adder.heard(
        Sum {
            zone: 7,
            routers: 1,
            loads: vec![load(1, 9)],
        },
        START,
    );
    let later = START + Duration::from_secs(1);
    let sum = adder.zone(6, &[], later);
    assert_eq!(adder.total(&sum, later), []);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(2000) })]

    /// Bytes from the network are anything at all.
    #[test]
    fn any_bytes_are_refused_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        drop(Frame::decode(&bytes));
    }
}

fn ended(server: u32, failed: u16, completed: u16) -> Load {
    Load {
        ends: Ends { failed, completed },
        ..load(server, 1)
    }
}

/// A server fails a request. Told only with the next whole report, callers would
/// meet it for two seconds longer.
#[test]
fn new_failures_are_told_at_once() {
    let mut teller = Teller::default();
    let mut heard = Heard::default();
    let calm = [ended(1, 0, 160), ended(2, 0, 160)];
    assert_eq!(heard.take(teller.next(&calm, START)), calm);
    let soon = START + Duration::from_millis(200);
    let failing = [ended(1, 16, 150), ended(2, 0, 150)];
    let news = teller.next(&failing, soon);
    assert_eq!(heard.take(news), [ended(1, 16, 150), ended(2, 0, 160)]);
    let next = soon + Duration::from_millis(200);
    let Report::Change { ends, .. } = teller.next(&failing, next) else {
        panic!("a whole report so soon");
    };
    assert_eq!(ends, [], "it has been told");
}

/// The datagram that told of a failure is lost, and one that told that a server
/// has no requests any more.
#[test]
fn a_whole_report_makes_up_for_lost_ones() {
    let mut teller = Teller::default();
    let mut heard = Heard::default();
    heard.take(teller.next(&[load(1, 3)], START));
    let lost = teller.next(&[ended(2, 32, 0)], START + Duration::from_millis(200));
    drop(lost);
    let now = [ended(2, 32, 0)];
    let whole = teller.next(&now, START + Duration::from_secs(2));
    assert_eq!(heard.take(whole), now);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(500) })]

    /// Whatever the hashes of servers are, those in flight arrive as they were told.
    #[test]
    fn requests_in_flight_arrive_as_told(
        running in proptest::collection::btree_map(0_u32..1 << 24, 1_u16..500, 0..80),
    ) {
        let loads: Vec<_> = running.into_iter().map(|(server, running)| load(server, running)).collect();
        let mut teller = Teller::default();
        let mut heard = Heard::default();
        heard.take(teller.next(&[], START));
        let report = teller.next(&loads, START);
        let frame = Frame::Loads(report);
        let Ok(Frame::Loads(report)) = Frame::decode(&frame.encode().expect("it fits")) else {
            panic!("another frame");
        };
        prop_assert_eq!(heard.take(report), loads);
    }
}

fn zone(count: usize) -> Vec<Member> {
    let members = members(count).into_iter();
    members
        .map(|host| Member {
            host,
            zone: "a".parse().expect("a name"),
            address: at(1),
        })
        .collect()
}

/// A router that adds up dies. The others of its zone go on telling it their
/// loads, and place by what they see themselves.
#[test]
fn a_dead_adder_is_replaced() {
    let members = zone(28);
    let own = &members[0];
    let mut adders = Adders::default();
    let mut now = START;
    let choose = |adders: &mut Adders, now| -> Vec<host::Id> {
        let chosen = adders.choose(members.iter(), own, now);
        chosen.iter().map(|member| member.host.clone()).collect()
    };
    let first = choose(&mut adders, now);
    assert_eq!(first.len(), ADDERS);
    let alive: Vec<_> = first.iter().filter(|host| **host != own.host).collect();
    let (dead, alive) = (alive[0], alive.get(1));
    let mut chosen = first.clone();
    for _ in 0..6 {
        now = now + Duration::from_millis(200);
        if let Some(alive) = alive {
            adders.heard(sums::hash(alive.as_str()), now);
        }
        chosen = choose(&mut adders, now);
    }
    assert!(!chosen.contains(dead), "after a second it is passed over");
    assert_eq!(chosen.len(), ADDERS);
    let later = now + Duration::from_secs(5);
    assert!(
        choose(&mut adders, later).contains(dead),
        "it gets another chance"
    );
}

/// Sums are sent through routers of which some have died. Those behind them
/// would hear no sum at all.
#[test]
fn sums_are_passed_on_by_routers_that_are_alive() {
    let members = zone(27);
    let all: Vec<&Member> = members.iter().collect();
    let alive: BTreeSet<host::Id> = members[9..]
        .iter()
        .map(|member| member.host.clone())
        .collect();
    let mut first = BTreeSet::new();
    for round in 0..6 {
        let relays = relays(&all, &alive, round);
        let mut reached: Vec<u32> = Vec::new();
        for relay in &relays {
            assert!(relay.others.is_empty() || alive.contains(&relay.member.host));
            assert!(
                relay.others.len() <= 5,
                "{} are passed on to",
                relay.others.len()
            );
            reached.push(sums::hash(relay.member.host.as_str()));
            reached.extend(&relay.others);
            first.insert(relay.member.host.clone());
        }
        reached.sort_unstable();
        let mut wanted: Vec<_> = all
            .iter()
            .map(|member| sums::hash(member.host.as_str()))
            .collect();
        wanted.sort_unstable();
        assert_eq!(reached, wanted, "each is reached once");
        assert!(relays.len() <= 5, "{} are sent to", relays.len());
    }
    assert_eq!(first.len(), 18, "all that are alive take their turns");
}

/// A router is replaced by another. What the new one tells must not count as the
/// old one's, whose place in the list it may have.
#[test]
fn routers_are_found_by_their_tags() {
    let mut directory = Directory::default();
    let before = Arc::new(zone(3));
    let after = Arc::new(zone(5).split_off(2));
    let mut found = |members, name: &str| {
        let member = directory.find(members, Tag::new(&host(name)));
        member.map(|member| member.host.to_string())
    };
    assert_eq!(found(&before, "r0").as_deref(), Some("r0"));
    assert_eq!(found(&before, "r4"), None);
    assert_eq!(found(&after, "r4").as_deref(), Some("r4"));
    assert_eq!(found(&after, "r0"), None);
}

/// A router is taken for dead by the others of its zone, which tell it nothing,
/// and still adds up. Its sum would hide nearly all requests of the zone.
#[test]
fn a_partial_sum_does_not_count() {
    let sum = |routers, running| Sum {
        zone: 7,
        routers,
        loads: vec![load(1, running)],
    };
    let own = Sum {
        zone: 6,
        ..sum(1, 1)
    };
    let mut adder = Sums::default();
    adder.heard(sum(28, 60), START);
    adder.heard(sum(3, 5), START);
    assert_eq!(adder.total(&own, START), [load(1, 61)]);
    adder.heard(sum(20, 40), START);
    assert_eq!(adder.total(&own, START), [load(1, 41)]);
    let later = START + Duration::from_secs(1);
    adder.heard(sum(3, 5), later);
    assert_eq!(
        adder.total(&own, later),
        [load(1, 6)],
        "nobody else is left"
    );
}
