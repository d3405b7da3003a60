//! Concurrent changes by several operators while responses of the platform are lost.

#[path = "fakes/table.rs"]
mod table;

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    sync::{Arc, Mutex},
};

use admin::{
    settings,
    store::{Author, Failure, Outcome, Store, View},
};
use audit::reader;
use config::{
    key,
    proposal::Proposal,
    resource::{Resource, Workspace},
    rows,
    snapshot::Snapshot,
};
use proptest::{prelude::*, test_runner::RngSeed};
use storage::{
    Error,
    table::{Range, Row, Table, Transaction},
};
use table::{Behavior, Fake, Step};
use tokio::{runtime, sync::watch, task, time};
use units::{change, revision};

const OPERATORS: u64 = 3;
const CHANGES: u64 = 3;

/// More attempts than a script has failures.
const MAX_ATTEMPTS: usize = 100;

fn deadline() -> time::Instant {
    time::Instant::now() + time::Duration::from_secs(3_600)
}

fn workspace(weight: u32) -> Resource {
    Resource::Workspace(Workspace {
        name: "shared".parse().expect("name"),
        weight,
        max_in_flight: None,
        key_hashes: Vec::new(),
    })
}

fn key() -> key::Key {
    workspace(1).key()
}

/// Returns the change that increments the weight in `snapshot`.
fn increment(id: &change::Id, snapshot: &Snapshot) -> Proposal {
    let weight = match snapshot.resource(&key()).map(|declared| &declared.resource) {
        Some(Resource::Workspace(workspace)) => workspace.weight,
        _ => 0,
    };
    Proposal {
        id: id.clone(),
        puts: vec![workspace(weight + 1)],
        deletes: Vec::new(),
        expect: BTreeMap::from([(key(), snapshot.generation(&key()))]),
    }
}

/// The outcomes that were reported to the operators.
#[derive(Debug, Default)]
struct Reported {
    accepted: BTreeMap<change::Id, revision::Id>,
    refused: BTreeSet<change::Id>,
}

/// Simulates an operator that repeatedly increments a shared weight, each time based on
/// a fresh read, and repeats a change of unknown outcome.
async fn run_operator(operator: u64, store: Arc<Store<Fake>>, reported: Arc<Mutex<Reported>>) {
    let author = Author {
        who: format!("operator-{operator}").parse().expect("name"),
        when: 0,
    };
    for number in 0..CHANGES {
        let id: change::Id = format!("{operator}-{number}").parse().expect("name");
        // A failed refresh keeps the cached configuration; a change based on it then
        // fails with a conflict.
        drop(store.refresh(deadline()).await);
        let proposal = increment(&id, &store.view().version.snapshot);
        let mut outcome_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            let result = store.submit(&proposal, &author, deadline()).await;
            let mut reported = reported.lock().expect("lock");
            match result {
                Ok(Outcome::Accepted(revision) | Outcome::Repeated(revision)) => {
                    reported.accepted.insert(id.clone(), revision);
                    break;
                }
                Ok(Outcome::Unchanged(_)) => panic!("an increment changes something"),
                Err(Failure::Refused(_)) => {
                    reported.refused.insert(id.clone());
                    break;
                }
                // Operators with an odd number treat an unavailable platform as not run,
                // unless an earlier attempt may have run.
                Err(Failure::Unavailable(_)) if operator % 2 == 1 && !outcome_unknown => {
                    reported.refused.insert(id.clone());
                    break;
                }
                Err(Failure::Unavailable(_)) => {}
                Err(Failure::Unknown(_)) => outcome_unknown = true,
            }
            drop(reported);
            drop(store.refresh(deadline()).await);
        }
    }
}

/// Asserts that the revision of a view never decreases, until its store is dropped.
async fn assert_revisions_never_decrease(mut view: watch::Receiver<View>) {
    let mut highest = revision::Id::default();
    while view.changed().await.is_ok() {
        let current = view.borrow_and_update().version.snapshot.revision();
        assert!(
            current >= highest,
            "the revision of a store decreased from {highest} to {current}"
        );
        highest = current;
    }
}

async fn race(script: Vec<Step>) -> Result<(), TestCaseError> {
    let table = Fake::new(script);
    let reported = Arc::new(Mutex::new(Reported::default()));
    let stores: Vec<_> = (0..2)
        .map(|_| Arc::new(Store::new(table.clone(), settings::Store::default())))
        .collect();
    let mut observers = task::JoinSet::new();
    for store in &stores {
        observers.spawn(assert_revisions_never_decrease(store.subscribe()));
    }
    let mut operators = task::JoinSet::new();
    for operator in 0..OPERATORS {
        let store = Arc::clone(&stores[operator as usize % stores.len()]);
        operators.spawn(run_operator(operator, store, Arc::clone(&reported)));
    }
    while let Some(ended) = operators.join_next().await {
        ended.expect("operator");
    }
    table.join_delayed().await;
    drop(stores);
    while let Some(ended) = observers.join_next().await {
        ended.expect("observer");
    }
    let reported = mem::take(&mut *reported.lock().expect("lock"));
    check(&table, &reported).await
}

/// Compares the table with the outcomes reported to the operators.
async fn check(table: &Fake, reported: &Reported) -> Result<(), TestCaseError> {
    let faultless = table.without_faults();
    let range = reader::range(revision::Id(1), None);
    let log = reader::changes(&faultless, &range, deadline()).await;
    let log = log.expect("log");
    let version = reader::load(&faultless, deadline()).await.expect("load");
    let mut replayed = Snapshot::default();
    for change in &log {
        prop_assert_eq!(
            Ok(()),
            replayed.apply(change),
            "the log has one order without gaps"
        );
    }
    prop_assert_eq!(&replayed, &version.snapshot);
    let logged: BTreeMap<_, _> = log
        .iter()
        .map(|change| (change.id.clone(), change.to))
        .collect();
    prop_assert_eq!(logged.len(), log.len(), "no change is applied twice");
    prop_assert_eq!(
        &reported.accepted,
        &logged,
        "the log contains exactly the accepted changes"
    );
    for id in &reported.refused {
        prop_assert!(!logged.contains_key(id), "{} was reported as not run", id);
    }
    let expected = increment(&"x".parse().expect("name"), &version.snapshot);
    let weight = u32::try_from(log.len()).expect("few") + 1;
    prop_assert_eq!(
        &expected.puts,
        &vec![workspace(weight)],
        "no update is lost"
    );
    Ok(())
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let behavior = prop_oneof![
        6 => Just(Behavior::Answered),
        1 => Just(Behavior::Refused),
        1 => Just(Behavior::ResponseLost),
        1 => Just(Behavior::RequestLost),
        2 => (0_u8..12).prop_map(Behavior::Delayed),
    ];
    prop::collection::vec((0_u8..5, behavior), 0..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    // Three operators at two administrations change the same workspace while the
    // platform refuses calls, loses calls and responses, and executes some calls after
    // their caller gave up. Guards against lost updates, updates that are applied
    // twice, and changes that were reported as not run but are in force.
    #[test]
    fn racing_operators_lose_no_update_when_responses_are_lost(script in steps()) {
        let runtime = runtime::Builder::new_current_thread().enable_time().build()?;
        runtime.block_on(race(script))?;
    }
}

// The response to a write is lost and the platform goes down, so the outcome of the
// change is unknown. Guards against listing the change as pending forever although it
// is in force.
#[tokio::test]
async fn a_change_of_unknown_outcome_is_pending_until_the_next_revision() {
    let behaviors = [
        // Two reads load the configuration, the third looks up the id.
        Behavior::Answered,
        Behavior::Answered,
        Behavior::Answered,
        Behavior::ResponseLost,
        Behavior::Refused,
    ];
    let table = Fake::new(behaviors.map(|behavior| (0, behavior)).to_vec());
    let store = Store::new(table, settings::Store::default());
    let id: change::Id = "unsure".parse().unwrap();
    let proposal = increment(&id, &Snapshot::default());
    let result = store.submit(&proposal, &test_author(), deadline()).await;
    assert!(matches!(result, Err(Failure::Unknown(_))), "{result:?}");
    assert!(store.view().pending.contains_key(&id));
    store.refresh(deadline()).await.unwrap();
    assert_eq!(1, store.view().version.snapshot.revision().0);
    assert!(store.view().pending.is_empty());
}

/// A table on which another administration commits a change just before its id is read.
#[derive(Debug)]
struct Interleaved {
    table: Fake,
    other: Store<Fake>,
    proposal: Proposal,
}

impl Table for Interleaved {
    async fn read(&self, key: &str, deadline: time::Instant) -> Result<Option<Row>, Error> {
        if key == rows::id(&self.proposal.id) {
            let result = self
                .other
                .submit(&self.proposal, &test_author(), deadline)
                .await;
            assert!(matches!(result, Ok(Outcome::Accepted(_))), "{result:?}");
        }
        self.table.read(key, deadline).await
    }

    async fn scan(&self, range: &Range, deadline: time::Instant) -> Result<Vec<Row>, Error> {
        self.table.scan(range, deadline).await
    }

    async fn transact(
        &self,
        transaction: &Transaction,
        deadline: time::Instant,
    ) -> Result<Vec<revision::Generation>, Error> {
        self.table.transact(transaction, deadline).await
    }
}

// An operator aborts a change at one administration and repeats it at another, and the
// first attempt is committed while the second is in progress. Guards against reporting
// the change as committed while the list of resources does not contain it, since the
// next change based on that list would fail with a conflict.
#[tokio::test]
async fn a_change_reported_as_committed_is_listed() {
    let table = Fake::new(Vec::new());
    let proposal = increment(&"twice".parse().unwrap(), &Snapshot::default());
    let interleaved = Interleaved {
        table: table.clone(),
        other: Store::new(table, settings::Store::default()),
        proposal: proposal.clone(),
    };
    let store = Store::new(interleaved, settings::Store::default());
    let result = store.submit(&proposal, &test_author(), deadline()).await;
    assert_eq!(result, Ok(Outcome::Repeated(revision::Id(1))));
    assert_eq!(store.view().version.snapshot.revision(), revision::Id(1));
}

fn test_author() -> Author {
    Author {
        who: "ann".parse().expect("name"),
        when: 0,
    }
}
