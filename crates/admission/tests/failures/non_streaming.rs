//! Responses that are not streamed.

use std::time::Duration;

use admission::{Decision, Outcome, Server, Settings, State, Ticket};
use units::{cost::Cost, request, time::Instant};

const RUN: Duration = Duration::from_secs(3);

fn ticket(number: u64, now: Instant) -> Ticket {
    Ticket {
        attempt: request::Attempt(number),
        workspace: "acme".parse().expect("a valid name"),
        cost: Cost(300),
        priority: request::Priority::Normal,
        standing: admission::Standing::Clear,
        deadline: now + Duration::from_secs(600),
    }
}

// Guards against a healthy engine that is treated as cold because its responses
// are not streamed. Nothing arrives before the last token, so the first byte is as
// late as on a cold engine. The limit stayed at one, and users waited while
// engines were idle.
#[test]
fn an_engine_with_non_streaming_responses_warms_up() {
    let mut now = Instant::ZERO;
    let mut server = Server::new(Settings::default(), now);
    let mut running: Vec<(request::Attempt, Instant)> = Vec::new();
    let mut number = 0;
    for _ in 0..6000 {
        now = now + Duration::from_millis(10);
        while let Some(index) = running.iter().position(|(_, ends_at)| *ends_at <= now) {
            let (attempt, _) = running.remove(index);
            let outcome = Outcome::Completed {
                first_token_at: now,
                ended_at: now,
            };
            assert!(server.finish(attempt, outcome, now).is_empty());
        }
        assert_ne!(server.snapshot(now).state, State::Doubt);
        while server.snapshot(now).in_flight < server.snapshot(now).limit {
            number += 1;
            let offered = server.offer(ticket(number, now), now);
            assert_eq!(offered.decision, Decision::Admitted);
            server.mark_non_streaming(request::Attempt(number));
            running.push((request::Attempt(number), now + RUN));
        }
    }
    let limit = server.snapshot(now).limit;
    assert!(limit >= 16, "the limit is only {limit} after a minute");
}
