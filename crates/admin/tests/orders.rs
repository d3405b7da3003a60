//! Concurrent orders to engines through two administrations.

use std::time::Duration;

use admin::{
    process::{self, Process},
    settings::{self, Settings},
};
use bytes::Bytes;
use config::response::{Code, Failure, Verdict};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin::{
    engine,
    platform::{self as platform_standin, Fault},
};
use storage::http;
use tokio::time::{self, Instant};

const ROUNDS: usize = 4;
/// The timeout of whatever has to succeed: on a busy machine, processes may stand still for
/// seconds.
const PATIENCE: Duration = Duration::from_secs(60);

fn settings(platform: &platform_standin::Handle, host: &str) -> Settings {
    Settings {
        platform: platform.address(),
        host: Some(host.parse().expect("name")),
        store: settings::Store {
            poll_interval: Duration::from_millis(20),
            read_timeout: PATIENCE,
            call_timeout: PATIENCE,
            write_timeout: PATIENCE,
            ..settings::Store::default()
        },
        orders: settings::Orders {
            lease: orders::Settings {
                duration: Duration::from_millis(600),
                renewal_interval: Duration::from_millis(200),
                order_timeout: Duration::from_millis(300),
                clock_margin: Duration::from_millis(50),
                retry_delay: Duration::from_millis(50),
            },
            idle_timeout: Duration::from_millis(100),
        },
        ..Settings::default()
    }
}

async fn post(process: &Process, path: &str, body: &Value) -> http::Response {
    let body = Bytes::from(body.to_string());
    let request = http::request(Method::POST, path, body).expect("request");
    let deadline = Instant::now() + PATIENCE;
    let client = http::Client::new(process.address());
    client.call(request, deadline).await.expect("response")
}

/// Declares the engine through `process`.
async fn declare(process: &Process, engine: &engine::Handle, checks: bool) {
    let change = json!({"id": "declare", "puts": [{
        "type": "pool", "name": "engines", "kind": "engine", "checks_fencing": checks,
        "servers": [{"name": "e1", "zone": "a", "address": engine.address().to_string()}],
    }]});
    let response = post(process, "/v1/changes", &change).await;
    assert_eq!(StatusCode::OK, response.status, "{response:?}");
}

/// Waits until `process` has loaded the pool of the engine.
async fn wait_for_engine(process: &Process) {
    let client = http::Client::new(process.address());
    loop {
        let request = http::request(Method::GET, "/v1/resources/pool/engines", Bytes::new());
        let deadline = Instant::now() + PATIENCE;
        let response = client.call(request.expect("request"), deadline).await;
        if response.expect("response").status == StatusCode::OK {
            return;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// Sends one order and retries it while the other administration holds the lease.
async fn submit(process: &Process, model: String) -> String {
    let order = json!({"server": "e1", "order": {"kind": "load", "model": model}});
    loop {
        let response = post(process, "/v1/orders", &order).await;
        match response.status {
            StatusCode::OK => return model,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::CONFLICT => {
                time::sleep(Duration::from_millis(20)).await;
            }
            status => panic!("{status}: {response:?}"),
        }
    }
}

// Two operators send orders to the same engine through two administrations
// concurrently. Without a lease, an earlier order could arrive after a later one and
// undo it, which would go unnoticed if the engine does not check fencing tokens.
#[yare::parameterized(
    checked = { true },
    ignored = { false },
)]
#[test_macro(tokio::test)]
async fn orders_of_two_lease_holders_do_not_interleave(checks: bool) {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .unwrap();
    let engine = engine::start(engine::Settings {
        checks_fencing_token: checks,
        ..engine::Settings::default()
    });
    let engine = engine.await.unwrap();
    let one = process::start(&settings(&platform, "one")).await.unwrap();
    let two = process::start(&settings(&platform, "two")).await.unwrap();
    declare(&one, &engine, checks).await;
    tokio::join!(wait_for_engine(&one), wait_for_engine(&two));
    let mut submitted = Vec::new();
    for round in 0..ROUNDS {
        let first = submit(&one, format!("one-{round}"));
        let second = submit(&two, format!("two-{round}"));
        submitted.extend(<[String; 2]>::from(tokio::join!(first, second)));
    }
    submitted.sort();
    let executed = engine.orders();
    let fences: Vec<u64> = executed.iter().map(|fenced| fenced.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    // No fencing token was used by both administrations.
    for pair in executed.windows(2) {
        let name = |fenced: &engine::Fenced| fenced.order.model.clone().unwrap_or_default();
        let (before, after) = (name(&pair[0]), name(&pair[1]));
        if before.split('-').next() != after.split('-').next() {
            assert!(pair[0].fence < pair[1].fence, "{before} and {after}");
        }
    }
    let mut models: Vec<String> = executed
        .iter()
        .filter_map(|fenced| fenced.order.model.clone())
        .collect();
    models.sort();
    assert_eq!(submitted, models, "each order is executed once");
}

// The platform is down, so the holder of the lease is unknown. An order that is sent
// anyway could conflict with an order of the holder.
#[tokio::test]
async fn no_order_is_sent_while_the_platform_is_down() {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .unwrap();
    let engine = engine::start(engine::Settings::default()).await.unwrap();
    let process = process::start(&settings(&platform, "one")).await.unwrap();
    declare(&process, &engine, true).await;
    platform.set_fault(Fault::Down);
    let order = json!({"server": "e1", "order": {"kind": "load", "model": "m"}});
    loop {
        let response = post(&process, "/v1/orders", &order).await;
        assert_eq!(StatusCode::SERVICE_UNAVAILABLE, response.status);
        let failure: Failure = http::parse(&response).unwrap();
        assert_eq!(Verdict::NotRun, failure.error.verdict);
        if failure.error.code == Code::PlatformDown {
            break;
        }
    }
    assert!(engine.orders().is_empty());
}
