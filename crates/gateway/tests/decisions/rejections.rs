//! Servers that reject requests at once.

use std::time::Duration;

use gateway::pool::{Outcome, Pool};
use units::time::Instant;

use crate::world::{START, admit, entry, pool, server};

/// Places a request of one prompt, which its server rejects if that is `s0`. Returns whether
/// it was.
fn is_rejected(pool: &mut Pool, now: Instant) -> bool {
    let placement = admit(pool, 7, 0, now).expect("a server");
    let chosen = pool.server_mut(&placement.server).expect("the server");
    chosen.end_prefill(placement.uncached);
    let is_rejecting = placement.server == server("s0");
    let outcome = if is_rejecting {
        Outcome::Full
    } else {
        Outcome::Completed
    };
    pool.ended(&placement.server, outcome, now);
    is_rejecting
}

fn rejections(pool: &mut Pool, requests: u64) -> usize {
    let times = (0..requests).map(|index| START + Duration::from_millis(50 * index));
    times.filter(|now| is_rejected(pool, *now)).count()
}

/// Guards against a server that rejects everything and, idle as it is, attracts the requests
/// of its prompts.
#[test]
fn a_server_that_rejects_everything_gets_few_requests() {
    let mut pool = pool(&[entry("s0", "a"), entry("s1", "b"), entry("s2", "c")]);
    let rejected = rejections(&mut pool, 200);
    assert!(rejected <= 200 / 20, "{rejected} of 200 requests");
}

/// Guards against requests that wait or are refused although the only server with room has
/// merely rejected one a moment ago.
#[test]
fn a_server_that_rejected_a_request_is_used_if_no_other_has_room() {
    let mut pool = pool(&[entry("s0", "a")]);
    assert!(is_rejected(&mut pool, START));
    assert!(admit(&mut pool, 7, 0, START).is_ok());
}

/// Guards against a server that is avoided for long after it works again.
#[test]
fn a_server_that_works_again_gets_its_prompts_back() {
    let mut pool = pool(&[entry("s0", "a"), entry("s1", "b"), entry("s2", "c")]);
    rejections(&mut pool, 100);
    let after_longest_backoff = START + Duration::from_millis(50 * 100 + 3_200);
    let placement = admit(&mut pool, 7, 0, after_longest_backoff).expect("a server");
    assert_eq!(placement.server, server("s0"));
}
