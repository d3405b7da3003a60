//! Tests the benchmark: reproducible figures, bounds that detect regressions, and
//! simulated engines that behave like real ones.

use bench::{
    bounds::Bounds,
    cache::Cache,
    engine::{self, Engine, Job, Submission},
    figure::Figure,
    policy::Name,
    suite,
};
use units::{chat, request, time::Instant};

fn settings(scenario: &str) -> suite::Settings {
    suite::Settings {
        quick: true,
        deployment: Some(String::from("lankaclean")),
        scenario: Some(String::from(scenario)),
        ..suite::Settings::default()
    }
}

// If two runs of the same seed gave different figures, the effect of a change could not
// be measured and bounds would fail at random.
#[test]
fn the_same_seed_gives_the_same_figures() {
    let run = |threads| {
        suite::run(&suite::Settings {
            threads,
            ..settings("failing")
        })
    };
    let (one, other) = (run(1), run(2));
    assert!(!one.is_empty());
    assert_eq!(one, other);
}

// Operators take a zone out of service and return it while requests run. No request may
// be lost or refused, since the other zones have capacity.
#[test]
fn excluding_and_restoring_a_zone_loses_no_response() {
    let figures = suite::run(&settings("zone"));
    let value = |measure: &str| {
        let mut own = figures
            .iter()
            .filter(|figure| figure.policy == Name::Chosen);
        own.find(|figure| figure.measure == measure)
            .map(|figure| figure.value)
    };
    assert_eq!(value("zone_lost_answers"), Some(0.0));
    assert_eq!(value("zone_refused_share"), Some(0.0));
    assert!(value("zone_out_s").is_some_and(|seconds| seconds < 3.0));
}

// A bound that never fails would hide regressions.
#[test]
fn a_figure_beyond_its_bound_is_a_regression() {
    let bounds = Bounds::parse(
        "[[bound]]\nmeasure = \"reuse_steady\"\npolicy = \"chosen\"\nmin = 0.9\nmax = 1.1\n",
    )
    .expect("valid bounds");
    let figure = |value, policy| Figure {
        measure: "reuse_steady",
        deployment: "dagbog",
        policy,
        value,
        unit: "ratio",
        seed: 1,
    };
    let regressions = |value, policy| bounds.check(&[figure(value, policy)]).len();
    assert_eq!(regressions(0.95, Name::Chosen), 0);
    assert_eq!(regressions(0.89, Name::Chosen), 1);
    assert_eq!(regressions(1.11, Name::Chosen), 1);
    assert_eq!(regressions(f64::NAN, Name::Chosen), 1);
    assert_eq!(regressions(0.1, Name::Random), 0);
    assert!(
        Bounds::parse("[[bound]]\nmeasure = \"a\"\npolicy = \"chosen\"\nmost = 1.0\n").is_err()
    );
}

fn job(number: u64) -> Job {
    Job {
        attempt: request::Attempt(number),
        chat: chat::Key(number),
        prompt: 1000,
        output: 100,
    }
}

// An engine that has just started crashes under the load of a warm one. Otherwise the
// benchmark would not penalize a policy that overloads cold engines.
#[test]
fn a_cold_engine_crashes_under_full_load_and_a_warm_one_does_not() {
    let mut warm = Engine::new(engine::Settings::default());
    let mut cold = Engine::new(engine::Settings::default());
    cold.crash();
    cold.start(Instant::from_millis(1));
    let now = Instant::from_millis(2);
    let lost = |engine: &mut Engine| {
        (0..60).any(|number| matches!(engine.submit(job(number), now), Submission::Lost(_)))
    };
    assert!(!lost(&mut warm));
    assert!(lost(&mut cold));
    assert!(!cold.is_up());
}

// The oracle and the engines use the same cache. If it exceeded its capacity, the
// figures of every policy would be too good.
#[test]
fn a_cache_over_capacity_evicts_the_least_recently_used() {
    let mut cache = Cache::new(1000);
    for number in 0..100 {
        cache.store(chat::Key(number), 100);
        assert!(cache.total_tokens() <= 1000);
    }
    assert_eq!(cache.cached(chat::Key(99)), 100);
    assert_eq!(cache.cached(chat::Key(89)), 0);
    assert_eq!(cache.store(chat::Key(200), 100), vec![chat::Key(90)]);
}
