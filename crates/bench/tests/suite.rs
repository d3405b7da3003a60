//! The benchmark itself: repeatable figures, bounds that fail, fakes that behave.

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

// A figure that differs between two runs of the same seed cannot show what a
// change did, and a bound on it fails now and then for no reason.
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

// Operators take a zone out and put it back while its requests run. No caller
// may lose an answer or be refused, since the other zones have room.
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

// A bound that never fails would let a regression pass unseen.
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

// An engine that has just started falls over under the load of a warm one. If
// the fake bore it, the benchmark would not show a policy that overloads it.
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

// The oracle and the engines reuse from the same kind of cache. One that kept
// more than it may would make every policy look better than it is.
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
