//! Comparison of direct and routed requests.

use load::{
    compare::{self, Comparison},
    settings::Settings,
};
use standin::engine;

// Only served requests are measured, so an address that fails requests could appear fast. Failed
// requests must therefore fail the comparison.
#[tokio::test]
async fn comparison_with_failed_requests_does_not_pass() {
    let direct = engine::start(engine::Settings::default()).await.unwrap();
    let routed = engine::start(engine::Settings::default()).await.unwrap();
    let comparison = Comparison {
        direct: direct.address(),
        routed: routed.address(),
        requests: 10,
        warm_up: 2,
        load: Settings {
            tokens: 2,
            ..Settings::default()
        },
    };
    assert!(compare::run(&comparison).await.has_passed());
    routed.set_fault(engine::Fault::Refuse { count: 1 });
    assert!(!compare::run(&comparison).await.has_passed());
}
