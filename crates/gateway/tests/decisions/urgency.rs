//! Urgency in the queue of one router.

use std::{collections::BTreeSet, time::Duration};

use gateway::{
    pool::{Denial, Outcome},
    queue::{Admission, Dequeued, Queue, Request},
    settings::Bounds,
};
use scheduling::{Usage, rank};
use units::{cost::Cost, request::Attempt, time::Instant};

use crate::world::{START, bounds, demand, entry, fleet, pool, server, workspace};

/// One server with eight slots, for requests of the ranks 0, 1 and 2.
fn queue(is_contended: bool) -> Queue {
    let mut entry = entry("s0", "a");
    entry.slots = 8;
    let mut pool = pool(&[entry]);
    pool.set_bounds(Bounds {
        is_contended,
        ..bounds()
    });
    let mut queue = Queue::new(pool);
    queue.set_ranks([0, 1, 2].map(|rank| rank::combine(rank, 0)).into_iter());
    queue
}

fn request(attempt: u64, rank: u8, workspace_name: &str) -> Request {
    Request {
        attempt: Attempt(attempt),
        workspace: workspace(workspace_name),
        cost: Cost(1_000),
        rank,
        latest_start: START + Duration::from_secs(5),
        demand: demand(attempt, attempt),
    }
}

fn submit(queue: &mut Queue, attempt: u64, rank: u8, workspace_name: &str) -> Admission {
    queue.submit(request(attempt, rank, workspace_name), &fleet(), START)
}

/// The number of requests of a rank that are placed until one is not.
fn placed(queue: &mut Queue, rank: u8) -> u64 {
    let first = 100 * u64::from(rank);
    let attempts = (first..).take_while(|&attempt| {
        matches!(submit(queue, attempt, rank, "team"), Admission::Placed(_))
    });
    attempts.count() as u64
}

fn end(queue: &mut Queue, workspace_name: &str, now: Instant) -> Vec<Dequeued> {
    // The standing of the server does not matter here.
    let _ = queue.ended(
        &server("s0"),
        &workspace(workspace_name),
        Outcome::Completed,
        now,
    );
    queue.dequeue(&fleet(), now)
}

/// The least urgent requests took all slots, and the others waited for them.
#[test]
fn less_urgent_requests_leave_slots() {
    let mut queue = queue(true);
    assert_eq!(placed(&mut queue, 2), 6);
    assert_eq!(placed(&mut queue, 1), 1);
    // One slot, and two more at the engine, where the most urgent requests are next.
    assert_eq!(placed(&mut queue, 0), 3);
}

/// A deployment whose callers do not compete is served as before.
#[test]
fn without_contention_all_slots_are_used() {
    assert_eq!(placed(&mut queue(false), 2), 8);
}

/// Rank ordered only the requests of one workspace.
#[test]
fn the_queue_serves_urgent_requests_of_other_workspaces_first() {
    let mut queue = queue(true);
    for attempt in 0..10 {
        submit(&mut queue, attempt, 0, "team");
    }
    submit(&mut queue, 200, 2, "drafts");
    submit(&mut queue, 100, 1, "tags");
    submit(&mut queue, 50, 0, "chats");
    let mut order = Vec::new();
    for _ in 0..10 {
        let dequeued = end(&mut queue, "team", START);
        order.extend(dequeued.iter().map(|(attempt, _)| attempt.0));
    }
    assert_eq!(order, [50, 100, 200]);
}

/// The queue is full of less urgent requests, and an urgent one was refused.
#[test]
fn an_urgent_request_displaces_a_less_urgent_one() {
    let mut queue = queue(true);
    for attempt in 0..10 {
        submit(&mut queue, attempt, 0, "team");
    }
    for attempt in 1_000..1_256 {
        let admission = submit(&mut queue, attempt, 2, "drafts");
        assert_eq!(admission, Admission::Queued, "{attempt}");
    }
    assert_eq!(submit(&mut queue, 50, 0, "chats"), Admission::Queued);
    let dequeued = queue.dequeue(&fleet(), START);
    let (attempt, result) = &dequeued[0];
    assert_eq!(*attempt, Attempt(1_255));
    assert_eq!(result.clone().expect_err("a refusal").denial, Denial::Full);
}

/// A workspace that holds most slots of the fleet leaves one more of them free on each server.
#[test]
fn a_workspace_over_its_share_leaves_a_slot_more() {
    let mut queue = queue(true);
    for attempt in 0..5 {
        submit(&mut queue, attempt, 2, "team");
    }
    let hash = queue.usages()[0].workspace;
    let usages = [(hash, 40), (hash + 1, 4)];
    let usages = usages.map(|(workspace, running)| Usage { workspace, running });
    queue.set_peer_usages(usages.into_iter(), START);
    assert_eq!(submit(&mut queue, 10, 2, "team"), Admission::Queued);
    assert!(matches!(
        submit(&mut queue, 11, 2, "other"),
        Admission::Placed(_)
    ));
}

/// All callers that were refused while the servers were full returned at the same time.
#[test]
fn refused_callers_return_while_the_backlog_is_worked_off() {
    let mut queue = queue(true);
    for attempt in 0..10 {
        submit(&mut queue, attempt, 0, "team");
    }
    for attempt in 20..40 {
        submit(&mut queue, attempt, 0, "team");
    }
    let mut now = START;
    for _ in 0..10 {
        now = now + Duration::from_millis(100);
        end(&mut queue, "team", now);
    }
    let retry_times: Vec<Instant> = (1_000..1_100)
        .filter_map(|attempt| {
            let mut late = request(attempt, 0, "other");
            late.latest_start = now;
            match queue.submit(late, &fleet(), now) {
                Admission::Refused(refusal) => Some(refusal.retry_at),
                _ => None,
            }
        })
        .collect();
    assert_eq!(retry_times.len(), 100);
    let first = retry_times.iter().min().expect("a refusal");
    let last = retry_times.iter().max().expect("a refusal");
    assert!(last.since(*first) >= Duration::from_secs(1));
    assert!(last.since(now) <= Duration::from_millis(4_500));
    assert!(retry_times.iter().collect::<BTreeSet<_>>().len() > 90);
}
