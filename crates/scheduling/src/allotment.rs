//! The part of free slots that a router may take while the others see the same ones.

/// The rounds of the exchange until the others see which slots a router has taken.
const ROUNDS_UNSEEN: f64 = 1.5;

/// The part of a router in the free slots of one round. It has `running` of the `load` requests
/// that `routers` routers have in flight.
///
/// The parts of all routers add up to one over the rounds in which they see the same slots. Half
/// goes by the requests in flight, so that a router that gets all callers has most, and half is
/// the same for all, so that a router without requests has some.
pub fn part(running: u32, load: u32, routers: usize) -> f64 {
    let by_load = f64::from(running) / f64::from(load.max(1));
    let equal = 1.0 / routers.max(1) as f64;
    (by_load + equal) / 2.0 / ROUNDS_UNSEEN
}

/// The free slots of a server that a router with this `part` may take, given a `draw` that is
/// evenly distributed over routers and rounds.
pub fn allotment(free: u32, part: f64, draw: u64) -> u32 {
    let draw = draw as f64 / u64::MAX as f64;
    (f64::from(free) * part + draw) as u32
}
