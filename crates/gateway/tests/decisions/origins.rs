//! The versions that began streams, and the routers that keep them.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use gateway::{
    origins::{self, Answer, History, Key, Lease, Lookups, Record, Renewals, Table},
    peers::Frame,
    service_versions::{self, Versions},
    source::{Member, Topic},
    staleness::Staleness,
};
use tokio::sync::oneshot;
use units::{backend, pool, workspace};
use wire::seal::Tag;
use yare::parameterized;

use crate::world::{START, host};

const SECOND: Duration = Duration::from_secs(1);

fn version(name: &str) -> backend::Version {
    name.parse().expect("a valid version")
}

fn pool_id() -> pool::Id {
    "llm".parse().expect("a valid name")
}

fn record(key: u64, name: &str) -> Record {
    Record {
        key: Key(key),
        version: version(name),
    }
}

/// Routers in zones in turn.
fn members(count: usize, zones: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        host: host(&format!("r{index}")),
        zone: format!("z{}", index % zones).parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        tunnels: None,
    };
    (0..count).map(member).collect()
}

fn names<'a>(members: impl IntoIterator<Item = &'a Member>) -> BTreeSet<&'a str> {
    members
        .into_iter()
        .map(|member| member.host.as_str())
        .collect()
}

/// Guards against a version that is taken for the one that began a stream under the same id.
#[test]
fn an_id_under_which_two_versions_began_is_ambiguous() {
    let mut table = Table::default();
    table.insert(&record(1, "v1"), START);
    table.insert(&record(1, "v1"), START);
    assert_eq!(table.find(Key(1), START), Answer::Version(version("v1")));
    table.insert(&record(1, "v2"), START);
    table.insert(&record(1, "v1"), START);
    assert_eq!(table.find(Key(1), START), Answer::Ambiguous);
    assert_eq!(table.find(Key(2), START), Answer::Unknown);
}

/// Guards against records that outlive their use, and against those of a chain of attempts that
/// end with the first one.
#[test]
fn a_record_is_kept_for_its_time_after_the_last_renewal() {
    let mut table = Table::default();
    table.insert(&record(1, "v1"), START);
    table.insert(&record(2, "v2"), START);
    let renewed = START + origins::RETENTION - SECOND;
    table.insert(&record(1, "v1"), renewed);
    let later = START + origins::RETENTION;
    assert_eq!(table.find(Key(2), later), Answer::Unknown);
    assert_eq!(table.find(Key(1), later), Answer::Version(version("v1")));
    table.expire(later);
    assert_eq!(table.len(), 1);
    table.expire(renewed + origins::RETENTION);
    assert!(table.is_empty());
}

/// Guards against a stream of a route with a long timeout that is not taken up, because its record has
/// expired while it went on.
#[test]
fn a_record_outlasts_a_long_stream() {
    let (mut renewals, mut table) = (Renewals::default(), Table::default());
    let lease = Arc::new(Lease);
    table.insert(&record(1, "v1"), START);
    renewals.began(pool_id(), record(1, "v1"), Arc::downgrade(&lease), START);
    for second in 1..300 {
        let now = START + SECOND * second;
        for record in renewals.due(now) {
            table.insert(&record, now);
        }
        let known = table.find(Key(1), now);
        assert_eq!(known, Answer::Version(version("v1")), "after {second} s");
    }
    drop(lease);
    assert_eq!(renewals.due(START + SECOND * 600), Vec::new());
}

/// Guards against memory that grows with the rate of streams.
#[test]
fn the_number_of_records_is_bounded() {
    let mut table = Table::default();
    for key in 0..200_000 {
        table.insert(&record(key, "v1"), START);
    }
    assert!(table.len() <= 65_536);
    assert_eq!(table.find(Key(0), START), Answer::Unknown);
    let newest = table.find(Key(199_999), START);
    assert_eq!(newest, Answer::Version(version("v1")));
}

/// Guards against ids that tell one workspace, or one service, about the streams of another.
#[test]
fn streams_of_other_workspaces_and_services_have_other_keys() {
    let workspaces: [workspace::Id; 2] = ["a", "b"].map(|name| name.parse().expect("a name"));
    let pools: [pool::Id; 2] = ["llm", "llm2"].map(|name| name.parse().expect("a name"));
    let mut keys = BTreeSet::new();
    for workspace in &workspaces {
        for pool in &pools {
            for id in ["x", "y", "2x"] {
                keys.insert(Key::new(workspace, pool, id));
            }
        }
    }
    assert_eq!(keys.len(), 12);
}

#[parameterized(
    a_single_router = { 1, 1, 1 },
    one_zone = { 6, 1, 1 },
    two_zones = { 6, 2, 2 },
    three_zones = { 6, 3, 3 },
    a_large_fleet = { 300, 3, 3 },
    more_zones_than_copies = { 300, 22, 4 },
)]
fn keepers_are_spread_over_zones(routers: usize, zones: usize, expected: usize) {
    let members = members(routers, zones);
    for key in 0..50 {
        let keepers = origins::keepers(&members, Key(key), origins::COPIES);
        assert_eq!(keepers.len(), origins::COPIES.min(routers));
        assert_eq!(names(keepers.iter().copied()).len(), keepers.len());
        let zones: BTreeSet<_> = keepers.iter().map(|member| &member.zone).collect();
        assert_eq!(zones.len(), expected);
    }
}

/// Guards against records that nobody finds after routers have joined or left.
#[test]
fn a_change_of_routers_leaves_keepers_that_are_asked() {
    let before = members(85, 3);
    for key in 0..200 {
        let keepers = origins::keepers(&before, Key(key), origins::COPIES);
        for joined in 0..6 {
            let mut after = before.clone();
            after.extend(members(86 + joined, 3).into_iter().skip(85));
            after.remove(usize::try_from(key).expect("small") % 85);
            let asked = origins::keepers(&after, Key(key), origins::ASKED);
            let asked = names(asked.iter().copied());
            let found = names(keepers.iter().copied()).intersection(&asked).count();
            assert!(found >= 1, "stream {key}, {joined} joined: {found}");
        }
    }
}

/// Guards against load on few keepers.
#[test]
fn streams_are_spread_over_all_routers() {
    let members = members(85, 3);
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..17_000 {
        for keeper in origins::keepers(&members, Key(key), origins::COPIES) {
            *counts.entry(keeper.host.clone()).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.len(), 85);
    let most = counts.values().max().copied().unwrap_or_default();
    // Zones have 28 or 29 routers, and the hash deviates by chance.
    assert!(most <= 2 * 17_000 * origins::COPIES / 85, "{most}");
}

fn lookup(asked: usize) -> (Lookups, oneshot::Receiver<Answer>, Vec<Tag>) {
    let tags: Vec<Tag> = (1..=asked as u64).map(Tag).collect();
    let mut lookups = Lookups::default();
    let (reply, answer) = oneshot::channel();
    lookups.start(Key(1), tags.iter().copied(), reply);
    (lookups, answer, tags)
}

/// Guards against a stream that is refused because one router does not know it.
#[test]
fn the_first_router_that_knows_a_stream_answers() {
    let (mut lookups, mut answer, tags) = lookup(3);
    lookups.answer(Key(1), tags[0], &Answer::Unknown);
    lookups.answer(Key(1), tags[1], &Answer::Version(version("v1")));
    assert_eq!(answer.try_recv(), Ok(Answer::Version(version("v1"))));
    assert!(lookups.is_empty());
}

/// Guards against silence, or the answer of a router that was not asked, that counts as an answer.
#[test]
fn a_stream_is_unknown_only_if_all_routers_say_so() {
    let (mut lookups, mut answer, tags) = lookup(2);
    lookups.answer(Key(1), tags[0], &Answer::Unknown);
    lookups.answer(Key(1), tags[0], &Answer::Unknown);
    lookups.answer(Key(1), Tag(99), &Answer::Version(version("v2")));
    assert_eq!(answer.try_recv(), Err(oneshot::error::TryRecvError::Empty));
    lookups.answer(Key(1), tags[1], &Answer::Unknown);
    assert_eq!(answer.try_recv(), Ok(Answer::Unknown));
}

/// Guards against a wait of a router that has no other to ask.
#[test]
fn without_other_routers_a_stream_is_unknown_at_once() {
    let (_, mut answer, _) = lookup(0);
    assert_eq!(answer.try_recv(), Ok(Answer::Unknown));
}

/// Guards against questions that stay when their callers have left.
#[test]
fn questions_of_callers_that_left_are_forgotten() {
    let (mut lookups, answer, _) = lookup(2);
    lookups.prune();
    assert_eq!(lookups.len(), 1);
    drop(answer);
    lookups.prune();
    assert!(lookups.is_empty());
}

fn observe(history: &mut History, versions: &[&str], at: units::time::Instant) {
    let pool = pool_id();
    let versions: Vec<_> = versions.iter().map(|name| version(name)).collect();
    let servers = versions.iter().map(|version| origins::Entry {
        pool: &pool,
        version,
    });
    history.observe(servers, at);
}

/// Guards against one version taken for the only one while streams of another may come back.
#[test]
fn a_version_is_the_only_one_after_the_others_have_been_gone_for_long() {
    let mut history = History::default();
    assert_eq!(history.only_version(&pool_id(), SECOND, START), None);
    observe(&mut history, &["v1"], START);
    assert_eq!(
        history.only_version(&pool_id(), SECOND, START),
        Some(&version("v1"))
    );
    observe(&mut history, &["v1", "v2"], START + SECOND);
    observe(&mut history, &["v2"], START + 10 * SECOND);
    observe(&mut history, &["v2"], START + 12 * SECOND);
    let span = 5 * SECOND;
    let only = |at| history.only_version(&pool_id(), span, at).cloned();
    assert_eq!(only(START + 12 * SECOND), None);
    assert_eq!(only(START + 15 * SECOND), Some(version("v2")));
}

/// Guards against versions that came and went while a router saw nothing.
#[test]
fn a_router_that_missed_changes_does_not_know_the_only_version() {
    let ages = Staleness::default();
    let span = 10 * SECOND;
    for second in 0..20 {
        ages.confirm(Topic::Servers, START + second * SECOND);
    }
    assert!(ages.covers_servers(span, START + 19 * SECOND));
    assert!(!ages.covers_servers(span, START + 30 * SECOND));
    ages.confirm(Topic::Servers, START + 30 * SECOND);
    assert!(!ages.covers_servers(span, START + 30 * SECOND));
    for second in 30..=41 {
        ages.confirm(Topic::Servers, START + second * SECOND);
    }
    assert!(ages.covers_servers(span, START + 41 * SECOND));
}

/// Guards against datagrams that grow with the names of versions beyond what was counted.
#[parameterized(
    record_frame = { Frame::Origins(vec![record(u64::MAX, "v1.2")]), 17 },
    query = { Frame::OriginQuery(Key(u64::MAX)), 11 },
    answer = { Frame::OriginAnswer(Key(u64::MAX), Answer::Version(version("v1.2"))), 17 },
    unknown = { Frame::OriginAnswer(Key(u64::MAX), Answer::Unknown), 12 },
)]
fn frames_about_streams_are_small(frame: Frame, length: usize) {
    let bytes = frame.encode().expect("the frame fits one datagram");
    assert_eq!(bytes.len(), length);
    assert_eq!(Frame::decode(&bytes), Ok(frame));
}

/// Guards against a frame that takes the number of an older one.
#[test]
fn the_frames_of_streams_are_unknown_to_the_previous_version() {
    let query = Frame::OriginQuery(Key(1)).encode().expect("a frame");
    assert_eq!(query, [6, 1]);
    let records = Frame::Origins(Vec::new()).encode().expect("a frame");
    assert_eq!(records, [5, 0]);
}

fn recorded(versions: &[&str]) -> Versions {
    let versions = versions.iter().map(|name| version(name)).collect();
    Versions::from([(pool_id(), versions)])
}

/// Guards against a version that a router which has just started takes for the only one.
#[parameterized(
    one = { &["v1"], &["v1"], Some("v1") },
    nothing_recorded = { &[], &["v1"], None },
    an_earlier_one = { &["v1", "v2"], &["v2"], None },
    a_newer_one = { &["v1"], &["v1", "v2"], None },
    another_one = { &["v1"], &["v2"], None },
    no_server_left = { &["v1"], &[], Some("v1") },
)]
fn the_only_version_is_that_on_record_and_in_sight(
    on_record: &[&str],
    in_sight: &[&str],
    only: Option<&str>,
) {
    let mut history = History::default();
    history.set_recorded(recorded(on_record));
    observe(&mut history, in_sight, START);
    let found = history.only_recorded_version(&pool_id());
    assert_eq!(found, only.map(version).as_ref());
}

/// Guards against a record that lacks a version which serves, or names one for ever, or loses one that a
/// router has not looked for long enough.
#[test]
fn the_record_follows_the_versions_that_serve() {
    let backlog = |serving: &[&str], seen: Option<&[&str]>, on_record: &[&str]| {
        let seen = seen.map(recorded);
        let serving = serving.iter().map(|name| service_versions::Entry {
            pool: pool_id(),
            version: version(name),
        });
        let backlog = service_versions::Backlog::new(
            serving.collect(),
            seen.as_ref(),
            &recorded(on_record),
            Vec::new(),
        );
        let names = |entries: Vec<service_versions::Entry>| {
            let versions = entries.into_iter().map(|entry| entry.version.to_string());
            versions.collect::<Vec<_>>()
        };
        (names(backlog.unrecorded), names(backlog.outdated))
    };
    let list = |names: &[&str]| {
        names
            .iter()
            .map(|name| String::from(*name))
            .collect::<Vec<_>>()
    };
    assert_eq!(backlog(&["v1"], None, &[]), (list(&["v1"]), list(&[])));
    assert_eq!(backlog(&["v2"], None, &["v1"]), (list(&["v2"]), list(&[])));
    let both = &["v1", "v2"];
    assert_eq!(backlog(&["v2"], None, both), (list(&[]), list(&[])));
    assert_eq!(backlog(&["v2"], Some(both), both), (list(&[]), list(&[])));
    let seen = Some(&["v2"][..]);
    assert_eq!(backlog(&["v2"], seen, both), (list(&[]), list(&["v1"])));
}
