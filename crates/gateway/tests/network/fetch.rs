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

/// The number of servers of a large deployment.
const SERVERS: u64 = 3000;

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
    let batches = result.expect("rows").batches;
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
    let batches = batches.expect("rows").batches;
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

/// Starts a router that serves the rows of many servers, and a link to it.
async fn start_router_of_many_servers() -> Link {
    let rows = (0..SERVERS).map(|index| {
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"10.{}.{}.{}:8080\",\"zone\":\"lk-west-a\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_ms\":0,\
             \"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{index},\"born\":1775300355527}}",
            index / 65_536,
            index / 256 % 256,
            index % 256
        );
        Row {
            key: format!("i-{:010x}", index * 7_919),
            version: index + 1,
            value: Some(Bytes::from(entry).into()),
        }
    });
    let batch = Batch {
        rows: rows.collect(),
        version: SERVERS,
        is_snapshot: true,
    };
    let mut replica = Replica::default();
    replica.merge(&batch);
    let replicas = Arc::new(Replicas::from([(Topic::Servers, replica)]));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("a bound address");
    let (sender, receiver) = watch::channel(replicas);
    tokio::spawn(async move {
        let _keep = sender;
        fetch::serve(listener, key(), receiver).await;
    });
    Link::start(address).await.expect("a listening socket")
}

/// Guards against bytes that grow with routers times servers: each change of a server goes to
/// each router, and the rows of thousands of servers resemble one another.
#[tokio::test]
async fn rows_of_servers_are_compressed_together() {
    let link = start_router_of_many_servers().await;
    let batches = fetch::request(link.address(), &key(), Versions::default()).await;
    let batches = batches.expect("rows").batches;
    let (topic, batch) = &batches[0];
    assert_eq!((*topic, batch.is_snapshot), (Topic::Servers, true));
    assert_eq!(batch.rows.len() as u64, SERVERS);
    let values = batch.rows.iter().filter_map(|row| row.value.as_deref());
    let bytes: usize = values.map(<[u8]>::len).sum();
    let carried = usize::try_from(link.carried()).expect("a size");
    assert!(carried * 5 < bytes, "{carried} of {bytes}");
}

/// Routers of the previous version ask without the mark for compressed rows, and do not
/// understand them.
#[tokio::test]
async fn rows_are_sent_plain_to_the_previous_version() {
    let link = start_router_of_many_servers().await;
    let mut old = gateway::link::Link::connect(link.address(), &key())
        .await
        .expect("a link");
    old.writer
        .send(&Versions::default())
        .await
        .expect("a request");
    // The header of a topic, by its number in the previous version.
    let header: wire::hop::Frame<OldTopic> = old.reader.receive().await.expect("a reply");
    assert!(matches!(
        header,
        wire::hop::Frame::Message(OldTopic::Topic(Topic::Servers, SERVERS, true))
    ));
}

/// The beginning of a reply of the previous version.
#[derive(Debug, serde::Deserialize)]
enum OldTopic {
    Topic(Topic, u64, bool),
}
