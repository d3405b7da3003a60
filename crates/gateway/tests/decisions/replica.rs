//! Copies of stored rows.

use bytes::Bytes;
use gateway::{
    replica::Replica,
    source::{Batch, Row},
};

fn row(key: &str, version: u64, value: Option<&'static str>) -> Row {
    Row {
        key: String::from(key),
        version,
        value: value.map(|text| Bytes::from(text).into()),
    }
}

fn batch(rows: Vec<Row>, version: u64, is_snapshot: bool) -> Batch {
    Batch {
        rows,
        version,
        is_snapshot,
    }
}

/// A read of the store is stale, or a peer passes on what it knew a while ago.
/// A configuration that was in force comes back, and a key that was taken away
/// works again.
#[test]
fn an_older_row_never_replaces_a_newer_one() {
    let mut replica = Replica::default();
    replica.merge(&batch(vec![row("config", 7, Some("new"))], 7, false));
    let stale = batch(vec![row("config", 5, Some("old"))], 9, true);
    assert_eq!(replica.merge(&stale), []);
    assert_eq!(replica.rows().next().unwrap().version, 7);
}

/// The history is gone, so a change that was missed shows only by the absence
/// of its row in a whole read.
#[test]
fn a_row_missing_from_a_snapshot_is_removed() {
    let mut replica = Replica::default();
    let rows = vec![row("a", 1, Some("x")), row("b", 2, Some("y"))];
    replica.merge(&batch(rows, 2, true));
    let changed = replica.merge(&batch(vec![row("b", 2, Some("y"))], 9, true));
    assert_eq!(changed, [row("a", 9, None)]);
}

/// Guards against routers that ask others for ever for a removal that they know of by a whole read.
#[test]
fn a_removal_learned_from_a_snapshot_is_not_fetched_again() {
    let mut watcher = Replica::default();
    let mut reader = Replica::default();
    for replica in [&mut watcher, &mut reader] {
        replica.merge(&batch(vec![row("a", 1, Some("x"))], 1, true));
    }
    watcher.merge(&batch(vec![row("a", 3, None)], 3, false));
    reader.merge(&batch(Vec::new(), 4, true));
    reader.merge_relayed(&watcher.since(reader.newest()));
    assert!(reader.newest() >= watcher.newest(), "it would ask again");
    watcher.merge_relayed(&reader.since(watcher.newest()));
    assert_eq!(watcher.newest(), reader.newest(), "nor is the other behind");
}

/// The same read, but stale: it was made before the row was written.
#[test]
fn a_row_newer_than_a_snapshot_is_kept() {
    let mut replica = Replica::default();
    replica.merge(&batch(vec![row("a", 8, Some("x"))], 8, false));
    assert_eq!(replica.merge(&batch(Vec::new(), 6, true)), []);
    assert_eq!(replica.rows().count(), 1);
}

#[test]
fn changes_are_relayed_with_tombstones() {
    let mut replica = Replica::default();
    let rows = vec![row("a", 1, Some("x")), row("b", 2, Some("y"))];
    replica.merge(&batch(rows, 2, false));
    replica.merge(&batch(vec![row("a", 3, None)], 3, false));
    let mut other = Replica::default();
    other.merge(&batch(vec![row("a", 1, Some("x"))], 1, false));
    let changed = other.merge_relayed(&replica.since(other.newest()));
    assert_eq!(changed, [row("b", 2, Some("y")), row("a", 3, None)]);
    assert_eq!(other.newest(), 3);
}

/// Guards against servers that left and come back by what a router that is behind tells one that starts.
#[test]
fn a_row_missing_from_a_snapshot_is_not_restored_by_a_peer() {
    let mut behind = Replica::default();
    behind.merge(&batch(
        vec![row("a", 1, Some("x")), row("b", 2, Some("y"))],
        2,
        true,
    ));
    let mut restarted = Replica::default();
    restarted.merge(&batch(vec![row("b", 2, Some("y"))], 5, true));
    assert_eq!(restarted.merge_relayed(&behind.since(0)), []);
    let keys: Vec<_> = restarted.rows().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["b"]);
}

/// Guards against servers that left and stay with a router that is told the rest by one that started.
#[test]
fn a_restarted_router_relays_removals() {
    let mut behind = Replica::default();
    behind.merge(&batch(
        vec![row("a", 1, Some("x")), row("b", 2, Some("y"))],
        2,
        true,
    ));
    let mut restarted = Replica::default();
    restarted.merge(&batch(
        vec![row("b", 2, Some("y")), row("c", 4, Some("z"))],
        5,
        true,
    ));
    behind.merge_relayed(&restarted.since(behind.newest()));
    let keys: Vec<_> = behind.rows().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["b", "c"]);
}

/// Guards against whole answers to routers that lack a few changes.
#[test]
fn changes_after_a_snapshot_are_relayed_alone() {
    let mut watcher = Replica::default();
    watcher.merge(&batch(vec![row("a", 1, Some("x"))], 2, true));
    watcher.merge(&batch(vec![row("b", 3, Some("y"))], 3, false));
    let relayed = watcher.since(2);
    assert_eq!(relayed.rows, [row("b", 3, Some("y"))]);
    assert!(!relayed.is_snapshot);
}
