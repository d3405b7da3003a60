//! The versions that began streams, as they are kept in the store.

use std::{sync::Arc, time::Duration};

use gateway::{
    journal::{Backlog, Batch, Call, MAX_PENDING, MAX_ROW_RECORDS, MAX_ROWS, Snapshot},
    origins::{self, Answer, Key, Lease, RENEWAL_INTERVAL, RETENTION, Record, Renewals},
    peers::Frame,
    source::Member,
};
use units::{backend, pool};
use yare::parameterized;

use crate::world::{START, host};

const SECOND: Duration = Duration::from_secs(1);

fn version(name: &str) -> backend::Version {
    name.parse().expect("a valid version")
}

fn pool_id(name: &str) -> pool::Id {
    name.parse().expect("a valid name")
}

fn records(keys: std::ops::Range<usize>) -> Vec<Record> {
    let record = |key| Record {
        key: Key(key as u64),
        version: version(if key % 2 == 0 { "v1" } else { "v2" }),
    };
    keys.map(record).collect()
}

fn backlog() -> Backlog {
    Backlog::new(String::from("r1/0/"))
}

/// The keys of the rows that are removed by `START + seconds`, if all calls succeed.
fn removed_by(backlog: &mut Backlog, seconds: u32) -> Vec<String> {
    let now = START + SECOND * seconds;
    let mut removed = Vec::new();
    while let Some(call) = backlog.next(now) {
        backlog.done(&call, now);
        removed.extend(call.outdated);
    }
    removed
}

/// Guards against records that get lost, or another version, on their way through a row.
#[test]
fn a_row_holds_what_was_written() {
    let written = records(0..100);
    let bytes = Batch::new(written.iter()).encode().expect("a value");
    let batch = Batch::decode(&bytes).expect("a batch");
    let mut read: Vec<Record> = batch
        .records()
        .map(|(key, version)| Record {
            key,
            version: version.clone(),
        })
        .collect();
    read.sort_by_key(|record| record.key);
    assert_eq!(read, written);
}

/// Guards against rows that the store refuses because they are too long: 64 KiB in base64.
#[test]
fn the_longest_row_fits_the_store() {
    let written = records(0..MAX_ROW_RECORDS);
    let bytes = Batch::new(written.iter()).encode().expect("a value");
    assert!(bytes.len().div_ceil(3) * 4 <= 65_536, "{}", bytes.len());
}

/// Guards against a row of another writer that ends the task or is taken for records.
#[parameterized(
    empty = { &[] },
    text = { b"{}" },
    cut = { &[1, 2, b'v'] },
    no_end = { &[0xff; 64] },
    longer = { &[0, 0] },
)]
fn a_spoilt_row_is_refused(bytes: &[u8]) {
    assert!(Batch::decode(bytes).is_err());
}

/// Guards against a stream that goes on at one of two versions which began streams under its id.
#[test]
fn an_id_in_rows_of_two_versions_is_ambiguous() {
    let mut snapshot = Snapshot::default();
    for name in ["v1", "v2"] {
        let record = Record {
            key: Key(7),
            version: version(name),
        };
        snapshot.insert(&Batch::new([record].iter()));
        snapshot.insert(&Batch::new(records(0..2).iter()));
    }
    assert_eq!(snapshot.find(Key(7)), Answer::Ambiguous);
    assert_eq!(snapshot.find(Key(1)), Answer::Version(version("v2")));
    assert_eq!(snapshot.find(Key(9)), Answer::Unknown);
}

/// Guards against a call without an answer that is applied late and takes records of a later one away.
#[test]
fn a_call_that_failed_is_repeated_with_all_of_its_records() {
    let mut backlog = backlog();
    backlog.add(records(0..3));
    let failed = backlog.next(START).expect("a call");
    backlog.add(records(3..5));
    let repeated = backlog.next(START).expect("a call");
    assert_eq!(repeated.key, failed.key);
    assert_eq!(repeated.records, records(0..5));
    backlog.done(&repeated, START);
    assert_eq!(backlog.next(START), None);
    backlog.add(records(5..6));
    assert_ne!(backlog.next(START).expect("a call").key, failed.key);
}

/// Guards against memory that grows while the store does not answer.
#[test]
fn the_backlog_is_bounded() {
    let mut backlog = backlog();
    let mut dropped = 0;
    for batch in 0..50 {
        dropped += backlog.add(records(batch * 1000..(batch + 1) * 1000));
    }
    assert_eq!(dropped, 50_000 - MAX_PENDING);
    let mut written = 0;
    while let Some(call) = backlog.next(START) {
        assert!(call.records.len() <= MAX_ROW_RECORDS);
        written += call.records.len();
        backlog.done(&call, START);
    }
    assert_eq!(written, MAX_PENDING);
}

/// Guards against rows that stay in the store for ever, those of processes that ended among them.
#[test]
fn rows_are_removed_when_they_have_expired() {
    let mut backlog = backlog();
    backlog.add(records(0..1));
    let own = backlog.next(START).expect("a call");
    backlog.done(&own, START);
    let foreign: Vec<String> = (0..250).map(|row| format!("r2/1/{row:016x}")).collect();
    let found = [foreign.clone(), vec![own.key.clone()]].concat();
    backlog.found(found, START + SECOND);
    let retention = u32::try_from(RETENTION.as_secs()).expect("a short time");
    assert_eq!(
        removed_by(&mut backlog, retention - 1),
        Vec::<String>::new()
    );
    assert_eq!(removed_by(&mut backlog, retention), [own.key]);
    assert_eq!(removed_by(&mut backlog, retention + 1), foreign);
    assert_eq!(backlog.expires_at(), None);
}

/// Guards against a table that grows with each restart of processes that end before their rows expire.
#[test]
fn too_many_rows_are_removed_at_once() {
    let mut backlog = backlog();
    let foreign: Vec<String> = (0..MAX_ROWS + 150)
        .map(|row| format!("r2/{row:08}"))
        .collect();
    backlog.found(foreign.clone(), START);
    assert_eq!(removed_by(&mut backlog, 0), foreign[..150]);
}

/// Guards against a call with more entries than the store takes.
#[test]
fn a_call_has_at_most_a_hundred_entries() {
    let mut backlog = backlog();
    backlog.found((0..500).map(|row| format!("r2/{row}")).collect(), START);
    backlog.add(records(0..1));
    let now = START + RETENTION;
    let entries = |call: &Call| usize::from(!call.records.is_empty()) + call.outdated.len();
    let call = backlog.next(now).expect("a call");
    assert_eq!(entries(&call), 100);
}

/// Guards against streams that the journal lacks because they began before a second version joined, and
/// against calls to the store for services of one version.
#[test]
fn streams_are_journaled_once_their_service_has_several_versions() {
    let mut renewals = Renewals::default();
    let lease = Arc::new(Lease);
    let [first, second]: [Record; 2] = records(0..2).try_into().expect("two records");
    renewals.began(pool_id("one"), first, Arc::downgrade(&lease), START);
    renewals.began(
        pool_id("two"),
        second.clone(),
        Arc::downgrade(&lease),
        START,
    );
    assert_eq!(renewals.unjournaled(|_| false), Vec::new());
    let has_two = |pool: &pool::Id| *pool == pool_id("two");
    assert_eq!(renewals.unjournaled(has_two), std::slice::from_ref(&second));
    assert_eq!(renewals.unjournaled(has_two), Vec::new());
    // The row expires while the stream goes on.
    assert_eq!(renewals.due(START + RENEWAL_INTERVAL).len(), 2);
    assert_eq!(renewals.unjournaled(has_two), [second]);
    assert!(RENEWAL_INTERVAL < RETENTION);
    drop(lease);
    renewals.due(START + RENEWAL_INTERVAL * 2);
    assert_eq!(renewals.unjournaled(|_| true), Vec::new());
}

/// Guards against a frame that takes the number of an older one.
#[test]
fn the_frame_of_the_journal_is_unknown_to_the_previous_version() {
    let bytes = Frame::Journal(Vec::new()).encode().expect("a frame");
    assert_eq!(bytes, [11, 0]);
}

/// Guards against a zone in which several routers write the journal, or none.
#[test]
fn one_router_of_each_zone_writes_the_journal() {
    let member = |index: usize| Member {
        host: host(&format!("r{index}")),
        zone: format!("z{}", index % 3).parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        tunnels: None,
    };
    let members: Vec<Member> = (0..30).map(member).collect();
    let mut shuffled = members.clone();
    shuffled.rotate_left(7);
    for zone in ["z0", "z1", "z2"] {
        let zone = zone.parse().expect("a valid name");
        let writer = origins::journal_writer(&members, &zone).expect("a writer");
        assert_eq!(writer.zone, zone);
        assert_eq!(origins::journal_writer(&shuffled, &zone), Some(writer));
    }
    let other = "z9".parse().expect("a valid name");
    assert_eq!(origins::journal_writer(&members, &other), None);
}
