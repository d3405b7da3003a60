//! The memory of engines, and the prompts that wait to be read there.

mod engine;
mod fleet;

use fleet::{Class, Plan, Summary, play};

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

#[test]
fn trial() {
    let long = Class {
        topics: 0,
        per_s: 14.0,
        own: (20_000, 41_000),
        events: 200,
        ..DRAFT
    };
    let cold = Class {
        topics: 0,
        per_s: 20.0,
        own: (1_300, 1_300),
        ..DRAFT
    };
    for (name, class) in [("long", long)] {
        let _ = cold;
        for routers in [1, 6, 67] {
            for is_contended in [false, true] {
                let summary = play(plan(is_contended, routers, class));
                print(&format!("{name} {routers} {is_contended}"), &summary);
                assert_eq!(summary.leaked, 0);
            }
        }
    }
}
