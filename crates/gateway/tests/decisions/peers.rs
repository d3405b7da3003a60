//! What routers tell each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use gateway::{
    dispatch,
    load::ReportEncoder,
    outlier::OutcomeCounts,
    peers::{
        Digest, Directory, Frame, Part, Readers, Roll, Versions, WATCHERS, Watcher,
        loads as digest_loads, turn,
    },
};
use proptest::prelude::*;
use units::{host, time::Instant};
use wire::seal::Tag;

use crate::world::{START, host, members, registered, server};

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
    let mut ask = |part| roll.ahead(part, own, is_watching, |_| false, random, now);
    ask(Part::Configuration).or_else(|| ask(Part::Rest))
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
    let members = registered(300);
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
        let is_near = |host: &_| *host == near;
        asked.extend(roll.ahead(Part::Rest, own(5), false, is_near, step as usize, now));
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

/// Guards against servers that leave and are heard of only after a large configuration.
#[test]
fn the_rest_is_asked_for_while_a_configuration_comes() {
    let mut roll = Roll::default();
    let mut news = digest("r1", 6);
    news.versions.servers = 2;
    roll.heard(&news, at(1), START, PATIENCE);
    let mut ask = |part| roll.ahead(part, own(5), false, |_| false, 0, START);
    assert_eq!(ask(Part::Configuration), Some(at(1)));
    assert_eq!(ask(Part::Rest), Some(at(1)));
}

/// Guards against rows that are gone and stay with a router that nobody tells of it.
#[test]
fn a_router_that_holds_other_rows_is_asked_for_all() {
    let mut roll = Roll::default();
    let ms = Duration::from_millis;
    roll.heard(&digest("r1", 5).with_sum(7), at(1), START, PATIENCE);
    assert_eq!(roll.differing(own(5), 7, START), None, "the same rows");
    assert_eq!(roll.differing(own(5), 8, START), None, "it may be told yet");
    assert_eq!(roll.differing(own(5), 8, START + ms(500)), Some(at(1)));
    assert_eq!(
        roll.differing(own(5), 8, START + ms(600)),
        None,
        "once only"
    );
    assert_eq!(
        roll.differing(own(6), 8, START + ms(2000)),
        None,
        "it is behind"
    );
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
            outcomes: OutcomeCounts {
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
    let report = ReportEncoder::default().next(&digest_loads(&loads), START);
    let frame = Frame::Digest(digest.with_loads(report, Vec::new()));
    let bytes = frame.encode().expect("it fits");
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// A router is replaced by another. What the new one tells must not count as the
/// old one's, whose place in the list it may have.
#[test]
fn routers_are_found_by_their_tags() {
    let mut directory = Directory::default();
    let before = Arc::new(registered(3));
    let after = Arc::new(registered(5).split_off(2));
    let mut found = |members, name: &str| {
        let member = directory.find(members, Tag::new(&host(name)));
        member.map(|member| member.host.to_string())
    };
    assert_eq!(found(&before, "r0").as_deref(), Some("r0"));
    assert_eq!(found(&before, "r4"), None);
    assert_eq!(found(&after, "r4").as_deref(), Some("r4"));
    assert_eq!(found(&after, "r0"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(2000) })]

    /// Bytes from the network are anything at all.
    #[test]
    fn any_bytes_are_refused_or_read(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        drop(Frame::decode(&bytes));
    }
}
