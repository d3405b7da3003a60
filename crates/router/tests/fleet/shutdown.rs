//! Graceful shutdown.

use std::time::Duration;

use standin::{engine, payload};

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until},
};

// A router that is shut down while it serves streams, both as entry router and
// as owner, must not interrupt them. Connected callers, and callers that the load
// balancer still sends, get complete responses.
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_all_requests() {
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
    wait_until("streams are running", async || {
        let engines = cluster.engines.iter();
        engines.map(|e| e.handle.counters().started).sum::<u64>() >= 2
    })
    .await;
    cluster.routers[0].terminate();
    let mut served = 0;
    for caller in callers {
        let response = caller.await.expect("no panic").expect("a response");
        if response.status == 200 {
            assert!(response.complete, "{}", response.body);
            assert_eq!(response.streamed_text(), payload::text("hello", 100));
            served += 1;
        } else {
            assert_eq!(response.error("verdict"), "not_run", "{}", response.body);
        }
    }
    assert!(served >= 6, "only {served} requests were served");
    assert!(
        cluster.routers[0].wait(),
        "the process must exit with success"
    );
}

// A router that owns an engine is shut down while it relays streams for callers
// of other routers. Since it has no callers of its own, it could exit early and
// interrupt the relayed streams.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_waits_for_streams_relayed_for_other_routers() {
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
        let response = caller.await.expect("no panic").expect("a response");
        if response.status == 200 {
            assert!(response.complete, "{}", response.body);
            assert_eq!(response.streamed_text(), payload::text("hello", 150));
        } else {
            assert_eq!(response.error("verdict"), "not_run", "{}", response.body);
        }
    }
    assert!(
        cluster.routers[1].wait(),
        "the process must exit with success"
    );
}

// A router that shuts down gracefully hands the learned limits of its engines to
// the next owner. Otherwise the next owner would start again with a limit of one
// request, and chats would be queued for half a minute although engines are idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_router_hands_learned_limits_to_the_next_owner() {
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
    wait_until("the next owner has the learned limits", async || {
        let log = cluster.routers[next].log().join("\n");
        log.contains("event=server_handed_over server=engine-0-0")
    })
    .await;
    let response = cluster
        .send_until_served(next, &Call::chat("c", "hello", 3))
        .await;
    assert_eq!(response.text(), payload::text("hello", 3));
    assert!(
        cluster.routers[leaving].wait(),
        "the process must exit with success"
    );
}
