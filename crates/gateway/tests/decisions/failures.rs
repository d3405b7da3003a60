//! Failures of requests whose server or path may be the reason.

use gateway::{
    dispatch::{Dispatch, Message},
    outlier::OutcomeCounts,
    pool::Outcome,
    probe::{Liveness, Probe, Purpose},
};
use tokio::sync::{mpsc, oneshot};
use units::backend;

use crate::prefixes::{acquire, task};

fn deliver(task: &mut Dispatch, messages: &mut mpsc::UnboundedReceiver<Message>) {
    while let Ok(message) = messages.try_recv() {
        task.handle_message(message);
    }
}

/// Ends ten requests with `outcome`, and returns their servers.
fn fail(
    task: &mut Dispatch,
    messages: &mut mpsc::UnboundedReceiver<Message>,
    outcome: Outcome,
) -> Vec<(backend::Server, u64)> {
    let mut servers = Vec::new();
    for _ in 0..10 {
        let permit = acquire(task);
        let placement = permit.placement();
        servers.push((placement.server.clone(), placement.incarnation));
        permit.end(outcome);
        deliver(task, messages);
    }
    servers
}

fn settle(task: &mut Dispatch, servers: &[(backend::Server, u64)], liveness: Liveness) {
    for (server, incarnation) in servers {
        let probe = Probe {
            purpose: Purpose::Crash,
            server: server.clone(),
            incarnation: *incarnation,
            address: ([127, 0, 0, 1], 1).into(),
            controls: gateway::dial::Controls::new(),
            is_alone: false,
            egress: None,
        };
        task.handle_message(Message::Probed(probe, liveness));
    }
}

/// The failures that other routers are told of.
fn told(task: &mut Dispatch) -> u32 {
    let (reply, mut update) = oneshot::channel();
    task.handle_message(Message::PeerUpdate(reply));
    let update = update.try_recv().expect("an immediate reply");
    let outcomes = update.loads.iter().map(|load| load.outcomes);
    outcomes
        .map(|counts: OutcomeCounts| u32::from(counts.failed))
        .sum()
}

/// Guards against healthy servers that are blamed, here and at other routers, for connections
/// that broke because this router lost its paths.
#[test]
fn failures_of_a_lost_path_are_not_told() {
    for outcome in [Outcome::Broken, Outcome::Refused] {
        for liveness in [Liveness::AcceptsOthers, Liveness::Unknown] {
            let (mut task, mut messages) = task();
            let servers = fail(&mut task, &mut messages, outcome);
            assert_eq!(told(&mut task), 0, "{outcome}");
            settle(&mut task, &servers, liveness);
            assert_eq!(told(&mut task), 0, "{outcome}, {liveness}");
        }
    }
}

/// Guards against a server that breaks connections off and is not blamed for it.
#[test]
fn failures_of_a_reachable_server_are_told() {
    for liveness in [Liveness::Accepts, Liveness::Ended] {
        let (mut task, mut messages) = task();
        let servers = fail(&mut task, &mut messages, Outcome::Broken);
        settle(&mut task, &servers, liveness);
        assert!(told(&mut task) > 0, "{liveness}");
    }
}
