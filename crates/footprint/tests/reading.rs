//! The prompt tokens that may wait to be read at an engine.

use std::time::Duration;

use footprint::{Rate, Tokens, Tolerance, reading};
use yare::parameterized;

const RATE: Rate = Rate(60);

fn tolerance(first_event_ms: u64, pause_ms: u64) -> Tolerance {
    Tolerance {
        first_event: Duration::from_millis(first_event_ms),
        pause: Duration::from_millis(pause_ms),
    }
}

/// Urgent requests stall while prompts are read. All tokens that may wait are read within half of
/// what is tolerated, whichever limit is shorter.
#[parameterized(
    first_event = { 400, 500, 200 },
    pause = { 600, 400, 200 },
    none = { 0, 400, 0 },
)]
fn waiting_prompts_are_read_within_half_of_the_tolerance(
    first_event_ms: u64,
    pause_ms: u64,
    read_ms: u64,
) {
    let bound = tolerance(first_event_ms, pause_ms).bound(RATE);
    assert_eq!(bound, Tokens(read_ms * u64::from(RATE.0)));
}

/// Several classes are more urgent; the strictest one decides.
#[test]
fn the_strictest_class_decides() {
    let both = tolerance(400, 500).and(tolerance(600, 300));
    assert_eq!(both, tolerance(400, 300));
}

#[parameterized(
    first = { 11_800, 0, true },
    second = { 11_800, 11_800, false },
    beyond_the_bound_alone = { 41_000, 0, true },
    beyond_the_bound_beside_another = { 41_000, 1, false },
    short_beside_many = { 700, 100_000, true },
)]
fn a_long_prompt_waits_for_others(uncached: u64, waiting: u64, may_wait: bool) {
    let bound = tolerance(400, 500).bound(RATE);
    let result = reading::may_wait(Tokens(uncached), Tokens(waiting), bound);
    assert_eq!(result, may_wait);
}
