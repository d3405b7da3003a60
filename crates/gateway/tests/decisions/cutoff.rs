//! When a response that outlasts its deadline is cut.

use std::time::Duration;

use gateway::cutoff::Cutoff;
use units::time::Instant;
use yare::parameterized;

const DEADLINE: Instant = Instant::from_micros(2_500_000);
/// How much later a response has ended.
const SLACK: Duration = Duration::from_millis(500);

/// Plays parts that are `gap` apart, from `first` on. Returns when the response was cut.
fn cut_at(first: Instant, gap: Duration) -> Instant {
    let mut cutoff = Cutoff::new(DEADLINE);
    let mut now = first;
    while !cutoff.is_reached(now) {
        now = now + gap;
        assert!(now < DEADLINE + 10 * SLACK, "the response is not cut");
    }
    now
}

/// Guards against responses that last as long as their next part is always there.
#[parameterized(
    full_speed = { 10 },
    fast = { 1_000 },
    slow = { 50_000 },
    irregular = { 77_777 },
)]
fn a_response_without_end_is_cut_soon_after_its_deadline(gap_us: u64) {
    let begun = Instant::from_micros(1_000_000);
    let cut_at = cut_at(begun, Duration::from_micros(gap_us));
    assert!(
        cut_at >= DEADLINE && cut_at <= DEADLINE + SLACK,
        "{cut_at:?}"
    );
}

/// Guards against a response that had been received whole when its process paused, and is cut because
/// its deadline passes meanwhile.
#[test]
fn parts_that_were_received_before_a_pause_are_forwarded_after_it() {
    let mut cutoff = Cutoff::new(DEADLINE);
    assert!(!cutoff.is_reached(Instant::from_micros(2_499_999)));
    let resumed = DEADLINE + Duration::from_secs(3);
    for part in 0..20 {
        let now = resumed + Duration::from_millis(part);
        assert!(!cutoff.is_reached(now), "part {part}");
    }
    assert!(cutoff.is_reached(resumed + SLACK));
}
