//! Archiving of old changes, and retention of refused changes.

use std::time::Duration;

use audit::{archive, reader, refusals, settings::Archive};
use config::{
    change::Change,
    refused::{Reason, Refused},
    rows,
    snapshot::Snapshot,
};
use standin::platform::{self as standin_platform, Fault};
use storage::{
    Error, objects,
    table::{self, Put, Range, Row, Table, Transaction},
};
use tokio::time::Instant;
use units::revision;

const CHANGES: u64 = 43;

struct Fixture {
    platform: standin_platform::Handle,
    table: table::Client,
    objects: objects::Client,
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

fn change(to: u64) -> Change {
    let zone = format!(r#"[{{"type":"zone","name":"z{}"}}]"#, to % 5);
    Change {
        id: format!("c{to}").parse().expect("name"),
        who: "ann".parse().expect("name"),
        when: to,
        from: revision::Id(to - 1),
        to: revision::Id(to),
        puts: serde_json::from_str(&zone).expect("zone"),
        deletes: Vec::new(),
    }
}

/// Starts a platform whose table contains [`CHANGES`] changes.
async fn start() -> Fixture {
    let platform = standin_platform::start(standin_platform::Settings::default())
        .await
        .expect("platform");
    let fixture = Fixture {
        table: table::Client::new(platform.address()),
        objects: objects::Client::new(platform.address()),
        platform,
    };
    for to in 1..=CHANGES {
        let change = change(to);
        let put = |key: String, value| Put { key, value };
        let puts = vec![
            put(String::from(rows::REVISION), to.into()),
            put(rows::id(&change.id), to.into()),
            put(
                rows::change(change.to),
                serde_json::to_value(&change).expect("value"),
            ),
        ];
        let transaction = Transaction {
            puts,
            ..Transaction::default()
        };
        let done = fixture.table.transact(&transaction, deadline()).await;
        done.expect("change");
    }
    fixture
}

impl Fixture {
    async fn compact(&self, block: u64) -> Result<u64, reader::Error> {
        let settings = Archive { keep: 10, block };
        archive::compact(&self.table, &self.objects, &settings, deadline()).await
    }

    async fn history(&self, first: u64, limit: u64) -> Vec<u64> {
        let first = revision::Id(first);
        let read = archive::history(&self.table, &self.objects, first, limit, deadline());
        let read = read.await.expect("history");
        read.iter().map(|change| change.to.0).collect()
    }

    async fn changes_in_table(&self) -> usize {
        let range = reader::range(revision::Id(0), None);
        let read = reader::changes(&self.table, &range, deadline()).await;
        read.expect("changes").len()
    }
}

// Responses of the platform to writes are lost during compaction, and two processes
// compact concurrently with different block sizes. The history must neither lack a
// change nor contain one twice.
#[yare::parameterized(
    undisturbed = { None, 5, 5 },
    object_written_and_response_lost = { Some(1), 5, 5 },
    both_responses_lost = { Some(2), 5, 5 },
    other_block_sizes = { Some(1), 5, 8 },
    smaller_first = { Some(3), 2, 8 },
)]
#[test_macro(tokio::test)]
async fn compaction_loses_no_changes(
    lost_responses: Option<u64>,
    first_block: u64,
    second_block: u64,
) {
    let fixture = start().await;
    let all: Vec<u64> = (1..=CHANGES).collect();
    loop {
        if let Some(count) = lost_responses {
            fixture
                .platform
                .set_fault(Fault::LoseAnswer { count: Some(count) });
        }
        let moved = tokio::join!(fixture.compact(first_block), fixture.compact(second_block));
        assert_eq!(all, fixture.history(1, 100).await, "after {moved:?}");
        if matches!(moved, (Ok(0), Ok(0))) {
            break;
        }
        fixture.platform.set_fault(Fault::Normal);
    }
    assert!(fixture.changes_in_table().await < 10 + 8);
    assert_eq!(vec![3, 4, 5, 6], fixture.history(3, 4).await);
    assert_eq!(vec![42, 43], fixture.history(42, 10).await);
}

/// The table client of a process that pauses before each write, while another process
/// moves a block of changes.
struct PausedTable<'a>(&'a Fixture);

impl Table for PausedTable<'_> {
    async fn read(&self, key: &str, deadline: Instant) -> Result<Option<Row>, Error> {
        self.0.table.read(key, deadline).await
    }

    async fn scan(&self, range: &Range, deadline: Instant) -> Result<Vec<Row>, Error> {
        self.0.table.scan(range, deadline).await
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        deadline: Instant,
    ) -> Result<Vec<revision::Generation>, Error> {
        self.0.compact(5).await.expect("compact");
        self.0.table.transact(transaction, deadline).await
    }
}

// A process pauses between reading its object back and deleting the rows, while
// another process moves a smaller block under the same key.
#[tokio::test]
async fn paused_process_deletes_only_archived_changes() {
    let fixture = start().await;
    let settings = Archive { keep: 10, block: 8 };
    let paused_table = PausedTable(&fixture);
    let moved = archive::compact(&paused_table, &fixture.objects, &settings, deadline()).await;
    assert_eq!(Ok(8), moved);
    let all: Vec<u64> = (1..=CHANGES).collect();
    assert_eq!(all, fixture.history(1, 100).await);
}

// A process catches up from an old revision after the missing changes have moved to
// the archive. It has to reload the configuration, because the changes left in the
// table would leave a gap.
#[tokio::test]
async fn reader_behind_the_archive_reloads_the_configuration() {
    let fixture = start().await;
    let mut snapshot = Snapshot::default();
    snapshot.apply(&change(1)).expect("first change");
    let known = reader::Version {
        snapshot,
        ..reader::Version::default()
    };
    while fixture.compact(5).await.expect("compact") > 0 {}
    let advanced = reader::advance(&fixture.table, &known, deadline()).await;
    let advanced = advanced.expect("advance");
    assert_eq!(revision::Id(CHANGES), advanced.snapshot.revision());
}

// The table was restored from an old backup. A reader that adopted it would revert
// accepted changes.
#[tokio::test]
async fn reverted_table_is_rejected() {
    let fixture = start().await;
    let version = reader::load(&fixture.table, deadline())
        .await
        .expect("load");
    let reverting = Transaction {
        puts: vec![Put {
            key: String::from(rows::REVISION),
            value: (CHANGES - 1).into(),
        }],
        ..Transaction::default()
    };
    fixture
        .table
        .transact(&reverting, deadline())
        .await
        .expect("restore");
    let advanced = reader::advance(&fixture.table, &version, deadline()).await;
    let reverted = reader::Error::Reverted {
        known: revision::Id(CHANGES),
        current: revision::Id(CHANGES - 1),
    };
    assert_eq!(Err(reverted), advanced);
}

// A client retries an invalid change for days. The refused changes must not fill the
// table.
#[tokio::test]
async fn latest_refused_changes_are_kept() {
    let fixture = start().await;
    for when in 0..refusals::MAX_KEPT as u64 + 3 {
        let refused = Refused {
            id: "again".parse().unwrap(),
            who: "ann".parse().unwrap(),
            when,
            revision: revision::Id(1),
            reason: Reason::Invalid,
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        let recorded = refusals::record(&fixture.table, &refused, deadline()).await;
        assert_eq!(Ok(()), recorded);
    }
    assert_eq!(Ok(3), refusals::trim(&fixture.table, deadline()).await);
    assert_eq!(Ok(0), refusals::trim(&fixture.table, deadline()).await);
    let kept = refusals::since(&fixture.table, 0, deadline())
        .await
        .unwrap();
    assert_eq!((refusals::MAX_KEPT, 3), (kept.len(), kept[0].when));
    let late = refusals::since(&fixture.table, 1_000, deadline())
        .await
        .unwrap();
    assert_eq!(3, late.len());
}
