//! Properties that hold under all interleavings of faults.

use once::{Decision, State};
use proptest::{prelude::*, test_runner::RngSeed};

use crate::world::{Faults, World, key, outcome};

/// The number of keys that the callers use.
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

    // Callers repeat a booking on several routers concurrently while responses of
    // the table are lost, writes are delayed, and routers crash or are paused at
    // any point. If two attempts ran, the booking would be made and billed twice.
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
            prop_assert!(runs.len() <= 1, "key ran {} times", runs.len());
        }
        // An attempt that was refused as not run has not run.
        for (attempt, key) in world.refused_as_not_run() {
            let ran = world.runs.get(key).is_some_and(|runs| runs.contains(attempt));
            prop_assert!(!ran, "attempt was refused as not run, but ran");
        }
        // A recorded outcome is that of the attempt that ran.
        for (_, key, decision) in &world.decisions {
            if let Decision::Recorded(recorded) = decision {
                let ran = world.runs.get(key).and_then(|runs| runs.first());
                let expected = ran.map(|attempt| outcome(*attempt));
                prop_assert_eq!(Some(recorded), expected.as_ref());
            }
        }
    }

    // Calls to the table fail for a while, and all routers stay up. Once the table
    // recovers, no row may stay claimed: the claim of a request that was never sent
    // is released, and one that ran has an outcome or is recorded as unknown.
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
            prop_assert!(resolved, "row is {:?} although the request {}", stored.row, if ran { "ran" } else { "did not run" });
        }
        prop_assert!(world.routers.iter().all(|router| router.ledger.is_empty()));
        // If a row in the index outlived its outcome, a sweep would delete a later
        // claim of the same key while its request runs.
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
