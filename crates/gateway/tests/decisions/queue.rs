//! The queue of requests for one service.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    pool::{Denial, Outcome},
    queue::{Admission, Dequeued, Queue, Request},
};
use units::{cost::Cost, request::Attempt, time::Instant};

use crate::world::{START, demand, entry, fleet, pool, workspace};

/// One server with eight slots.
fn queue() -> Queue {
    let mut entry = entry("s0", "a");
    entry.slots = 8;
    Queue::new(pool(&[entry]))
}

fn request(attempt: u64, workspace_name: &str, wait_ms: u64) -> Request {
    Request {
        attempt: Attempt(attempt),
        workspace: workspace(workspace_name),
        cost: Cost(1000),
        rank: 1,
        latest_start: START + Duration::from_millis(wait_ms),
        demand: demand(attempt, attempt),
    }
}

fn submit(queue: &mut Queue, request: Request, now: Instant) -> Admission {
    queue.submit(request, &fleet(), now)
}

/// Submits requests until one is not placed; returns the number of those placed.
fn fill(queue: &mut Queue, workspace_name: &str, now: Instant) -> u64 {
    (1..)
        .find(|&attempt| {
            !matches!(
                submit(queue, request(attempt, workspace_name, 5_000), now),
                Admission::Placed(_)
            )
        })
        .expect("the server becomes full")
        - 1
}

fn end(queue: &mut Queue, workspace_name: &str, now: Instant) -> Vec<Dequeued> {
    let server = queue
        .pool()
        .servers()
        .next()
        .expect("a server")
        .name()
        .clone();
    // The standing of the server does not matter here.
    let _ = queue.ended(&server, &workspace(workspace_name), Outcome::Completed, now);
    queue.dequeue(&fleet(), now)
}

fn placed(dequeued: &[Dequeued]) -> Vec<u64> {
    let placed = dequeued.iter().filter(|(_, result)| result.is_ok());
    placed.map(|(attempt, _)| attempt.0).collect()
}

/// Requests were queued at limits although servers had free slots, and callers waited
/// 600 ms for a first byte that was available in 30 ms.
#[test]
fn a_request_is_placed_while_slots_are_free() {
    let mut queue = queue();
    assert!(matches!(
        submit(&mut queue, request(1, "team", 5_000), START),
        Admission::Placed(_)
    ));
    assert!(queue.is_empty());
}

#[test]
fn a_queued_request_gets_the_next_free_slot() {
    let mut queue = queue();
    let first = fill(&mut queue, "team", START);
    assert_eq!(queue.len(), 1);
    assert_eq!(placed(&end(&mut queue, "team", START)), [first + 1]);
    assert!(queue.is_empty());
}

/// One workspace sends ten times its usual load. If it could take all slots, each
/// request of any other workspace would have to wait for one.
#[test]
fn a_surge_of_one_workspace_leaves_slots_for_others() {
    let mut queue = queue();
    let mut now = START;
    for attempt in 1..200 {
        now = now + Duration::from_millis(200);
        let mut surging = request(attempt, "loud", 60_000);
        surging.latest_start = now + Duration::from_secs(60);
        drop(submit(&mut queue, surging, now));
        if attempt % 2 == 0 {
            end(&mut queue, "loud", now);
        }
        // Keeps a second workspace active, so that the first one has a share to exceed.
        if attempt % 50 == 1 {
            let quiet = request(1_000 + attempt, "quiet", 60_000);
            assert!(
                matches!(submit(&mut queue, quiet, now), Admission::Placed(_)),
                "{attempt}"
            );
            end(&mut queue, "quiet", now);
        }
    }
    assert!(!queue.is_empty(), "the surge is not queued");
    let mut quiet = request(2_000, "quiet", 5_000);
    quiet.latest_start = now + Duration::from_secs(1);
    assert!(matches!(
        submit(&mut queue, quiet, now),
        Admission::Placed(_)
    ));
}

/// Two workspaces have queued requests, one many and one a few. In order of arrival,
/// the few would wait behind all of the many.
#[test]
fn queued_workspaces_are_served_fairly() {
    let mut queue = queue();
    fill(&mut queue, "loud", START);
    for attempt in 100..110 {
        submit(&mut queue, request(attempt, "loud", 5_000), START);
    }
    for attempt in 200..203 {
        submit(&mut queue, request(attempt, "quiet", 5_000), START);
    }
    let mut order = Vec::new();
    for _ in 0..6 {
        order.extend(placed(&end(&mut queue, "loud", START)));
    }
    let quiet = order.iter().filter(|attempt| **attempt >= 200).count();
    assert_eq!(quiet, 3, "{order:?}");
}

/// A queued request reaches its latest start. It must be refused then and not be held
/// until its caller gives up.
#[test]
fn a_queued_request_is_refused_at_its_deadline() {
    let mut queue = queue();
    fill(&mut queue, "team", START);
    submit(&mut queue, request(100, "team", 300), START);
    assert_eq!(queue.next_wake(), Some(START + Duration::from_millis(300)));
    let later = START + Duration::from_millis(300);
    let dequeued = queue.dequeue(&fleet(), later);
    let refused: Vec<_> = dequeued
        .iter()
        .filter(|(attempt, _)| attempt.0 == 100)
        .collect();
    let refusal = refused[0].1.clone().expect_err("the request is refused");
    assert_eq!(refusal.denial, Denial::Full);
    assert!(refusal.retry_at > later);
}

/// Slots become free slowly, and the queue is so long that a new request would miss its
/// deadline. It is refused immediately, with the time by which the queue will have been
/// served.
#[test]
fn a_request_that_would_miss_its_deadline_is_refused_immediately() {
    let mut queue = queue();
    fill(&mut queue, "team", START);
    let mut now = START;
    for attempt in 100..130 {
        now = now + Duration::from_millis(500);
        let mut long_deadline = request(attempt, "team", 0);
        long_deadline.latest_start = now + Duration::from_secs(600);
        submit(&mut queue, long_deadline, now);
        if attempt % 3 == 0 {
            end(&mut queue, "team", now);
        }
    }
    let mut short_deadline = request(500, "team", 0);
    short_deadline.latest_start = now + Duration::from_secs(1);
    let Admission::Refused(refusal) = submit(&mut queue, short_deadline, now) else {
        panic!("the request was not refused");
    };
    let wait = refusal.retry_at.since(now);
    assert!(wait >= Duration::from_secs(1), "{wait:?}");
}

/// Guards against a router that takes little demand for a low rate, and refuses requests for which
/// slots become free in time.
#[test]
fn a_surge_after_little_demand_is_queued() {
    let mut queue = queue();
    let mut now = START;
    for attempt in 0..6 {
        now = now + Duration::from_millis(500);
        submit(&mut queue, request(attempt, "team", 60_000), now);
        end(&mut queue, "team", now);
    }
    let mut refused = 0;
    for attempt in 100..300 {
        // Eight requests wait for the eight slots, one of which becomes free every 10 ms.
        if attempt >= 116 {
            now = now + Duration::from_millis(10);
            end(&mut queue, "team", now);
        }
        let mut arriving = request(attempt, "team", 0);
        arriving.latest_start = now + Duration::from_millis(500);
        let admission = submit(&mut queue, arriving, now);
        refused += u32::from(matches!(admission, Admission::Refused(_)));
    }
    assert_eq!(refused, 0);
}

/// The queue is full. The workspace with the most queued requests gives up a place to
/// one that has none.
#[test]
fn a_full_queue_displaces_a_request_of_the_largest_workspace() {
    let mut queue = queue();
    fill(&mut queue, "loud", START);
    for attempt in 1_000..1_255 {
        submit(&mut queue, request(attempt, "loud", 600_000), START);
    }
    let full_length = queue.len();
    assert!(matches!(
        submit(&mut queue, request(5_000, "loud", 600_000), START),
        Admission::Refused(_)
    ));
    assert!(matches!(
        submit(&mut queue, request(6_000, "quiet", 600_000), START),
        Admission::Queued
    ));
    assert_eq!(queue.len(), full_length);
    let dequeued = queue.dequeue(&fleet(), START);
    assert_eq!(
        dequeued
            .iter()
            .filter(|(_, result)| result.is_err())
            .count(),
        1
    );
}

/// Callers that are refused together would return together if they got the same retry
/// time.
#[test]
fn retry_times_are_spread() {
    let mut queue = queue();
    fill(&mut queue, "team", START);
    let mut retry_times: Vec<Instant> = Vec::new();
    for attempt in 0..64 {
        let mut expired = request(attempt * 3 + 1_000, "team", 0);
        expired.latest_start = START;
        let Admission::Refused(refusal) = submit(&mut queue, expired, START) else {
            panic!("the request was not refused after its latest start");
        };
        retry_times.push(refusal.retry_at);
    }
    retry_times.sort_unstable();
    retry_times.dedup();
    assert!(retry_times.len() > 32, "{}", retry_times.len());
}

/// All servers are cold, and this router has used its slow-start share. The next
/// request is queued instead of refused.
#[test]
fn a_request_is_queued_during_slow_start() {
    let mut entry = entry("s0", "a");
    entry.cold_until = START + Duration::from_secs(5);
    let mut queue = Queue::new(pool(&[entry]));
    assert!(matches!(
        submit(&mut queue, request(1, "team", 5_000), START),
        Admission::Placed(_)
    ));
    assert!(matches!(
        submit(&mut queue, request(2, "team", 5_000), START),
        Admission::Queued
    ));
    let at = queue.next_wake().expect("a wake time");
    assert!(at < START + Duration::from_secs(1));
    assert_eq!(placed(&queue.dequeue(&fleet(), at)), [2]);
}

/// The last server is removed while requests are queued for it.
#[test]
fn queued_requests_are_refused_without_servers() {
    let mut queue = queue();
    fill(&mut queue, "team", START);
    queue.pool_mut().set_servers(std::iter::empty());
    let dequeued = queue.dequeue(&fleet(), START);
    assert!(dequeued.iter().all(|(_, result)| result.is_err()));
    assert!(queue.is_empty());
}

/// A zone without servers of a service is cut off from the other zones, and requests
/// keep arriving. Callers that retry before the next probe would be refused again; with
/// equal retry times they would all return at once.
#[test]
fn retry_times_of_an_unreachable_zone_follow_its_next_probe() {
    let entries = ["s1", "s2", "s3"].map(|name| entry(name, "b"));
    let mut queue = Queue::new(pool(&entries));
    for entry in &entries {
        let workspace_name = workspace("team");
        queue.ended(&entry.server, &workspace_name, Outcome::Unreachable, START);
    }
    let mut retry_times = BTreeSet::new();
    for attempt in 0..200 {
        let admission = submit(&mut queue, request(attempt, "team", 800), START);
        let Admission::Refused(refusal) = admission else {
            panic!("the request was not refused: {admission:?}");
        };
        let Denial::ZonesUnreachable(at) = refusal.denial else {
            panic!("unexpected denial: {refusal:?}");
        };
        assert!(refusal.retry_at >= at, "{refusal:?}");
        retry_times.insert(refusal.retry_at);
    }
    assert!(
        retry_times.len() > 100,
        "{} distinct retry times",
        retry_times.len()
    );
}
