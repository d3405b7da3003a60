//! Graceful shutdown.

use std::time::Duration;

use standin::{engine, payload};

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until},
};

// A host is taken out of service while streams run through it, as entry and as
// owner. Callers that are connected, and those whom the balancer still sends,
// get their whole answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_off_no_request() {
    let mut cluster = Cluster::start(Topology {
        routers: 2,
        engine: engine::Settings {
            token_interval: Duration::from_millis(20),
            ..engine::Settings::default()
        },
        ..Topology::default()
    })
    .await;
    let mut callers = Vec::new();
    for chat in 0..6 {
        for router in 0..cluster.routers.len() {
            let address = cluster.routers[router].address;
            let call = Call::stream(&format!("c{chat}"), "hello", 100);
            callers.push(tokio::spawn(async move { call.send(address).await }));
        }
    }
    wait_until("streams run", async || {
        let engines = cluster.engines.iter();
        engines.map(|e| e.handle.counters().started).sum::<u64>() >= 2
    })
    .await;
    cluster.routers[0].terminate();
    let mut served = 0;
    for caller in callers {
        let answer = caller.await.expect("no panic").expect("an answer");
        if answer.status == 200 {
            assert!(answer.whole, "{}", answer.body);
            assert_eq!(answer.streamed_text(), payload::text("hello", 100));
            served += 1;
        } else {
            assert_eq!(answer.error("verdict"), "not_run", "{}", answer.body);
        }
    }
    assert!(served >= 6, "only {served} were served");
    assert!(cluster.routers[0].wait(), "the process ends in order");
}

// A router that owns an engine shuts down while streams of other routers'
// callers pass through it. Its own callers are gone early, and it must not take
// the others' streams with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_streams_of_other_routers() {
    let mut cluster = Cluster::start(Topology {
        engine: engine::Settings {
            token_interval: Duration::from_millis(20),
            ..engine::Settings::default()
        },
        ..Topology::default()
    })
    .await;
    let address = cluster.routers[0].address;
    let mut callers = Vec::new();
    for chat in 0..4 {
        let call = Call::stream(&format!("c{chat}"), "hello", 150);
        callers.push(tokio::spawn(async move { call.send(address).await }));
    }
    wait_until("the other router's engine runs a stream", async || {
        cluster.engines[1].handle.counters().started >= 1
    })
    .await;
    cluster.routers[1].terminate();
    for caller in callers {
        let answer = caller.await.expect("no panic").expect("an answer");
        if answer.status == 200 {
            assert!(answer.whole, "{}", answer.body);
            assert_eq!(answer.streamed_text(), payload::text("hello", 150));
        } else {
            assert_eq!(answer.error("verdict"), "not_run", "{}", answer.body);
        }
    }
    assert!(cluster.routers[1].wait(), "the process ends in order");
}

// A router leaves in order. If the next owner of its engines had to learn their
// limits from one again, chats would wait for half a minute beside idle engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_router_tells_the_next_owner_what_it_learned() {
    let mut cluster = Cluster::start(Topology {
        zones: 1,
        routers: 2,
        ..Topology::default()
    })
    .await;
    let leaving = cluster.owner_of("engine-0-0").await;
    let next = 1 - leaving;
    cluster
        .send_until_served(next, &Call::chat("c", "hello", 3))
        .await;
    cluster.routers[leaving].terminate();
    wait_until("the next owner has what was learned", async || {
        let log = cluster.routers[next].log().join("\n");
        log.contains("event=server_handed_over server=engine-0-0")
    })
    .await;
    let answer = cluster
        .send_until_served(next, &Call::chat("c", "hello", 3))
        .await;
    assert_eq!(answer.text(), payload::text("hello", 3));
    assert!(cluster.routers[leaving].wait(), "the process ends in order");
}
