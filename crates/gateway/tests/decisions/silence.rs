//! When a request leaves a silent server.

use std::time::Duration;

use gateway::silence::{Cause, Health, Overlap, Silence, Step, Watch};
use units::time::Instant;
use yare::parameterized;

const MAX_SILENCE: Duration = Duration::from_millis(900);
const DEADLINE: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(ms)
}

fn watch() -> Watch {
    watch_with(Duration::ZERO)
}

/// Watches a stream whose events are `gap` apart.
fn watch_with(gap: Duration) -> Watch {
    let silence = Silence {
        since: Instant::ZERO,
        due_at: Instant::ZERO + gap,
        leave_at: Instant::ZERO + MAX_SILENCE,
    };
    Watch::new(silence, Instant::ZERO + DEADLINE)
}

/// Plays a server whose checks begun at `ms` end as `health` says, and returns when the request
/// leaves it, and why.
fn play(until_ms: u64, health: impl Fn(u64) -> Health) -> Option<(u64, Cause)> {
    play_with(watch(), until_ms, health)
}

fn play_with(
    mut watch: Watch,
    until_ms: u64,
    health: impl Fn(u64) -> Health,
) -> Option<(u64, Cause)> {
    for ms in 0..until_ms {
        match watch.step(at(ms)) {
            Step::Wait(until) => assert!(until > at(ms), "a wait that has ended at {ms} ms"),
            Step::Check => watch.checked(health(ms), at(ms)),
            Step::Leave(_) => return Some((ms, watch.cause())),
        }
    }
    None
}

/// Guards against streams that leave a server for a pause in which it responds to nobody.
#[parameterized(
    short = { 1000 },
    usual = { 1200 },
    long = { 1400 },
)]
fn a_request_stays_during_a_pause(pause_ms: u64) {
    let health = |_| Health::Silent;
    assert_eq!(play(pause_ms, health), None);
}

/// Guards against streams that leave a server for a pause that follows a quiet moment.
#[parameterized(
    right_after_an_event = { 0 },
    between_two_events = { 200 },
    right_before_an_event = { 400 },
)]
fn a_quiet_stream_stays_during_a_pause(pause_at_ms: u64) {
    const GAP_MS: u64 = 400;
    const PAUSE_MS: u64 = 1300;
    let goes_on_ms = pause_at_ms + PAUSE_MS;
    let health = |ms| match ms {
        ms if ms < goes_on_ms => Health::Silent,
        ms if ms < goes_on_ms + 100 => Health::Resumed,
        _ => Health::Responds,
    };
    let left = play_with(
        watch_with(Duration::from_millis(GAP_MS)),
        GAP_MS + PAUSE_MS,
        health,
    );
    assert_eq!(left, None);
}

/// Guards against streams that wait for their deadline on a connection that is lost, while its
/// server responds to others.
#[test]
fn a_request_leaves_a_server_that_responds_to_others_as_soon_as_it_may() {
    let left = play(2000, |_| Health::Responds);
    assert_eq!(left, Some((900, Cause::Request)));
}

/// Guards against streams that wait for their deadline at a server that hangs for good.
#[test]
fn a_request_leaves_a_server_that_hangs() {
    let left = play(4000, |_| Health::Silent);
    assert_eq!(left, Some((1500, Cause::Pause)));
}

/// Guards against streams that are taken for lost in the moment in which their server goes on.
#[test]
fn a_request_stays_while_its_server_goes_on() {
    let health = |ms| match ms {
        0..1200 => Health::Silent,
        _ => Health::Resumed,
    };
    let left = play(1400, health);
    assert_eq!(left, None);
}

/// Guards against servers that are blamed for streams whose connections were lost in a pause.
#[test]
fn a_server_is_not_blamed_for_a_pause() {
    let health = |ms| match ms {
        0..1000 => Health::Silent,
        1000..1200 => Health::Resumed,
        _ => Health::Responds,
    };
    let left = play(4000, health);
    assert_eq!(left.map(|(_, cause)| cause), Some(Cause::Pause));
}

/// Guards against requests with little time left that wait for a server that hangs.
#[test]
fn a_request_leaves_a_silent_server_while_half_of_its_time_is_left() {
    let start = Instant::ZERO;
    let deadline = start + Duration::from_millis(1000);
    let silence = Silence {
        since: start,
        due_at: start,
        leave_at: start + Duration::from_millis(400),
    };
    let mut watch = Watch::new(silence, deadline);
    watch.checked(Health::Silent, at(400));
    assert_eq!(watch.step(at(500)), Step::Leave(Overlap::UntilResponse));
}

/// Guards against two servers that work on the same stream for long.
#[test]
fn a_server_that_responds_is_kept_for_a_moment_only() {
    let mut watch = watch();
    watch.checked(Health::Responds, at(800));
    assert_eq!(watch.step(at(900)), Step::Leave(Overlap::Brief));
}

/// Guards against a request that asks for a place at other servers all the time, and against one
/// that leaves a server which has paused since it responded to a check.
#[test]
fn a_refused_request_asks_for_another_place_after_another_check() {
    let mut watch = watch();
    watch.checked(Health::Responds, at(900));
    watch.stay(at(1000));
    assert_eq!(watch.step(at(1000)), Step::Wait(at(1150)));
    assert_eq!(watch.step(at(1150)), Step::Check);
    let mut paused = watch.clone();
    watch.checked(Health::Responds, at(1150));
    assert_eq!(watch.step(at(1249)), Step::Wait(at(1250)));
    assert_eq!(watch.step(at(1250)), Step::Leave(Overlap::Brief));
    paused.checked(Health::Silent, at(1150));
    assert!(!matches!(paused.step(at(1250)), Step::Leave(_)));
}

/// Guards against requests that wait for their deadline on a lost connection because their server
/// always responds late to checks.
#[test]
fn a_request_leaves_a_server_that_is_slow_to_respond() {
    let left = play(4000, |_| Health::Resumed);
    assert_eq!(left, Some((1150, Cause::Pause)));
}
