//! Compares settings of the limit and of the sharing between workspaces in
//! simulations, and prints one line for each.

#[path = "../tests/failures/engine.rs"]
mod engine;
#[path = "../tests/failures/sim.rs"]
#[expect(dead_code, reason = "the tests use all of it")]
mod sim;

use std::time::Duration;

use admission::{Server, Settings};
use engine::Profile;
use sim::Sim;
use units::time::Instant;

const SEEDS: u64 = 10;

/// Short requests, whose first tokens on a cold engine are still within the target,
/// and long ones.
const LOADS: [(&str, f64, (u64, u64)); 2] =
    [("short", 12.0, (50, 500)), ("long", 2.0, (200, 3000))];

fn sim(settings: &Settings, rate: f64, costs: (u64, u64), seed: u64) -> Sim {
    let server = Server::new(settings.clone(), Instant::ZERO);
    let mut sim = Sim::new(server, Profile::default());
    for workspace in 0..4 {
        let name = format!("w{workspace}");
        sim.schedule_arrivals(&name, rate, (0, 300), costs, seed * 10 + workspace);
    }
    sim.schedule_reports(300);
    sim
}

fn compare_limits(name: &str, settings: &Settings) {
    for (load, rate, costs) in LOADS {
        let (mut start, mut before, mut after, mut max_before) = (0, 0, 0, 0);
        let (mut served, mut lows, mut recovery) = (0, 0, 0);
        for seed in 0..SEEDS {
            let mut steady = sim(settings, rate, costs, seed);
            steady.run(100);
            start += steady.stats.overload.1;
            let warm = steady.stats.completed;
            for second in 101..300 {
                steady.run(second);
                lows += u64::from(steady.server.snapshot(steady.now).limit < 8);
            }
            served += steady.stats.completed - warm;
            let mut cold = sim(settings, rate, costs, seed);
            cold.run(100);
            cold.stats.overload = (0, 0);
            cold.turn_cold(100);
            cold.run(300);
            before += cold.stats.overload.0;
            max_before = max_before.max(cold.stats.overload.0);
            after += cold.stats.overload.1;
            let mut restarted = sim(settings, rate, costs, seed);
            restarted.run(100);
            restarted.restart(100);
            let recovers = |second: &u64| {
                restarted.run(*second);
                restarted.server.snapshot(restarted.now).limit >= 16
            };
            recovery += (102..300).find(recovers).unwrap_or(300) - 100;
        }
        let mean = |sum: u64| sum as f64 / SEEDS as f64;
        println!(
            "limit={name} load={load} overload_at_start={} before={:.1} most_before={max_before} \
             after={:.1} served={:.0} low_seconds={:.1} recovery_s={:.1}",
            mean(start),
            mean(before),
            mean(after),
            mean(served),
            mean(lows),
            mean(recovery)
        );
    }
}

fn compare_fairness(headroom: u32, rate: f64) {
    let settings = Settings {
        max_concurrency: 16,
        headroom,
        ..Settings::default()
    };
    let run = |surge: f64| {
        let (mut quiet, mut surging) = (Vec::new(), 0);
        for seed in 0..SEEDS {
            let mut sim = Sim::new(
                Server::new(settings.clone(), Instant::ZERO),
                Profile::default(),
            );
            for workspace in 0..8 {
                let name = format!("quiet{workspace}");
                sim.schedule_arrivals(&name, rate, (60, 360), (200, 3000), seed * 100 + workspace);
            }
            sim.schedule_arrivals("warm-up", 6.0, (0, 60), (200, 3000), seed * 100 + 50);
            let surge = 2.0 * rate * surge;
            sim.schedule_arrivals("surge", surge, (60, 360), (200, 3000), seed * 100 + 51);
            sim.schedule_reports(360);
            sim.run(360);
            for (name, waits) in &sim.stats.waits {
                if name.as_str().starts_with("quiet") {
                    quiet.extend(waits.iter().copied());
                } else if name.as_str() == "surge" {
                    surging += waits.len() as u64;
                }
            }
        }
        (sim::quantile(&quiet, 0.95), surging / SEEDS)
    };
    let (before, _) = run(1.0);
    let (during, surging) = run(10.0);
    let ratio = during as f64 / before.max(1) as f64;
    println!(
        "fairness headroom={headroom} rate={rate} p95_before_ms={before} p95_during_ms={during} \
         ratio={ratio:.2} surging_served={surging}"
    );
}

fn main() {
    let chosen = Settings::default();
    compare_limits("chosen", &chosen);
    let halving = Settings {
        consecutive_late_threshold: 1,
        ..chosen.clone()
    };
    compare_limits("halve_on_each_late", &halving);
    // A target that the simulated first tokens occasionally miss at any load.
    let tight = Settings {
        first_token_target: Duration::from_millis(60),
        first_token_target_per_cost: Duration::from_micros(200),
        ..chosen.clone()
    };
    compare_limits("chosen_tight_target", &tight);
    let halving = Settings {
        consecutive_late_threshold: 1,
        ..tight
    };
    compare_limits("halve_on_each_late_tight_target", &halving);
    let without_spikes = Settings {
        spike_factor: 1e9,
        ..chosen.clone()
    };
    compare_limits("without_jump", &without_spikes);
    let late_only = Settings {
        consecutive_inflated_threshold: 1000,
        ..chosen.clone()
    };
    compare_limits("without_inflation", &late_only);
    let tolerance_doubling_time = Duration::from_millis(1);
    compare_limits(
        "without_ease",
        &Settings {
            tolerance_doubling_time,
            ..chosen.clone()
        },
    );
    let full_growth_run_time = Duration::from_millis(1);
    compare_limits(
        "growth_by_count",
        &Settings {
            full_growth_run_time,
            ..chosen.clone()
        },
    );
    compare_limits(
        "growth_doubling",
        &Settings {
            growth_step: 1.0,
            ..chosen.clone()
        },
    );
    for rate in [0.25, 0.3] {
        for headroom in [0, 8, 4, 3] {
            compare_fairness(headroom, rate);
        }
    }
}
