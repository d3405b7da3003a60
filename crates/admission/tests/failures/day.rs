//! A simulated day of one engine, compared with a golden file.

use std::{env, fs, path::Path};

use admission::{Server, Settings};
use units::time::Instant;

use crate::{engine::Profile, sim::Sim};

const GOLDEN: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/day.txt");
/// Rewrites the golden file:
/// `WEIR_GOLDEN=write cargo test -p admission --test failures day`.
const REWRITE: &str = "WEIR_GOLDEN";

fn summary_line(sim: &Sim) -> String {
    let snapshot = sim.server.snapshot(sim.now);
    let refused: u64 = sim.stats.refused.values().sum();
    format!(
        "second={} state={:?} limit={} capacity={} in_flight={} queued={} completed={} refused={refused}\n",
        sim.now.as_micros() / 1_000_000,
        snapshot.state,
        snapshot.limit,
        sim.engine.capacity(sim.now),
        snapshot.in_flight,
        snapshot.queued,
        sim.stats.completed,
    )
}

/// Simulates a cold start, a surge, a restart without notice and a drain.
fn simulate_day() -> String {
    let mut sim = Sim::new(
        Server::new(Settings::default(), Instant::ZERO),
        Profile::default(),
    );
    for workspace in 0..4 {
        let name = format!("w{workspace}");
        sim.schedule_arrivals(&name, 1.2, (0, 360), (200, 3000), workspace);
    }
    sim.schedule_arrivals("surge", 8.0, (120, 180), (200, 3000), 9);
    sim.restart(240);
    sim.schedule_reports(360);
    let mut text = String::new();
    for second in (5..=360).step_by(5) {
        sim.run(second);
        if second == 340 {
            sim.drain();
        }
        text += &summary_line(&sim);
    }
    text
}

// Guards against unintended changes of the limit and the queue over time. An
// engine goes through a start, a surge, a restart and a drain; any change in how
// its limit moves or its queue drains shows as a difference.
#[test]
fn a_simulated_day_matches_the_golden_file() {
    let actual_day = simulate_day();
    if env::var(REWRITE).is_ok_and(|value| value == "write") {
        fs::write(GOLDEN, &actual_day).expect("the golden file can be written");
    }
    let golden = fs::read_to_string(Path::new(GOLDEN)).expect("the golden file can be read");
    for (actual, expected) in actual_day.lines().zip(golden.lines()) {
        assert_eq!(actual, expected);
    }
    assert_eq!(actual_day.len(), golden.len());
}
