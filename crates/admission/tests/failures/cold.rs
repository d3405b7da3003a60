//! Engines that turn cold without a warning.

use admission::{Server, Settings};
use units::time::Instant;
use yare::parameterized;

use crate::{engine::Profile, sim::Sim};

/// What befalls the engine.
enum Fault {
    TurnsCold,
    Restarts,
}

// An engine restarts, or loses its caches and compiled kernels, and says
// nothing. It now bears two requests where it bore thirty, and falls over if it
// gets the thirty. Users see first tokens that take many times longer, or
// broken streams. A few requests are on their way before the owner can know;
// from then on none may be too many, until the engine is warm again. The first
// start is no different. The limit must come back without help.
#[parameterized(
    short_turns_cold = { 12.0, (50, 500), Fault::TurnsCold, 16 },
    short_restarts = { 12.0, (50, 500), Fault::Restarts, 0 },
    long_turns_cold = { 2.0, (200, 3000), Fault::TurnsCold, 9 },
    long_restarts = { 2.0, (200, 3000), Fault::Restarts, 0 },
)]
fn a_cold_engine_is_not_overloaded_once_detected(
    rate: f64,
    costs: (u64, u64),
    fault: Fault,
    max_early_overload: u64,
) {
    for seed in 0..10 {
        let server = Server::new(Settings::default(), Instant::ZERO);
        let mut sim = Sim::new(server, Profile::default());
        for workspace in 0..4 {
            let name = format!("w{workspace}");
            sim.schedule_arrivals(&name, rate, (0, 300), costs, seed * 10 + workspace);
        }
        sim.schedule_reports(300);
        sim.run(100);
        assert!(sim.server.snapshot(sim.now).limit >= 16, "did not warm up");
        assert_eq!(
            sim.stats.overload,
            (0, 0),
            "seed {seed}: overloaded at the start"
        );
        match fault {
            Fault::TurnsCold => sim.turn_cold(100),
            Fault::Restarts => sim.restart(100),
        }
        sim.run(300);
        let (early_overload, late_overload) = sim.stats.overload;
        println!("overload before={early_overload} after={late_overload}");
        assert_eq!(
            late_overload, 0,
            "seed {seed}: overloaded though known to be cold"
        );
        assert!(
            early_overload <= max_early_overload,
            "seed {seed}: {early_overload} before it was known to be cold"
        );
        assert!(sim.server.snapshot(sim.now).limit >= 16, "did not recover");
    }
}
