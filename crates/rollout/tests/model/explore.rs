//! Exploration of roll-outs over seeds.

use rollout::stage::State;

use crate::{
    fleet::Fleet,
    scenario::{Kind, Layout, Scenario, Share, Ways},
};

/// The number of seeds, unless `ROLLOUT_SEEDS` sets another.
const SEEDS: u64 = 300;

/// Seeds that failed: routers that restart shortly before a completion, a rollback that is
/// decided at the same time or not heard of, and zones that are connected again.
const REGRESSION_SEEDS: [u64; 20] = [
    2444, 3480, 4681, 9683, 11158, 16338, 17169, 17492, 19248, 32640, 35098, 36160, 38964, 50272,
    53422, 71935, 74512, 80445, 92633, 98343,
];

fn seeds() -> u64 {
    let text = std::env::var("ROLLOUT_SEEDS").ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// The number of threads that explore.
const THREADS: u64 = 4;

/// The violations of invariants in the scenario of a seed.
fn violation(seed: u64) -> Option<String> {
    let scenario = Scenario::draw(seed);
    let violations = Fleet::new(scenario.clone()).run().violations;
    (!violations.is_empty()).then(|| format!("{scenario:?}: {violations:?}"))
}

/// Guards against exposure of callers to a faulty version, and against stopping servers
/// that still run requests: versions of all kinds are rolled out while messages are lost,
/// routers are killed, a zone is cut off and the store is down or loses responses.
#[test]
fn invariants_hold_over_seeds() {
    let failed: Vec<String> = std::thread::scope(|scope| {
        let parts = (0..THREADS).map(|first| {
            scope.spawn(move || {
                (first..seeds())
                    .step_by(THREADS as usize)
                    .filter_map(violation)
                    .collect::<Vec<_>>()
            })
        });
        let parts: Vec<_> = parts.collect();
        let parts = parts.into_iter().map(|part| part.join().expect("a part"));
        parts.flatten().collect()
    });
    let failed: Vec<String> = failed
        .into_iter()
        .chain(REGRESSION_SEEDS.into_iter().filter_map(violation))
        .collect();
    assert!(
        failed.is_empty(),
        "{} failed:\n{}",
        failed.len(),
        failed.join("\n")
    );
}

/// The aims: of the faulty versions, one in a hundred may be completed, and of the sound
/// ones, one in a thousand may be rolled back.
fn allowed_errors(kind: Kind, runs: u64) -> u64 {
    if kind.is_sound() {
        runs / 1000
    } else {
        runs / 100
    }
}

/// Guards against a test of the versions that misses faulty ones, or rolls back sound ones
/// because old servers or single servers fail at the same time.
#[test]
fn versions_are_judged_correctly() {
    let runs = seeds() / 30;
    for kind in Kind::ALL {
        let is_wrong = |run: &u64| {
            let duration_s = [12, 30][*run as usize % 2];
            let routers = [6, 20][*run as usize / 2 % 2];
            let report = Fleet::new(Scenario::calm(*run, kind, routers, duration_s)).run();
            let expected = if kind.is_sound() {
                State::Completed
            } else {
                State::RolledBack
            };
            report.state != Some(expected)
        };
        let wrong: Vec<u64> = (0..runs).filter(is_wrong).collect();
        let allowed = allowed_errors(kind, runs);
        assert!(wrong.len() as u64 <= allowed, "{kind:?}: runs {wrong:?}");
    }
}

/// Guards against canary routers that are few: each of them receives an uneven part of the
/// requests, and they are chosen anew when routers are killed or start. The share of all
/// requests would not hold.
#[test]
fn the_exposure_holds_if_each_router_selects_a_fraction_of_its_own_requests() {
    let count = |share| {
        let seeds = 0..seeds() / 3;
        let violated = seeds.filter(|seed| {
            let ways = Ways {
                share,
                layout: Layout::Spread,
            };
            let scenario = Scenario {
                ways,
                ..Scenario::draw(*seed)
            };
            !Fleet::new(scenario).run().violations.is_empty()
        });
        violated.count()
    };
    assert_eq!(count(Share::OwnFraction), 0);
    assert_eq!(count(Share::Random), 0);
    assert!(count(Share::FewRouters) > 0);
}
