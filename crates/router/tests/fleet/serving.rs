//! The request path without failures.

use standin::payload;

use crate::{
    client::Call,
    cluster::{Cluster, Topology},
};

#[tokio::test(flavor = "multi_thread")]
async fn every_router_serves_every_kind_of_request() {
    let cluster = Cluster::start(Topology::default()).await;
    for router in 0..cluster.routers.len() {
        let full = cluster
            .send_until_served(router, &Call::chat("c", "hello", 5))
            .await;
        assert_eq!(full.text(), payload::text("hello", 5));
        let streamed = cluster
            .send_until_served(router, &Call::stream("c", "hello", 5))
            .await;
        assert!(streamed.complete);
        assert_eq!(streamed.streamed_text(), payload::text("hello", 5));
        assert!(streamed.body.ends_with("data: [DONE]\n\n"));
        let lookup = cluster
            .send_until_served(router, &Call::get("/lookups/7"))
            .await;
        assert!(lookup.body.contains(&payload::confirmation("/lookups/7")));
        let key = format!("booking-{router}");
        let booking = cluster
            .send_until_served(router, &Call::booking(&key))
            .await;
        assert!(booking.body.contains(&payload::confirmation(&key)));
        assert_eq!(cluster.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_hits_its_cached_prefix_through_any_router() {
    let cluster = Cluster::start(Topology {
        engines: 2,
        ..Topology::default()
    })
    .await;
    let prompt = "a long diary entry ".repeat(20);
    let call = Call::chat("diary", &prompt, 2);
    cluster.send_until_served(0, &call).await;
    for round in 0..6 {
        let response = cluster
            .send_until_served(round % cluster.routers.len(), &call)
            .await;
        assert!(
            response.body.contains(r#""cached_tokens":80"#),
            "{}",
            response.body
        );
    }
}
