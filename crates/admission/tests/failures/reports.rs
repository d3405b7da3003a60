//! Delayed load reports, restarts, missed deadlines and stalled connections.

use std::{collections::VecDeque, time::Duration};

use admission::{Action, Decision, Handover, Outcome, Report, Server, Settings, Standing, Ticket};
use proptest::{prelude::*, test_runner::RngSeed};
use units::{
    cost::Cost,
    request::{Attempt, Priority},
    time::Instant,
};
use verdict::{Code, Verdict};
use yare::parameterized;

fn ticket(attempt: u64, timeout: u64, now: Instant) -> Ticket {
    Ticket {
        attempt: Attempt(attempt),
        workspace: "w".parse().expect("a valid name"),
        cost: Cost(100),
        priority: Priority::Normal,
        standing: Standing::Clear,
        deadline: now + Duration::from_millis(timeout),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e5a_0003),
        ..ProptestConfig::default()
    })]

    // Guards against own requests that are counted as foreign. A report shows the
    // load of an engine up to a second ago. If own requests in it, including those
    // that have ended since, were counted as requests of other routers, the engine
    // would appear full and stay idle while users are refused.
    #[test]
    fn own_requests_are_not_counted_as_foreign(
        others in 0..5_u32,
        steps in prop::collection::vec((any::<bool>(), 0..300_u64), 1..200),
    ) {
        let mut now = Instant::from_millis(10_000);
        let settings = Settings {
            max_concurrency: 1000,
            first_token_target: Duration::from_secs(1000),
            ..Settings::default()
        };
        let mut server = Server::new(settings, now);
        server.apply_handover(Handover { limit: 1000, in_flight: 0 }, now);
        let (mut attempts, mut running) = (0, VecDeque::new());
        let mut load_history = VecDeque::from([(now, 0)]);
        for (offers, delay) in steps {
            now = now + Duration::from_millis(delay);
            if offers {
                attempts += 1;
                let offered = server.offer(ticket(attempts, 60_000, now), now);
                prop_assert_eq!(offered.decision, Decision::Admitted);
                running.push_back(Attempt(attempts));
            } else if let Some(attempt) = running.pop_front() {
                let outcome = Outcome::Completed { first_token_at: now, ended_at: now };
                server.finish(attempt, outcome, now);
            }
            load_history.push_back((now, running.len() as u32));
            while load_history.len() > 1 && load_history[1].0 + Duration::from_millis(700) <= now {
                load_history.pop_front();
            }
            let running = load_history[0].1 + others;
            let seq = now.as_micros();
            server.report(Report { boot: 1, seq, running, waiting: 0, capacity: 0 }, now);
            let foreign = server.snapshot(now).foreign;
            prop_assert!(foreign <= others, "{} foreign requests counted, {} sent", foreign, others);
        }
        let idle = now + Duration::from_secs(5);
        let running = running.len() as u32 + others;
        server.report(Report { boot: 1, seq: idle.as_micros(), running, waiting: 0, capacity: 0 }, idle);
        prop_assert_eq!(server.snapshot(idle).foreign, others);
    }
}

// Guards against queueing a request that cannot meet its deadline on a busy
// server. Its caller would learn of the refusal too late to retry on another
// server.
#[parameterized(
    too_little_time_to_run = { 500, Some(Code::Deadline) },
    too_little_time_to_queue = { 9_000, Some(Code::Busy) },
    enough_time = { 60_000, None },
)]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once(timeout: u64, refused: Option<Code>) {
    let start = Instant::from_millis(1000);
    let settings = Settings {
        growth_step: 0.0,
        ..Settings::default()
    };
    let mut server = Server::new(settings, start);
    server.offer(ticket(1, 60_000, start), start);
    let now = start + Duration::from_secs(2);
    let outcome = Outcome::Completed {
        first_token_at: start,
        ended_at: now,
    };
    server.finish(Attempt(1), outcome, now);
    // Each runs two seconds, one at a time, so the fourth queued one starts after
    // about five seconds.
    for attempt in 2..5 {
        server.offer(ticket(attempt, 60_000, now), now);
    }
    let offered = server.offer(ticket(5, timeout, now), now);
    let Some(code) = refused else {
        assert_eq!(offered.decision, Decision::Queued);
        return;
    };
    let Decision::Refused(refusal) = offered.decision else {
        panic!("the request was not refused")
    };
    assert_eq!((refusal.verdict, refusal.code), (Verdict::NotRun, code));
    if code == Code::Busy {
        let retry_delay = refusal
            .retry_at
            .expect("a busy refusal has a retry time")
            .since(now);
        assert!(
            retry_delay > Duration::ZERO && retry_delay < Duration::from_secs(5),
            "retry delay of {retry_delay:?}"
        );
    }
}

// Guards against a restart between two reports that goes undetected. No request
// is running, so no connection breaks, and the next surge would reach the cold
// engine with the limit of the warm one.
#[parameterized(
    new_boot = { 2, 7, 1 },
    sequence_went_back = { 1, 3, 1 },
    same_boot = { 1, 7, 32 },
)]
fn a_restart_shows_in_reports(boot: u64, seq: u64, expected: u32) {
    let now = Instant::from_millis(1000);
    let mut server = Server::new(Settings::default(), now);
    server.apply_handover(
        Handover {
            limit: 32,
            in_flight: 0,
        },
        now,
    );
    let report = |boot, seq| Report {
        boot,
        seq,
        running: 0,
        waiting: 0,
        capacity: 0,
    };
    server.report(report(1, 6), now);
    server.report(report(boot, seq), now);
    assert_eq!(server.snapshot(now).limit, expected);
}

// Guards against a stale limit. An engine that sends no reports is idle for a
// minute and may have restarted, so the old limit must not be used.
#[test]
fn an_unconfirmed_limit_decays_to_one() {
    let now = Instant::from_millis(1000);
    let mut server = Server::new(Settings::default(), now);
    server.apply_handover(
        Handover {
            limit: 32,
            in_flight: 0,
        },
        now,
    );
    let later = now + Duration::from_secs(60);
    server.tick(later);
    assert_eq!(server.snapshot(later).limit, 1);
}

// Guards against one stalled connection that blocks admission. The connection
// stalls right after a request was sent on it; the engine and all other
// connections work. If this counted as a sign of a cold engine, all other requests
// would wait until the stalled one times out.
#[test]
fn one_stalled_connection_does_not_block_other_requests() {
    let mut now = Instant::from_millis(1000);
    let mut server = Server::new(Settings::default(), now);
    server.apply_handover(
        Handover {
            limit: 16,
            in_flight: 0,
        },
        now,
    );
    server.offer(ticket(1, 60_000, now), now);
    now = now + Duration::from_millis(50);
    server.first_token(Attempt(1), now);
    server.offer(ticket(2, 60_000, now), now);
    now = now + Duration::from_millis(600);
    server.tick(now);
    // The second request has no first token. The third one is admitted as a probe.
    assert_eq!(
        server.offer(ticket(3, 60_000, now), now).decision,
        Decision::Admitted
    );
    assert_eq!(
        server.offer(ticket(4, 60_000, now), now).decision,
        Decision::Queued
    );
    now = now + Duration::from_millis(50);
    let actions = server.first_token(Attempt(3), now);
    assert_eq!(actions[..], [Action::Admit(Attempt(4))]);
    assert_eq!(
        server.offer(ticket(5, 60_000, now), now).decision,
        Decision::Admitted
    );
}
