//! Fairness between workspaces, and between the priorities of one workspace.

use std::time::Duration;

use admission::{Action, Outcome, Server, Settings, Standing, Ticket};
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
};

use crate::{
    engine::Profile,
    sim::{self, Sim},
};

const SEEDS: u64 = 6;

/// Simulates a workspace whose load is multiplied by `surge`. Returns the queue
/// times of the other workspaces in milliseconds and the number of their refused
/// requests.
fn quiet_workspaces(surge: f64, seed: u64) -> (Vec<u64>, u64) {
    let settings = Settings {
        max_concurrency: 16,
        ..Settings::default()
    };
    let mut sim = Sim::new(Server::new(settings, Instant::ZERO), Profile::default());
    for workspace in 0..8 {
        let name = format!("quiet{workspace}");
        sim.schedule_arrivals(&name, 0.3, (60, 360), (200, 3000), seed * 100 + workspace);
    }
    sim.schedule_arrivals("warm-up", 6.0, (0, 60), (200, 3000), seed * 100 + 50);
    sim.schedule_arrivals(
        "surge",
        0.6 * surge,
        (60, 360),
        (200, 3000),
        seed * 100 + 51,
    );
    sim.schedule_reports(360);
    sim.run(360);
    let is_quiet = |name: &str| name.starts_with("quiet");
    let waits = sim
        .stats
        .waits
        .iter()
        .filter(|(name, _)| is_quiet(name.as_str()));
    let refused = sim
        .stats
        .refused
        .iter()
        .filter(|(name, _)| is_quiet(name.as_str()));
    (
        waits.flat_map(|(_, waits)| waits.iter().copied()).collect(),
        refused.map(|(_, count)| *count).sum(),
    )
}

// Guards against a surge of one workspace that delays others. One workspace
// sends ten times its usual traffic to an engine at 80 % utilization. The load of
// the others is unchanged, so their requests must neither wait much longer nor be
// refused.
#[test]
fn a_surge_does_not_delay_other_workspaces() {
    let (mut before, mut during, mut refused) = (Vec::new(), Vec::new(), 0);
    for seed in 0..SEEDS {
        before.extend(quiet_workspaces(1.0, seed).0);
        let (waits, count) = quiet_workspaces(10.0, seed);
        during.extend(waits);
        refused += count;
    }
    let before = sim::quantile(&before, 0.95);
    let ratio = sim::quantile(&during, 0.95) as f64 / before as f64;
    println!(
        "fairness={ratio:.3} before_ms={before} refused={refused} of {}",
        during.len()
    );
    assert!(
        before > 100,
        "p95 queue time without a surge is too short to compare: {before} ms"
    );
    assert!(
        ratio <= 1.5,
        "p95 queue time of the other workspaces grew by a factor of {ratio:.3}"
    );
    assert!(
        refused * 200 <= during.len() as u64,
        "{refused} requests of the other workspaces refused"
    );
}

fn ticket(attempt: u64, workspace: &str, priority: Priority, now: Instant) -> Ticket {
    Ticket {
        attempt: Attempt(attempt),
        workspace: workspace.parse().expect("a valid name"),
        cost: Cost(100),
        priority,
        standing: Standing::Clear,
        deadline: now + Duration::from_secs(600),
    }
}

fn completed(now: Instant) -> Outcome {
    Outcome::Completed {
        first_token_at: now,
        ended_at: now,
    }
}

// Guards against starvation within a workspace. It sends interactive requests
// continuously and one batch request, which would never run if the interactive
// ones always went first.
#[test]
fn low_priority_is_not_starved() {
    let mut now = Instant::from_millis(1);
    let settings = Settings {
        growth_step: 0.0,
        ..Settings::default()
    };
    let mut server = Server::new(settings, now);
    server.offer(ticket(0, "w", Priority::Interactive, now), now);
    server.offer(ticket(1, "w", Priority::Batch, now), now);
    let mut running = Attempt(0);
    for attempt in 2..100 {
        now = now + Duration::from_millis(100);
        server.offer(ticket(attempt, "w", Priority::Interactive, now), now);
        let actions = server.finish(running, completed(now), now);
        if actions.contains(&Action::Admit(Attempt(1))) {
            return;
        }
        if let Some(Action::Admit(next)) = actions.last() {
            running = *next;
        }
    }
    panic!("the batch request was starved");
}

// Guards against shares that do not follow the weights. Three workspaces with
// weights 1, 2 and 4 keep a server busy and must be served in that proportion.
// Then a fourth workspace, idle until now, sends a burst. It must not have
// accumulated credit while idle: the others must not wait for its burst to end.
#[test]
fn contended_work_is_shared_by_weight() {
    const NAMES: [&str; 4] = ["a", "b", "c", "late"];
    const WEIGHTS: [u32; 4] = [1, 2, 4, 1];
    let now = Instant::from_millis(1);
    let settings = Settings {
        growth_step: 0.0,
        ..Settings::default()
    };
    let mut server = Server::new(settings, now);
    let weights = NAMES.into_iter().zip(WEIGHTS);
    let weights = weights.map(|(name, weight)| (name.parse().expect("a valid name"), weight));
    server.set_weights(weights.collect());
    // The attempt number modulo four is the index of the workspace.
    let offer = |server: &mut Server, round: u64, name: usize| {
        let attempt = round * 4 + name as u64;
        server.offer(ticket(attempt, NAMES[name], Priority::Normal, now), now);
    };
    let mut running = Attempt(0);
    let mut serve = |server: &mut Server, rounds: u32| {
        let mut served = [0_u32; 4];
        for _ in 0..rounds {
            served[running.0 as usize % 4] += 1;
            let actions = server.finish(running, completed(now), now);
            let Some(Action::Admit(next)) = actions.first() else {
                panic!("no ticket admitted though some are queued")
            };
            running = *next;
        }
        served
    };
    for round in 0..300 {
        (0..3).for_each(|name| offer(&mut server, round, name));
    }
    let served = serve(&mut server, 140);
    for name in 0..3 {
        let expected = 140 / 7 * WEIGHTS[name];
        assert!(served[name].abs_diff(expected) <= 2, "{served:?}");
    }
    (0..50).for_each(|round| offer(&mut server, round, 3));
    let served = serve(&mut server, 80);
    assert!(
        served[3].abs_diff(10) <= 2,
        "the workspace with the burst was served {} of 80 times",
        served[3]
    );
}
