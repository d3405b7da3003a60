//! The rate of table writes that claims cause.

use std::time::Duration;

use crate::world::{Faults, World, key};

/// Makes `claims` claims per second on each of `routers` routers, and returns the
/// writes per second and the 99th percentile of the wait for a grant.
fn measure(routers: usize, claims: usize) -> (u32, Duration) {
    let mut world = World::new(1, routers, Faults::default());
    for router in &mut world.routers {
        router.ledger.set_routers(routers);
    }
    const SECONDS: usize = 4;
    const STEPS: usize = 200;
    for step in 0..SECONDS * STEPS {
        world.now = world.now + Duration::from_micros(5000);
        for router in 0..routers {
            let new_claims = (step + 1) * claims / STEPS - step * claims / STEPS;
            for number in 0..new_claims {
                world.submit(router, key(router << 32 | step << 8 | number));
            }
            world.poll(router);
            world.complete_call();
        }
    }
    world.waits.sort();
    let wait_p99 = world.waits[world.waits.len() * 99 / 100];
    (world.writes / u32::try_from(SECONDS).unwrap(), wait_p99)
}

// Guards against overload of the table, which handles several hundred writes per
// second in total: with one write per claim, a surge of bookings would make it
// unavailable for claims and for changes of the configuration.
#[yare::parameterized(
    few = { 8, 2 },
    many = { 8, 40 },
    surge = { 8, 1000 },
    more_routers = { 40, 40 },
    very_many_routers = { 200, 4 },
)]
fn the_write_rate_does_not_grow_with_claims_or_routers(routers: usize, claims: usize) {
    let (writes, wait_p99) = measure(routers, claims);
    println!(
        "measure=claim_writes routers={routers} claims={} writes={writes} unit=1/s wait_p99={wait_p99:?}",
        routers * claims
    );
    assert!(writes <= 210, "{writes}");
}
