//! Requests whose callers leave while they wait in a queue.

use std::sync::Arc;

use gateway::{
    clock::Clock,
    dispatch::{AcquireRequest, Dispatch, Message, Permit, Refusal},
    metrics::Metrics,
    pool::Outcome,
    roster,
};
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};
use units::{cost::Cost, request::Fingerprint, time::Instant};

use crate::{
    prefixes::settings,
    world::{START, demand, entry, registered},
};

type Response = oneshot::Receiver<Result<Permit, Refusal>>;

/// A router that knows two services of one server each.
fn task() -> (Dispatch, mpsc::UnboundedReceiver<Message>) {
    let (mut task, _handle, messages) =
        Dispatch::new(Clock::start(), Arc::new(Metrics::default()), settings());
    let mut roster = roster::Roster::default();
    for pool in ["one", "two"] {
        let mut entry = entry(&format!("server-{pool}"), "a");
        entry.pool = pool.parse().expect("a name");
        entry.slots = 1;
        roster.apply(roster::Change::Present(entry), START);
    }
    task.handle_message(Message::Members(Arc::new(registered(1))));
    task.handle_message(Message::Roster(Arc::new(roster)));
    (task, messages)
}

fn acquire(task: &mut Dispatch, pool: &str) -> Response {
    let request = AcquireRequest {
        pool: pool.parse().expect("a name"),
        route: rollout::counts::Route::default(),
        workspace: "w".parse().expect("a name"),
        cost: Cost(1),
        rank: 0,
        latest_start: Instant::NEVER,
        demand: demand(7, 0),
        unreached: SmallVec::new(),
        is_retry: false,
        fingerprint: Fingerprint(1),
    };
    let (reply, response) = oneshot::channel();
    task.handle_message(Message::Acquire(request, reply));
    response
}

fn running(task: &mut Dispatch) -> u32 {
    let (reply, mut report) = oneshot::channel();
    task.handle_message(Message::Status(reply));
    let report = report.try_recv().expect("an immediate reply");
    report.servers.iter().map(|row| row.running).sum()
}

/// Guards against a slot that is taken for good for a request of one service whose caller left
/// before a slot of another service became free.
#[test]
fn an_abandoned_request_gets_no_slot() {
    let (mut task, mut messages) = task();
    let mut placed = Vec::new();
    let mut queued = Vec::new();
    for pool in ["one", "two"] {
        loop {
            let mut response = acquire(&mut task, pool);
            match response.try_recv() {
                Ok(result) => placed.push(result.expect("a slot")),
                Err(_) => break queued.push(response),
            }
        }
    }
    let abandoned = queued.pop();
    drop(abandoned);
    for permit in placed {
        permit.end(Outcome::Completed);
        while let Ok(message) = messages.try_recv() {
            task.handle_message(message);
        }
    }
    let permit = queued.pop().expect("a request").try_recv();
    permit
        .expect("a reply")
        .expect("a slot")
        .end(Outcome::Completed);
    while let Ok(message) = messages.try_recv() {
        task.handle_message(message);
    }
    assert_eq!(running(&mut task), 0);
}
