//! The memory of engines, and the prompts that wait to be read there.

mod engine;
mod fleet;

use std::time::Duration;

use fleet::{Class, MEMORY, Plan, SLOTS, Summary, play};
use footprint::{Request, Tokens, Usage};
use gateway::{
    pool::{Demand, Denial, Outcome, Part, Placement, Pool},
    queue::{self, Admission, Queue},
    route,
    settings::Bounds,
};
use units::{chat, cost::Cost, request, time::Instant};
use yare::parameterized;

use crate::world::{START, bounds, entry, fleet, workspace};

const CHAT: Class = Class {
    rank: 0,
    per_s: 17.0,
    topics: 24,
    shared: 699,
    own: (130, 130),
    events: 32,
    target_ms: 400,
};

const DRAFT: Class = Class {
    rank: 2,
    per_s: 9.3,
    topics: 24,
    shared: 10_512,
    own: (1_300, 41_000),
    events: 42,
    target_ms: 1_500,
};

fn plan(is_contended: bool, routers: usize, draft: Class) -> Plan {
    Plan {
        routers,
        engines: 12,
        seconds: 30,
        is_contended,
        hint_error: 3.0,
        classes: vec![CHAT, draft],
        seed: 1,
        restart_ms: None,
    }
}

fn print(label: &str, summary: &Summary) {
    let [chats, drafts] = summary.classes.as_slice() else {
        return;
    };
    println!(
        "{label}: preempted {} of {} runs; chats {} in time {:.3} p50 {} p99 {} ms, refused {}; \
         drafts {} in time {:.3} p50 {} ms, refused {}; overdue {} ms",
        summary.preemptions,
        summary.runs,
        chats.sent,
        chats.in_time(CHAT.target_ms),
        chats.percentile(50),
        chats.percentile(99),
        chats.refused,
        drafts.sent,
        drafts.in_time(DRAFT.target_ms),
        drafts.percentile(50),
        drafts.refused,
        summary.overdue_ms,
    );
}

/// Drafts that fill the slots of all engines with more than their memory holds.
const LONG_DRAFT: Class = Class {
    topics: 0,
    per_s: 14.0,
    own: (20_000, 41_000),
    events: 200,
    ..DRAFT
};

/// Drafts of which no engine has a part cached.
const UNCACHED_DRAFT: Class = Class {
    topics: 0,
    per_s: 20.0,
    own: (1_300, 1_300),
    ..DRAFT
};

/// Runs the plan without and with the account of memory.
fn compare(label: &str, routers: usize, draft: Class) -> (Summary, Summary) {
    let [before, after] = [false, true].map(|is_contended| {
        let summary = play(plan(is_contended, routers, draft));
        print(
            &format!("{label}, {routers} routers, account {is_contended}"),
            &summary,
        );
        assert_eq!(summary.leaked, 0, "tokens are held for requests that ended");
        assert_eq!(summary.overdue_ms, 0, "a request was placed too late");
        summary
    });
    (before, after)
}

/// Drafts need more memory than the slots of an engine suggest, and hints are off by a factor of
/// three. Engines preempt requests and read their prompts again. A single router knows all
/// requests, so that nothing is preempted. Several know the number of each other's requests as of
/// 200 ms ago; requests that are placed meanwhile may still collide.
#[parameterized(
    alone = { 1 },
    few = { 6 },
    many = { 67 },
)]
fn engines_are_not_given_more_than_they_hold(routers: usize) {
    let (before, after) = compare("long drafts", routers, LONG_DRAFT);
    assert!(before.preemptions > 0, "the plan does not fill the engines");
    if routers == 1 {
        assert_eq!(after.preemptions, 0);
    }
    assert!(after.preemptions < before.preemptions);
    let [chats_before, chats_after] = [&before, &after].map(|summary| {
        let chats = &summary.classes[0];
        chats.in_time(CHAT.target_ms)
    });
    assert!(chats_after >= chats_before);
}

/// Each uncached draft stalls the other requests of its engine for 173 ms. Two or more at once
/// make chats there miss their target. Drafts must not pay with theirs.
#[parameterized(
    alone = { 1 },
    few = { 6 },
    many = { 67 },
)]
fn chats_respond_beside_uncached_drafts(routers: usize) {
    let (before, after) = compare("uncached drafts", routers, UNCACHED_DRAFT);
    let in_time = |summary: &Summary, class: usize, target_ms| {
        let seen: &fleet::Seen = &summary.classes[class];
        seen.in_time(target_ms)
    };
    let chats = |summary: &Summary| in_time(summary, 0, CHAT.target_ms);
    let drafts = |summary: &Summary| in_time(summary, 1, DRAFT.target_ms);
    assert!(chats(&after) >= chats(&before));
    assert!(drafts(&after) >= drafts(&before));
    // With 67 routers for 12 engines, drafts of different routers meet at one engine.
    if routers <= 6 {
        assert!(after.classes[0].percentile(99) <= CHAT.target_ms);
    }
}

/// An engine restarts while requests run there, and the store reports that before the routers
/// notice the end of the requests. Memory that stayed accounted for them would keep the engine
/// from getting requests.
#[test]
fn nothing_is_held_after_a_restart() {
    let summary = play(Plan {
        seconds: 10,
        restart_ms: Some(5_000),
        ..plan(true, 6, LONG_DRAFT)
    });
    assert_eq!(summary.leaked, 0);
}

fn contended() -> Bounds {
    Bounds {
        is_contended: true,
        ..bounds()
    }
}

fn pool_with(bounds: Bounds, engines: usize) -> Pool {
    let mut pool = Pool::new("a".parse().expect("a valid name"), bounds);
    pool.set_service(route::Service {
        cold_per_s: 0.0,
        cache_tokens: MEMORY,
        health_path: String::new(),
    });
    list(&mut pool, 0..engines, 1);
    pool
}

/// Registers the engines of these numbers.
fn list(pool: &mut Pool, engines: std::ops::Range<usize>, incarnation: u64) {
    let entries: Vec<_> = engines
        .map(|index| gateway::roster::Entry {
            slots: SLOTS,
            incarnation,
            ..entry(&format!("e{index}"), "a")
        })
        .collect();
    pool.set_servers(entries.iter().map(|entry| (entry, false)));
}

fn demand(number: u64, tokens: u32, usage: Usage) -> Demand {
    Demand {
        parts: std::iter::once(Part {
            key: chat::Key(number),
            tokens,
        })
        .collect(),
        request: Request(number),
        usage,
        ..Demand::default()
    }
}

fn admit(pool: &mut Pool, demand: &Demand) -> Result<Placement, Denial> {
    pool.admit(demand, &fleet(), START)
}

/// A request that no engine can ever hold would wait in the queue until its time is up, and its
/// caller would send it again. It is refused at once, also while all engines are full, and only
/// where memory is accounted for.
#[test]
fn a_request_larger_than_any_engine_is_refused_at_once() {
    let too_large = demand(1, 392_113, Usage::default());
    let mut pool = pool_with(contended(), 2);
    for number in 0..u64::from(2 * SLOTS) {
        admit(&mut pool, &demand(100 + number, 10, Usage::default())).expect("a placement");
    }
    let mut queue = Queue::new(pool);
    let request = queue::Request {
        attempt: request::Attempt(1),
        workspace: workspace("w"),
        cost: Cost(1),
        rank: 0,
        latest_start: START + Duration::from_secs(10),
        demand: too_large.clone(),
    };
    let Admission::Refused(refusal) = queue.submit(request, &fleet(), START) else {
        panic!("not refused");
    };
    let Denial::Oversized(oversize) = refusal.denial else {
        panic!("{refusal:?}");
    };
    assert_eq!(oversize.needed, Tokens(392_113));
    assert_eq!(oversize.memory, Tokens(MEMORY));
    assert!(queue.is_empty());
    assert!(admit(&mut pool_with(bounds(), 2), &too_large).is_ok());
}

/// Callers state estimates of nothing, of zero or beyond reason. Their requests run as others do.
#[parameterized(
    missing = { None, Some(400) },
    zero = { Some(0), Some(400) },
    beyond_the_maximum = { Some(u64::MAX), Some(400) },
    no_maximum = { Some(u64::MAX), None },
    nothing = { None, None },
    absurd_maximum = { None, Some(u64::MAX) },
)]
fn absurd_estimates_change_nothing(hint: Option<u64>, most: Option<u64>) {
    let usage = Usage {
        prompt: None,
        hint: hint.map(Tokens),
        most: most.map(Tokens),
    };
    let mut pool = pool_with(contended(), 1);
    for number in 0..u64::from(SLOTS) {
        let placed = admit(&mut pool, &demand(number, 11_800, usage));
        assert!(placed.is_ok(), "request {number}: {placed:?}");
    }
}

/// The entry of an engine lapses in the store and returns while requests run there. If what they
/// hold was forgotten, the engine would be given more than it holds.
#[test]
fn a_lapsed_entry_keeps_what_its_requests_hold() {
    let mut pool = pool_with(contended(), 1);
    let placement = admit(&mut pool, &demand(1, 300_000, Usage::default())).expect("a placement");
    list(&mut pool, 0..0, 1);
    list(&mut pool, 0..1, 1);
    assert_eq!(pool.held_memory(&placement.server), Tokens(300_000));
    assert!(admit(&mut pool, &demand(2, 100_000, Usage::default())).is_err());
    pool.release_memory(&placement.server, Request(1), None);
    assert_eq!(pool.held_memory(&placement.server), Tokens(0));
    assert!(admit(&mut pool, &demand(2, 100_000, Usage::default())).is_ok());
}

/// An engine restarts and is empty. Requests of the former process end later, which must not free
/// what the new process holds.
#[test]
fn a_restarted_engine_holds_nothing_of_its_former_process() {
    let mut pool = pool_with(contended(), 1);
    let placement = admit(&mut pool, &demand(1, 300_000, Usage::default())).expect("a placement");
    list(&mut pool, 0..1, 2);
    assert_eq!(pool.held_memory(&placement.server), Tokens(0));
    admit(&mut pool, &demand(2, 300_000, Usage::default())).expect("a placement");
    pool.ended(&placement.server, Outcome::Broken, START);
    pool.release_memory(&placement.server, Request(1), None);
    assert_eq!(pool.held_memory(&placement.server), Tokens(300_000));
}

/// A long prompt of a less urgent request waits in the queue while all engines read others. It
/// must not wait beyond its own latest start.
#[test]
fn a_long_prompt_waits_for_others_but_not_too_long() {
    let mut pool = pool_with(contended(), 2);
    let chat = route::Route {
        name: String::from("chat"),
        kind: route::Kind::Stream,
        timeout: units::time::Millis(10_000),
        target: units::time::Millis(400),
        rank: 0,
        splits: smallvec::SmallVec::new(),
        max_attempts: 1,
        is_anonymous: true,
    };
    pool.set_routes(std::iter::once(&chat));
    let latest_start = START + Duration::from_secs(3);
    let deferrable_until = START + Duration::from_secs(2);
    let mut queue = Queue::new(pool);
    let mut submit = |number: u64, rank: u8| {
        let request = queue::Request {
            attempt: request::Attempt(number),
            workspace: workspace(&format!("w{number}")),
            cost: Cost(1),
            rank,
            latest_start,
            demand: Demand {
                route_rank: rank,
                deferrable_until,
                ..demand(number, 11_800, Usage::default())
            },
        };
        queue.submit(request, &fleet(), START)
    };
    let servers: Vec<_> = [1, 2]
        .map(|number| match submit(number, 2) {
            Admission::Placed(placement) => placement.server,
            other => panic!("{other:?}"),
        })
        .into();
    assert_ne!(
        servers[0], servers[1],
        "an engine that reads is passed over"
    );
    assert_eq!(submit(3, 2), Admission::Queued);
    assert_eq!(submit(4, 2), Admission::Queued);
    assert!(
        matches!(submit(5, 0), Admission::Placed(_)),
        "an urgent one"
    );
    assert!(placed_at(&mut queue, START).is_empty());
    assert_eq!(queue.next_wake(), Some(deferrable_until));
    // All prompts of one engine have been read.
    let pool = queue.pool_mut();
    assert!(pool.record_first_event(&servers[0], Request(1)));
    assert!(!pool.record_first_event(&servers[0], Request(1)), "twice");
    for server in &servers {
        pool.record_first_event(server, Request(5));
    }
    let placed = placed_at(&mut queue, START);
    let placed: Vec<_> = placed.iter().map(|placement| &placement.server).collect();
    assert_eq!(placed, [&servers[0]]);
    // The other one has waited for long enough.
    assert_eq!(placed_at(&mut queue, deferrable_until).len(), 1);
    assert!(deferrable_until < latest_start);
}

fn placed_at(queue: &mut Queue, now: Instant) -> Vec<Placement> {
    let dequeued = queue.dequeue(&fleet(), now).into_iter();
    dequeued.filter_map(|(_, result)| result.ok()).collect()
}
