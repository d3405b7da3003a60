//! Requests that wait for a server.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    line::{Ask, Line, Offered, Served},
    pool::{Denial, Outcome},
};
use units::{cost::Cost, request::Attempt, time::Instant};

use crate::world::{START, demand, entry, fleet, pool, workspace};

/// One server with eight slots.
fn line() -> Line {
    let mut entry = entry("s0", "a");
    entry.slots = 8;
    Line::new(pool(&[entry]))
}

fn ask(attempt: u64, owner: &str, wait_ms: u64) -> Ask {
    Ask {
        attempt: Attempt(attempt),
        workspace: workspace(owner),
        cost: Cost(1000),
        rank: 1,
        latest_start: START + Duration::from_millis(wait_ms),
        demand: demand(attempt, attempt),
    }
}

fn offer(line: &mut Line, ask: Ask, now: Instant) -> Offered {
    line.offer(ask, &fleet(), now)
}

/// Asks for places until the first request has to wait; returns how many got one.
fn fill(line: &mut Line, owner: &str, now: Instant) -> u64 {
    (1..)
        .find(|&attempt| {
            !matches!(
                offer(line, ask(attempt, owner, 5_000), now),
                Offered::Placed(_)
            )
        })
        .expect("it is full in the end")
        - 1
}

fn end(line: &mut Line, owner: &str, now: Instant) -> Vec<Served> {
    let server = line
        .pool()
        .servers()
        .next()
        .expect("a server")
        .name()
        .clone();
    // How the server stands does not matter here.
    let _ = line.ended(&server, &workspace(owner), Outcome::Completed, now);
    line.serve(&fleet(), now)
}

fn placed(served: &[Served]) -> Vec<u64> {
    let placed = served.iter().filter(|(_, result)| result.is_ok());
    placed.map(|(attempt, _)| attempt.0).collect()
}

/// Requests waited at limits while servers had room, and callers waited 600 ms
/// for a first byte that was ready in 30.
#[test]
fn a_request_does_not_wait_while_there_is_room() {
    let mut line = line();
    assert!(matches!(
        offer(&mut line, ask(1, "team", 5_000), START),
        Offered::Placed(_)
    ));
    assert!(line.is_empty());
}

#[test]
fn a_request_that_waits_gets_the_next_place() {
    let mut line = line();
    let first = fill(&mut line, "team", START);
    assert_eq!(line.len(), 1);
    assert_eq!(placed(&end(&mut line, "team", START)), [first + 1]);
    assert!(line.is_empty());
}

/// One workspace sends ten times its usual. All slots are always taken, so each
/// request of a quiet workspace would wait for one.
#[test]
fn a_surge_leaves_room_for_others() {
    let mut line = line();
    let mut now = START;
    for attempt in 1..200 {
        now = now + Duration::from_millis(200);
        let mut surging = ask(attempt, "loud", 60_000);
        surging.latest_start = now + Duration::from_secs(60);
        drop(offer(&mut line, surging, now));
        if attempt % 2 == 0 {
            end(&mut line, "loud", now);
        }
        // Another workspace is active, so that the first one has a share to exceed.
        if attempt % 50 == 1 {
            let quiet = ask(1_000 + attempt, "quiet", 60_000);
            assert!(
                matches!(offer(&mut line, quiet, now), Offered::Placed(_)),
                "{attempt}"
            );
            end(&mut line, "quiet", now);
        }
    }
    assert!(!line.is_empty(), "the surge waits");
    let mut quiet = ask(2_000, "quiet", 5_000);
    quiet.latest_start = now + Duration::from_secs(1);
    assert!(matches!(offer(&mut line, quiet, now), Offered::Placed(_)));
}

/// Two workspaces wait, one with many requests and one with a few. Served in
/// the order of arrival, the few would wait behind all of the many.
#[test]
fn workspaces_that_wait_take_turns() {
    let mut line = line();
    fill(&mut line, "loud", START);
    for attempt in 100..110 {
        offer(&mut line, ask(attempt, "loud", 5_000), START);
    }
    for attempt in 200..203 {
        offer(&mut line, ask(attempt, "quiet", 5_000), START);
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        order.extend(placed(&end(&mut line, "loud", START)));
    }
    let quiet = order.iter().filter(|attempt| **attempt >= 200).count();
    assert_eq!(quiet, 3, "{order:?}");
}

/// A request whose time is up before its turn comes is told so, and not kept
/// until its caller has given up.
#[test]
fn a_request_whose_time_is_up_is_refused() {
    let mut line = line();
    fill(&mut line, "team", START);
    offer(&mut line, ask(100, "team", 300), START);
    assert_eq!(line.next_wake(), Some(START + Duration::from_millis(300)));
    let later = START + Duration::from_millis(300);
    let served = line.serve(&fleet(), later);
    let refused: Vec<_> = served
        .iter()
        .filter(|(attempt, _)| attempt.0 == 100)
        .collect();
    let refusal = refused[0].1.clone().expect_err("it is refused");
    assert_eq!(refusal.denial, Denial::Full);
    assert!(refusal.retry_at > later);
}

/// Places come free slowly, and so many wait that a request would be too late.
/// It is refused at once, with the time by which those ahead are served.
#[test]
fn a_hopeless_request_is_refused_at_once() {
    let mut line = line();
    fill(&mut line, "team", START);
    let mut now = START;
    for attempt in 100..130 {
        now = now + Duration::from_millis(500);
        let mut patient = ask(attempt, "team", 0);
        patient.latest_start = now + Duration::from_secs(600);
        offer(&mut line, patient, now);
        if attempt % 3 == 0 {
            end(&mut line, "team", now);
        }
    }
    let mut hasty = ask(500, "team", 0);
    hasty.latest_start = now + Duration::from_secs(1);
    let Offered::Refused(refusal) = offer(&mut line, hasty, now) else {
        panic!("it must not wait");
    };
    let wait = refusal.retry_at.since(now);
    assert!(wait >= Duration::from_secs(1), "{wait:?}");
}

/// So many wait that there is no room for more. The workspace that has most of
/// them gives way to one that has none.
#[test]
fn a_crowd_gives_way_to_a_quiet_workspace() {
    let mut line = line();
    fill(&mut line, "loud", START);
    for attempt in 1_000..1_255 {
        offer(&mut line, ask(attempt, "loud", 600_000), START);
    }
    let crowd = line.len();
    assert!(matches!(
        offer(&mut line, ask(5_000, "loud", 600_000), START),
        Offered::Refused(_)
    ));
    assert!(matches!(
        offer(&mut line, ask(6_000, "quiet", 600_000), START),
        Offered::Waits
    ));
    assert_eq!(line.len(), crowd);
    let served = line.serve(&fleet(), START);
    assert_eq!(
        served.iter().filter(|(_, result)| result.is_err()).count(),
        1
    );
}

/// All that are refused together come back together, unless they are told
/// different times.
#[test]
fn refused_callers_do_not_return_in_one_wave() {
    let mut line = line();
    fill(&mut line, "team", START);
    let mut times: Vec<Instant> = Vec::new();
    for attempt in 0..64 {
        let mut late = ask(attempt * 3 + 1_000, "team", 0);
        late.latest_start = START;
        let Offered::Refused(refusal) = offer(&mut line, late, START) else {
            panic!("it is too late");
        };
        times.push(refusal.retry_at);
    }
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 32, "{}", times.len());
}

/// All servers are starting, and this router's share of what they bear is used.
/// The next request waits for its turn instead of being refused.
#[test]
fn a_request_waits_for_its_share_of_a_cold_server() {
    let mut entry = entry("s0", "a");
    entry.cold_until = START + Duration::from_secs(5);
    let mut line = Line::new(pool(&[entry]));
    assert!(matches!(
        offer(&mut line, ask(1, "team", 5_000), START),
        Offered::Placed(_)
    ));
    assert!(matches!(
        offer(&mut line, ask(2, "team", 5_000), START),
        Offered::Waits
    ));
    let at = line.next_wake().expect("a time");
    assert!(at < START + Duration::from_secs(1));
    assert_eq!(placed(&line.serve(&fleet(), at)), [2]);
}

/// The last server leaves while requests wait for it.
#[test]
fn requests_that_wait_for_nobody_are_refused() {
    let mut line = line();
    fill(&mut line, "team", START);
    line.pool_mut().set_servers(std::iter::empty());
    let served = line.serve(&fleet(), START);
    assert!(served.iter().all(|(_, result)| result.is_err()));
    assert!(line.is_empty());
}

/// A zone without a server of a service is cut off, and its callers come on. Told to
/// return before the way is tried again, they would be refused once more; told to
/// return at one moment, they would come as one wave.
#[test]
fn callers_of_a_zone_that_is_cut_off_are_told_when_the_way_is_tried_again() {
    let entries = ["s1", "s2", "s3"].map(|name| entry(name, "b"));
    let mut line = Line::new(pool(&entries));
    for entry in &entries {
        let owner = workspace("team");
        line.ended(&entry.server, &owner, Outcome::Unreachable, START);
    }
    let mut returns = BTreeSet::new();
    for attempt in 0..200 {
        let offered = offer(&mut line, ask(attempt, "team", 800), START);
        let Offered::Refused(refusal) = offered else {
            panic!("not refused: {offered:?}");
        };
        let Denial::Away(at) = refusal.denial else {
            panic!("another denial: {refusal:?}");
        };
        assert!(refusal.retry_at >= at, "{refusal:?}");
        returns.insert(refusal.retry_at);
    }
    assert!(returns.len() > 100, "{} moments", returns.len());
}
