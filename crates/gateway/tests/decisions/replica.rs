//! Replicas of stored rows.

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

/// Guards against a replaced configuration, and with it a revoked key, that returns by a
/// stale read of the store or by an old row that a peer relays.
#[test]
fn an_older_row_never_replaces_a_newer_one() {
    let mut replica = Replica::default();
    replica.merge(&batch(vec![row("config", 7, Some("new"))], 7, false));
    let stale = batch(vec![row("config", 5, Some("old"))], 9, true);
    assert_eq!(replica.merge(&stale), []);
    assert_eq!(replica.rows().next().unwrap().version, 7);
}

/// Guards against removed rows that stay: the store has compacted its history, so a missed
/// removal shows only by the absence of the row in a snapshot.
#[test]
fn a_row_missing_from_a_snapshot_is_removed() {
    let mut replica = Replica::default();
    let rows = vec![row("a", 1, Some("x")), row("b", 2, Some("y"))];
    replica.merge(&batch(rows, 2, true));
    let changed = replica.merge(&batch(vec![row("b", 2, Some("y"))], 9, true));
    assert_eq!(changed, [row("a", 9, None)]);
}

/// Guards against routers that request a removal forever although they have seen it in a
/// snapshot.
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
    assert!(
        reader.newest() >= watcher.newest(),
        "the reader would request again"
    );
    watcher.merge_relayed(&reader.since(watcher.newest()));
    assert_eq!(
        watcher.newest(),
        reader.newest(),
        "the watcher is not behind either"
    );
}

/// Guards against a stale snapshot, read before the row was written, that removes it.
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

/// Guards against removed servers that a restarted router gets back from a peer that is
/// behind.
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

/// Guards against removed servers that remain in a replica which is updated by a restarted
/// router.
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

/// Guards against full transfers to routers that lack only a few changes.
#[test]
fn changes_after_a_snapshot_are_relayed_alone() {
    let mut watcher = Replica::default();
    watcher.merge(&batch(vec![row("a", 1, Some("x"))], 2, true));
    watcher.merge(&batch(vec![row("b", 3, Some("y"))], 3, false));
    let relayed = watcher.since(2);
    assert_eq!(relayed.rows, [row("b", 3, Some("y"))]);
    assert!(!relayed.is_snapshot);
}
