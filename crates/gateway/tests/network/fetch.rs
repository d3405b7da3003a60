//! Tests of the transfer of rows between routers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use gateway::{
    peers::{Part, Versions, fetch},
    replica::{Replica, Replicas},
    source::{Batch, Row, Topic},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use standin::link::Link;
use tokio::{net::TcpListener, sync::watch, task::JoinSet};
use wire::seal::Key;

/// The capacity of a link of 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;
/// The number of bytes that such a link carries in three seconds.
const LARGE_VALUE_BYTES: usize = 3_750_000;

fn key() -> Key {
    Key::from_bytes([7; 32])
}

/// Random bytes, which cannot be compressed.
fn incompressible(length: usize) -> Bytes {
    let mut bytes = vec![0; length];
    SmallRng::seed_from_u64(1).fill(&mut bytes[..]);
    Bytes::from(bytes)
}

fn replica(key: &str, version: u64, value: Bytes) -> Replica {
    let batch = Batch {
        rows: vec![Row {
            key: String::from(key),
            version,
            value: Some(value.into()),
        }],
        version,
        is_snapshot: true,
    };
    let mut replica = Replica::default();
    replica.merge(&batch);
    replica
}

/// Starts a router that serves one configuration with `value` and one server.
async fn start_router(value: Bytes) -> SocketAddr {
    let replicas: Replicas = BTreeMap::from([
        (Topic::Configuration, replica("config", 5, value)),
        (Topic::Servers, replica("s1", 6, Bytes::from_static(b"{}"))),
    ]);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a listening socket");
    let address = listener.local_addr().expect("a bound address");
    let (sender, receiver) = watch::channel(Arc::new(replicas));
    tokio::spawn(async move {
        let _keep = sender;
        fetch::serve(listener, key(), receiver).await;
    });
    address
}

/// Guards against a transfer that times out although it still makes progress.
#[tokio::test]
async fn large_rows_are_received_over_a_slow_link() {
    let value = incompressible(LARGE_VALUE_BYTES);
    let link = Link::start(start_router(value.clone()).await)
        .await
        .expect("a listening socket");
    link.set_rate(LINK_BYTES_PER_S);
    let result = fetch::request(link.address(), &key(), Versions::default()).await;
    let batches = result.expect("rows");
    let (_, batch) = &batches[0];
    assert_eq!(Some(&value[..]), batch.rows[0].value.as_deref());
}

/// Guards against changes of servers that arrive only after a large configuration.
#[tokio::test]
async fn servers_are_sent_without_the_configuration() {
    let link = Link::start(start_router(incompressible(LARGE_VALUE_BYTES)).await)
        .await
        .expect("a listening socket");
    link.set_rate(LINK_BYTES_PER_S);
    let known = Part::Rest.of(Versions::default());
    let batches = fetch::request(link.address(), &key(), known).await;
    let batches = batches.expect("rows");
    let topics: Vec<_> = batches.iter().map(|(topic, _)| *topic).collect();
    assert_eq!(
        topics,
        [Topic::Servers],
        "only the requested topics are sent"
    );
    let batches = batches.into_iter();
    let rows: Vec<_> = batches.flat_map(|(_, batch)| batch.rows).collect();
    let keys: Vec<_> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["s1"]);
}

/// Guards against many concurrent large responses over a slow link, all of which would
/// complete late.
#[tokio::test]
async fn concurrent_large_responses_are_limited() {
    let address = start_router(incompressible(LARGE_VALUE_BYTES)).await;
    let link = Link::start(address).await.expect("a listening socket");
    link.set_rate(LINK_BYTES_PER_S);
    let all = Versions::default();
    let mut requests = JoinSet::new();
    for _ in 0..2 * fetch::MAX_LARGE_RESPONSES {
        let address = link.address();
        requests.spawn(async move { fetch::request(address, &key(), all).await });
    }
    let first = requests
        .join_next()
        .await
        .expect("a completed request")
        .expect("no panic");
    assert!(matches!(first, Err(fetch::Failure::Busy)), "{first:?}");
    let rest = fetch::request(address, &key(), Part::Rest.of(all)).await;
    rest.expect("small responses are not limited");
}
