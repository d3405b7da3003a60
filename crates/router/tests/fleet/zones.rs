//! Availability zones and backend servers that leave and return.

use serde_json::json;
use standin::payload;

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until, zone},
};

async fn send_many(cluster: &Cluster, count: usize) {
    for number in 0..count {
        let call = Call::chat(&format!("c{number}"), "hello", 2);
        let response = cluster.send(number % cluster.routers.len(), &call).await;
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.text(), payload::text("hello", 2));
    }
}

// Operators take a zone out of service while callers send requests. Once all
// routers have applied the change, the zone must get no new requests, no
// request may fail, and the zone must get requests again when it is back in
// service.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_out_of_service_gets_no_new_work() {
    let mut cluster = Cluster::start(Topology::default()).await;
    wait_until("the zone gets work", async || {
        send_many(&cluster, 8).await;
        cluster.requests_in(&zone(0)) > 0
    })
    .await;
    cluster
        .declare(vec![
            json!({"type": "zone", "name": zone(0), "service": "out"}),
        ])
        .await;
    cluster.wait_settled().await;
    let before = cluster.requests_in(&zone(0));
    send_many(&cluster, 16).await;
    assert_eq!(cluster.requests_in(&zone(0)), before);
    cluster
        .declare(vec![
            json!({"type": "zone", "name": zone(0), "service": "in"}),
        ])
        .await;
    cluster.wait_settled().await;
    wait_until("the zone gets work again", async || {
        send_many(&cluster, 8).await;
        cluster.requests_in(&zone(0)) > before
    })
    .await;
}

// The platform lists a backend server as about to stop. If it still got new
// requests, its last ones would be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work() {
    let cluster = Cluster::start(Topology::default()).await;
    send_many(&cluster, 8).await;
    cluster.list_hosts(&["engine-0-0"]);
    wait_until("the server's owner has closed it", async || {
        cluster.state_of("engine-0-0").await == "closed"
    })
    .await;
    let before = cluster.requests_in(&zone(0));
    send_many(&cluster, 32).await;
    assert_eq!(cluster.requests_in(&zone(0)), before);
}

// An operator drains one server. The change must reach all routers.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_gets_no_new_work() {
    let mut cluster = Cluster::start(Topology::default()).await;
    wait_until("the server gets work", async || {
        send_many(&cluster, 8).await;
        cluster.requests_in(&zone(0)) > 0
    })
    .await;
    cluster
        .declare(vec![json!({"type": "drain", "name": "engine-0-0"})])
        .await;
    cluster.wait_settled().await;
    let before = cluster.requests_in(&zone(0));
    send_many(&cluster, 16).await;
    assert_eq!(cluster.requests_in(&zone(0)), before);
}
