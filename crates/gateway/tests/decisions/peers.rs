//! Gossip between routers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use gateway::{
    dispatch,
    load::ReportEncoder,
    metrics::{Distance, Metrics},
    outlier::OutcomeCounts,
    peers::{
        Digest, Directory, Frame, Part, Table, Versions, WATCHERS, Watcher, Watchers,
        gossip_targets, loads as digest_loads,
    },
};
use proptest::prelude::*;
use units::{availability, host, time::Instant};
use wire::seal::Tag;
use yare::parameterized;

use crate::world::{START, host, members, registered, server};

const PEER_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Selects a peer to fetch from, where no peer is in the same zone.
fn select_ahead(
    table: &mut Table,
    own: Versions,
    is_watching: bool,
    random: usize,
    now: Instant,
) -> Option<SocketAddr> {
    let mut select = |part| table.select_ahead(part, own, is_watching, |_| false, random, now);
    select(Part::Configuration).or_else(|| select(Part::Rest))
}

/// A hundred routers of a zone learn at once that another zone holds a change of servers. If
/// all asked there, the change would cross between the zones a hundred times. A zone of
/// which no router holds it must not wait for long.
#[test]
fn few_routers_of_a_zone_fetch_changes_from_another_zone() {
    let is_same_zone = |host: &host::Id| host.as_str().starts_with('a');
    let newer = Versions {
        servers: 2,
        ..own(1)
    };
    let remote = Digest::new(host("b1"), newer, true, Vec::new(), Vec::new());
    let asked_within = |limit: Duration| {
        let routers = (0..100).filter(|router| {
            let mut table = Table::default();
            table.record(&digest("a1", 1), at(1), START, PEER_TIMEOUT);
            table.record(&remote, at(2), START, PEER_TIMEOUT);
            let mut select = |now| {
                let random = router * 7;
                table.select_ahead(Part::Rest, own(1), false, is_same_zone, random, now)
            };
            let first = select(START);
            first.or_else(|| select(START + limit)).is_some()
        });
        routers.count()
    };
    assert_eq!(asked_within(Duration::from_millis(90)), 0);
    let soon = asked_within(Duration::from_millis(150));
    assert!((1..=20).contains(&soon), "{soon}");
    assert_eq!(asked_within(Duration::from_millis(500)), 100);
}

/// Bytes between zones are expensive. Without counts by kind, an operator cannot tell what
/// they are.
#[test]
fn bytes_between_routers_are_counted_by_kind_and_zone() {
    let zone = |name: &str| name.parse::<availability::Zone>().expect("a zone");
    let (own, other) = (zone("a"), zone("b"));
    let metrics = Metrics::default();
    let near = Distance::between(Some(&own), Some(&own));
    let far = Distance::between(Some(&own), Some(&other));
    let unknown = Distance::between(Some(&own), None);
    metrics.datagram_sent("digest", near, 100);
    metrics.datagram_sent("digest", far, 20);
    metrics.peer_bytes("rows_received", unknown, 3);
    let text = metrics.text();
    for line in [
        "weir_peer_bytes_total{kind=\"digest\",zone=\"own\"} 100",
        "weir_peer_bytes_total{kind=\"digest\",zone=\"other\"} 20",
        "weir_peer_bytes_total{kind=\"rows_received\",zone=\"other\"} 3",
    ] {
        assert!(text.contains(line), "{text}");
    }
}

/// The only router of a zone has nobody to wait for.
#[test]
fn a_router_that_is_alone_in_its_zone_asks_other_zones_at_once() {
    let newer = Versions {
        servers: 2,
        ..own(1)
    };
    let mut table = Table::default();
    let remote = Digest::new(host("b1"), newer, true, Vec::new(), Vec::new());
    table.record(&remote, at(2), START, PEER_TIMEOUT);
    let selected = table.select_ahead(Part::Rest, own(1), false, |_| false, 3, START);
    assert_eq!(selected, Some(at(2)));
}

/// Guards against a router that goes on accepting a revoked key because the store answers
/// other routers but not this one.
#[test]
fn a_router_that_is_behind_fetches_from_one_that_is_ahead() {
    let mut table = Table::default();
    table.record(&digest("r1", 5), at(1), START, PEER_TIMEOUT);
    assert_eq!(table.newest_configuration(), 5);
    table.record(&digest("r2", 6), at(2), START, PEER_TIMEOUT);
    assert_eq!(select_ahead(&mut table, own(5), true, 0, START), None);
    let later = START + Duration::from_millis(200);
    assert_eq!(
        select_ahead(&mut table, own(5), true, 0, later),
        Some(at(2))
    );
    let at_once = later + Duration::from_millis(10);
    assert_eq!(
        select_ahead(&mut table, own(5), true, 0, at_once),
        None,
        "the minimum interval has not passed"
    );
}

/// Guards against needless requests: the store notifies all watchers within a few
/// milliseconds of each other, so being behind for a moment is no reason to fetch.
#[test]
fn a_router_that_is_briefly_behind_does_not_fetch() {
    let mut table = Table::default();
    table.record(&digest("r1", 6), at(1), START, PEER_TIMEOUT);
    assert_eq!(select_ahead(&mut table, own(5), true, 0, START), None);
    assert_eq!(
        select_ahead(
            &mut table,
            own(6),
            true,
            0,
            START + Duration::from_millis(100)
        ),
        None
    );
    assert_eq!(
        select_ahead(
            &mut table,
            own(5),
            true,
            0,
            START + Duration::from_millis(200)
        ),
        None
    );
}

/// Guards against repeated requests to a dead peer that keep a router from fetching from
/// others that hold the update by now.
#[test]
fn an_unresponsive_peer_is_not_selected_again() {
    let mut table = Table::default();
    table.record(&digest("r1", 6), at(1), START, PEER_TIMEOUT);
    table.record(&digest("r2", 6), at(2), START, PEER_TIMEOUT);
    let first = select_ahead(&mut table, own(5), false, 0, START).expect("a peer that is ahead");
    table.mark_failed(first);
    let later = START + Duration::from_millis(100);
    for random in 0..4 {
        let later = later + Duration::from_millis(100 * random as u64);
        let next =
            select_ahead(&mut table, own(5), false, random, later).expect("a peer that is ahead");
        assert_ne!(next, first);
    }
}

/// Guards against an overloaded link: a change reaches all routers at once, and if all
/// fetched it from the same peer, its link would carry a large configuration once for each
/// of them.
#[test]
fn fetches_are_spread_over_all_peers_ahead() {
    let mut table = Table::default();
    for index in 0..5 {
        table.record(
            &digest(&format!("r{index}"), 6),
            at(index),
            START,
            PEER_TIMEOUT,
        );
    }
    let selected = (0..50).map(|random| {
        let now = START + Duration::from_secs(random);
        select_ahead(&mut table, own(5), false, random as usize, now)
    });
    let selected: BTreeSet<_> = selected.flatten().collect();
    assert_eq!(selected.len(), 5);
}

/// Guards against uneven gossip: 300 routers start at the same moment and contact eight
/// peers in each round. If all contacted the same eight, these would be overloaded, and the
/// others would learn of a new configuration only after seconds.
#[test]
fn each_router_receives_equally_many_digests_in_each_round() {
    let members = registered(300);
    for round in 0..3 {
        let mut received: BTreeMap<&str, u32> = BTreeMap::new();
        for member in &members {
            for target in gossip_targets(&members, &member.host, 8 * round, 8) {
                assert_ne!(target.host, member.host);
                *received.entry(target.host.as_str()).or_default() += 1;
            }
        }
        assert_eq!(received.len(), 300);
        assert!(received.values().all(|&count| count == 8), "round {round}");
    }
    let rounds = 0..300_usize.div_ceil(8);
    let targets = rounds.flat_map(|round| gossip_targets(&members, &members[7].host, 8 * round, 8));
    let targets: BTreeSet<&str> = targets.map(|member| member.host.as_str()).collect();
    assert_eq!(targets.len(), 299, "every peer is contacted");
}

/// Guards against control traffic that exceeds request traffic: during a rolling
/// replacement of servers each change would make every router fetch it at once and from
/// other zones.
#[test]
fn a_series_of_changes_is_fetched_in_batches_from_the_same_zone() {
    let changed = |servers| {
        let mut digest = digest("r1", 5);
        digest.versions.servers = servers;
        digest
    };
    let mut table = Table::default();
    let mut selected = Vec::new();
    for step in 0..40 {
        let now = START + Duration::from_millis(25 * step);
        let other_zone = Digest {
            host: host("r2"),
            ..changed(2 + step)
        };
        table.record(&other_zone, at(2), now, PEER_TIMEOUT);
        table.record(&changed(2 + step), at(1), now, PEER_TIMEOUT);
        let same_zone_host = host("r1");
        let is_same_zone = |host: &_| *host == same_zone_host;
        selected.extend(table.select_ahead(
            Part::Rest,
            own(5),
            false,
            is_same_zone,
            step as usize,
            now,
        ));
    }
    assert_eq!(
        selected,
        [at(1); 4],
        "four requests in a second, all within the zone"
    );
}

/// Guards against a revoked key that is accepted for a quarter of a second longer because
/// the configuration is fetched with the next batch of server changes.
#[test]
fn a_configuration_is_not_batched_with_a_series() {
    let mut table = Table::default();
    let mut servers = digest("r1", 5);
    servers.versions.servers = 2;
    table.record(&servers, at(1), START, PEER_TIMEOUT);
    assert!(select_ahead(&mut table, own(5), false, 0, START).is_some());
    let next = START + Duration::from_millis(70);
    assert_eq!(select_ahead(&mut table, own(5), false, 0, next), None);
    table.record(&digest("r1", 6), at(1), next, PEER_TIMEOUT);
    assert!(select_ahead(&mut table, own(5), false, 0, next).is_some());
}

/// Guards against removals of servers that are delayed by the transfer of a large
/// configuration.
#[test]
fn the_rest_is_fetched_during_a_configuration_transfer() {
    let mut table = Table::default();
    let mut update = digest("r1", 6);
    update.versions.servers = 2;
    table.record(&update, at(1), START, PEER_TIMEOUT);
    let mut select = |part| table.select_ahead(part, own(5), false, |_| false, 0, START);
    assert_eq!(select(Part::Configuration), Some(at(1)));
    assert_eq!(select(Part::Rest), Some(at(1)));
}

/// Guards against removed rows that remain in a replica because their removal has no
/// version that shows the difference.
#[test]
fn a_diverged_peer_is_selected_for_a_full_fetch() {
    let mut table = Table::default();
    let ms = Duration::from_millis;
    table.record(
        &digest("r1", 5).with_checksum(7),
        at(1),
        START,
        PEER_TIMEOUT,
    );
    assert_eq!(
        table.select_diverged(own(5), 7, START),
        None,
        "the checksums are equal"
    );
    assert_eq!(
        table.select_diverged(own(5), 8, START),
        None,
        "an update may be on its way"
    );
    assert_eq!(
        table.select_diverged(own(5), 8, START + ms(500)),
        Some(at(1))
    );
    assert_eq!(
        table.select_diverged(own(5), 8, START + ms(600)),
        None,
        "the grace period starts again"
    );
    assert_eq!(
        table.select_diverged(own(6), 8, START + ms(2000)),
        None,
        "the peer is behind"
    );
}

/// Guards against a dead router whose last requests are counted forever.
#[test]
fn a_silent_peer_expires() {
    let mut table = Table::default();
    assert!(table.record(&digest("r1", 5), at(1), START, PEER_TIMEOUT));
    assert_eq!(
        table.remove_expired(START + PEER_TIMEOUT - Duration::from_millis(1)),
        []
    );
    assert_eq!(table.remove_expired(START + PEER_TIMEOUT), [host("r1")]);
    assert!(table.is_empty());
}

/// A fleet in which every router receives the watchers of all others in each round.
struct Gossip {
    hosts: Vec<host::Id>,
    watchers: Vec<Watchers>,
    watching: Vec<bool>,
    now: Instant,
}

impl Gossip {
    fn new(count: usize) -> Self {
        let hosts = members(count);
        Self {
            watchers: hosts.iter().map(|own| Watchers::new(own, 1)).collect(),
            watching: vec![false; count],
            now: START,
            hosts,
        }
    }

    /// Runs one round in which only the routers of `up` take part.
    fn round(&mut self, up: &[usize], is_store_reachable: bool) {
        self.now = self.now + Duration::from_millis(200);
        let heard: BTreeSet<_> = up.iter().map(|&index| &self.hosts[index]).collect();
        let is_heard = |host: &host::Id| heard.contains(host);
        for &index in up {
            self.watching[index] =
                self.watchers[index].should_watch(&self.hosts, is_heard, self.now);
        }
        let advertised: Vec<_> = up
            .iter()
            .map(|&index| self.watchers[index].advertise(is_store_reachable, self.now))
            .collect();
        for &index in up {
            for watchers in &advertised {
                self.watchers[index].receive(watchers, self.now);
            }
        }
    }

    fn watching(&self, up: &[usize]) -> usize {
        up.iter().filter(|&&index| self.watching[index]).count()
    }
}

/// Guards against store load that grows with the fleet: each watcher is notified of every
/// change, and each of these calls has a cost. With a thousand watchers the store would do
/// nothing else.
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

/// Guards against lost updates after all watchers have been killed at once and before
/// others take over.
#[test]
fn other_routers_take_over_when_watchers_die() {
    let mut gossip = Gossip::new(85);
    let indices: Vec<_> = (0..85).collect();
    for _ in 0..60 {
        gossip.round(&indices, true);
    }
    let remaining: Vec<_> = indices
        .into_iter()
        .filter(|&index| !gossip.watching[index])
        .collect();
    for _ in 0..10 {
        gossip.round(&remaining, true);
    }
    let watching = gossip.watching(&remaining);
    assert!(
        (WATCHERS..=3 * WATCHERS).contains(&watching),
        "{watching} after two seconds"
    );
    for _ in 0..60 {
        gossip.round(&remaining, true);
    }
    assert_eq!(gossip.watching(&remaining), WATCHERS);
}

/// Guards against routers that do not learn of changes for seconds after a start, because they leave
/// watching to registered routers that are lost.
#[parameterized(
    none = { 0 },
    two_hundred = { 200 },
    two_thousand = { 2000 },
)]
fn routers_watch_soon_beside_lost_ones(lost: usize) {
    /// Of 200 ms; a changed configuration has to be in force within 2 s.
    const MAX_ROUNDS: usize = 8;
    let mut gossip = Gossip::new(lost + 3);
    // The last in the order of takeovers.
    let mut by_hash: Vec<usize> = (0..lost + 3).collect();
    by_hash.sort_by_key(|&index| Watcher::hash(&gossip.hosts[index]));
    let up = by_hash.split_off(lost);
    for _ in 0..MAX_ROUNDS {
        gossip.round(&up, true);
    }
    assert_eq!(gossip.watching(&up), 3);
}

/// Guards against a thundering herd: if all routers polled a store that is unavailable, all
/// would call it at the moment of its return.
#[test]
fn few_routers_poll_an_unavailable_store() {
    let mut gossip = Gossip::new(85);
    let up: Vec<_> = (0..85).collect();
    for _ in 0..100 {
        gossip.round(&up, false);
    }
    let polling = gossip.watching(&up);
    assert!((WATCHERS..=24).contains(&polling), "{polling}");
}

#[test]
fn a_digest_of_a_large_fleet_fits_one_datagram() {
    let watchers = (0..12).map(|host| Watcher {
        host: u32::MAX - host,
        heartbeat: u64::MAX,
        is_store_reachable: true,
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
    let (named, rest) = digest_loads(&loads);
    assert_eq!(named.len() + rest.len(), loads.len());
    let report = ReportEncoder::default().next(&named, START);
    let frame = Frame::Digest(digest.with_loads(report, Vec::new()));
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// Guards against datagrams of a replacement router that are attributed to the router whose
/// position in the member list it has taken.
#[test]
fn routers_are_found_by_their_tags() {
    let mut directory = Directory::default();
    let before = Arc::new(registered(3));
    let after = Arc::new(registered(5).split_off(2));
    let mut find = |members, name: &str| {
        let member = directory.find(members, Tag::new(&host(name)));
        member.map(|member| member.host.to_string())
    };
    assert_eq!(find(&before, "r0").as_deref(), Some("r0"));
    assert_eq!(find(&before, "r4"), None);
    assert_eq!(find(&after, "r4").as_deref(), Some("r4"));
    assert_eq!(find(&after, "r0"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::with_cases(2000) })]

    /// The network may deliver arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        drop(Frame::decode(&bytes));
    }
}
