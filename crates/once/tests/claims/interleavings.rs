//! What holds over all interleavings of faults.

use once::{Decision, State};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::world::{Faults, World, key, outcome};

/// How many keys the callers use at most.
const KEYS: usize = 4;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn faults() -> impl Strategy<Value = Faults> {
    let percent = || prop_oneof![Just(0u32), 1..40u32];
    (
        percent(),
        percent(),
        percent(),
        percent(),
        0..100u32,
        0..50u32,
    )
        .prop_map(
            |(lost_response, delayed_write, failed_write, lost_read, crash, long_pause)| Faults {
                lost_response,
                delayed_write,
                failed_write,
                lost_read,
                crash,
                long_pause,
            },
        )
}

proptest! {
    #![proptest_config(config())]

    // Callers repeat a booking on several routers at once while answers of the
    // table are lost or its writes land late, and routers crash or are frozen
    // at any point. If two attempts ran, two trucks would come and the customer
    // would be billed twice.
    #[test]
    fn no_key_runs_twice(
        seed: u64,
        routers in 1..4usize,
        faults in faults(),
        steps in 50..600usize,
    ) {
        let mut world = World::new(seed, routers, faults);
        for _ in 0..steps {
            world.step(KEYS);
        }
        world.run_until_idle();
        for runs in world.runs.values() {
            prop_assert!(runs.len() <= 1, "ran {} times", runs.len());
        }
        // A refusal as not run is true of the attempt that it answers.
        for (attempt, key) in world.refused_as_not_run() {
            let ran = world.runs.get(key).is_some_and(|runs| runs.contains(attempt));
            prop_assert!(!ran, "told not run, and ran");
        }
        // A repeat is given the outcome of the attempt that ran, and no other.
        for (_, key, decision) in &world.decisions {
            if let Decision::Recorded(recorded) = decision {
                let ran = world.runs.get(key).and_then(|runs| runs.first());
                let expected = ran.map(|attempt| outcome(*attempt));
                prop_assert_eq!(Some(recorded), expected.as_ref());
            }
        }
    }

    // The table's answers are lost for a while, and all routers stay up. Once it
    // answers again, nothing may be left behind that claims to run for ever: a
    // booking that was never sent can be made, and one that ran shows its outcome.
    #[test]
    fn claims_of_running_routers_are_resolved(
        seed: u64,
        routers in 1..4usize,
        faults in faults(),
        steps in 50..400usize,
    ) {
        let mut world = World::new(seed, routers, Faults { crash: 0, ..faults });
        for _ in 0..steps {
            world.step(KEYS);
        }
        world.run_until_idle();
        for (key, stored) in &world.rows {
            let ran = world.runs.contains_key(key);
            let resolved = match stored.row.state {
                State::Done(_) | State::Unknown => ran,
                State::Released => !ran,
                State::Claimed => false,
            };
            prop_assert!(resolved, "{:?} although it {}", stored.row, if ran { "ran" } else { "did not run" });
        }
        prop_assert!(world.routers.iter().all(|router| router.ledger.is_empty()));
        // A row in the index that outlives its outcome would have a later claim
        // of the same key deleted by a sweep, while it runs.
        let mut index = world.index.clone();
        index.sort();
        let outcomes = world.rows.iter().filter(|(_, stored)| matches!(stored.row.state, State::Done(_)));
        let mut expected: Vec<String> = outcomes
            .map(|(key, stored)| key.index(stored.row.bucket))
            .collect();
        expected.sort();
        prop_assert_eq!(index, expected);
        let new_key = key(KEYS + 1);
        world.submit(0, new_key.clone());
        world.run_until_idle();
        prop_assert_eq!(world.runs[&new_key].len(), 1);
    }
}
