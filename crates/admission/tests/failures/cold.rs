//! Engines that turn cold without notice.

use admission::{Server, Settings};
use units::time::Instant;
use yare::parameterized;

use crate::{engine::Profile, sim::Sim};

/// Fault injected into the engine.
enum Fault {
    TurnsCold,
    Restarts,
}

// Guards against overloading a cold engine. An engine restarts, or loses its
// caches and compiled kernels, without notice. Its capacity drops from about
// thirty concurrent requests to two, and thirty would make it fail: users see
// first tokens that take many times longer, or broken streams. A few excess
// requests are sent before the owner can detect the fault; after that, none may
// exceed the capacity until the engine is warm again. The same holds for the
// first start. The limit must recover without intervention.
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
        assert!(
            sim.server.snapshot(sim.now).limit >= 16,
            "the limit did not reach 16 during warm-up"
        );
        assert_eq!(
            sim.stats.overload,
            (0, 0),
            "seed {seed}: engine overloaded during the first start"
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
            "seed {seed}: engine overloaded after it was detected as cold"
        );
        assert!(
            early_overload <= max_early_overload,
            "seed {seed}: {early_overload} excess requests before it was detected as cold"
        );
        assert!(
            sim.server.snapshot(sim.now).limit >= 16,
            "the limit did not recover"
        );
    }
}
