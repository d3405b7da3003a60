//! The host list over HTTP.

use std::{sync::Arc, time::Duration};

use standin::platform::{self as stand, Host};
use storage::{
    hosts::{Client, Hosts as _},
    traffic::Traffic,
};
use tokio::time;

fn host(number: usize) -> Host {
    Host {
        name: format!("engine-{number}"),
        zone: String::from("test-0"),
        address: format!("127.0.0.1:{}", 1000 + number),
        role: String::from("backend"),
        pool: Some(String::from("llm")),
        state: String::from("live"),
    }
}

// Every router polls the list each second or two. If each response held the whole
// list, the polls alone would use up a router's budget for control traffic, which
// would grow with the size of the deployment.
#[tokio::test]
async fn polling_an_unchanged_list_transfers_few_bytes() {
    let service = stand::start(stand::Settings::default())
        .await
        .expect("the platform starts");
    service.set_hosts((0..1000).map(host).collect());
    let traffic = Arc::new(Traffic::default());
    let client = Client::metered(service.address(), Arc::clone(&traffic));
    let list = async || {
        let deadline = time::Instant::now() + Duration::from_secs(10);
        client.list(deadline).await.expect("the host list")
    };
    assert_eq!(list().await.len(), 1000);
    let initial_bytes = traffic.received();
    for _ in 0..10 {
        assert_eq!(list().await.len(), 1000);
    }
    let poll_bytes = traffic.received() - initial_bytes;
    assert!(
        poll_bytes < 10 * 200,
        "ten polls received {poll_bytes} bytes"
    );
    assert!(traffic.sent() < 11 * 200, "sent {} bytes", traffic.sent());
    service.set_hosts((0..999).map(host).collect());
    assert_eq!(list().await.len(), 999);
}
