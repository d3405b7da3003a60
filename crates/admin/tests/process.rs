//! Administrations that are paused, killed or shut down during a change.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use admin::{
    process::{self, Process},
    settings::{self, Settings},
};
use bytes::Bytes;
use config::{
    response::{History, List},
    snapshot::Snapshot,
};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin::platform::{self as platform_standin, Fault};
use storage::http;
use tokio::{
    task,
    time::{self, Instant},
};

const ROUNDS: u64 = 24;

/// A `weir-admin` child process that can be paused and killed.
struct Instance {
    child: Child,
    address: SocketAddr,
}

impl Instance {
    fn start(platform: SocketAddr) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_weir-admin"))
            .args(["--listen", "127.0.0.1:0", "--platform"])
            .arg(platform.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("weir-admin");
        let output = child.stdout.take().expect("standard output");
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line).expect("line");
        let address = line.trim().strip_prefix("listening=").expect("address");
        Self {
            address: address.parse().expect("address"),
            child,
        }
    }

    fn signal(&self, name: &str) {
        // Uses the `kill` builtin of the shell, since the program may not be installed.
        let kill = format!("kill -s {name} {}", self.child.id());
        let sent = Command::new("sh").args(["-c", &kill]).status();
        assert!(sent.expect("shell").success());
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> http::Response {
    let body = Bytes::from(body.to_string());
    let request = http::request(method, path, body).expect("request");
    let deadline = Instant::now() + Duration::from_secs(60);
    let client = http::Client::new(address);
    client.call(request, deadline).await.expect("response")
}

/// Sends `change` to `instance` without waiting for the response.
fn send_and_forget(instance: &Instance, change: &Value) {
    let (address, body) = (instance.address, Bytes::from(change.to_string()));
    task::spawn(async move {
        let request = http::request(Method::POST, "/v1/changes", body).expect("request");
        let deadline = Instant::now() + Duration::from_secs(5);
        let client = http::Client::new(address);
        drop(client.call(request, deadline).await);
    });
}

async fn list(process: &Process) -> List {
    let response = call(
        process.address(),
        Method::GET,
        "/v1/resources",
        &Value::Null,
    )
    .await;
    http::parse(&response).expect("list")
}

/// Returns the change that sets the weight of the workspace to `weight`.
fn change(weight: u64, list: &List) -> Value {
    let generation = list
        .resources
        .first()
        .map_or(0, |listed| listed.generation.0);
    json!({
        "id": format!("round-{weight}"),
        "puts": [{"type": "workspace", "name": "acme", "weight": weight}],
        "expect": {"workspace/acme": generation},
    })
}

// An administration is paused or killed at some point of a change, and the operator
// repeats the change at another one. The paused administration resumes during the next
// change and continues its own. Guards against changes that are applied twice or that
// undo a later one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_interrupted_by_a_pause_or_a_kill_is_applied_once() {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .unwrap();
    let settings = Settings {
        platform: platform.address(),
        store: settings::Store {
            poll_interval: Duration::from_millis(20),
            ..settings::Store::default()
        },
        ..Settings::default()
    };
    let healthy = process::start(&settings).await.unwrap();
    let mut instances = [0, 1].map(|_| Instance::start(platform.address()));
    while call(healthy.address(), Method::GET, "/readyz", &Value::Null)
        .await
        .status
        != StatusCode::OK
    {
        time::sleep(Duration::from_millis(5)).await;
    }
    platform.set_fault(Fault::Slow { delay_ms: 5 });
    for round in 1..=ROUNDS {
        let (now, next) = if round % 2 == 0 { (0, 1) } else { (1, 0) };
        let change = change(round, &list(&healthy).await);
        send_and_forget(&instances[now], &change);
        time::sleep(Duration::from_millis(round)).await;
        instances[now].signal(if round % 5 == 0 { "KILL" } else { "STOP" });
        // Resumes the instance that was paused in the last round.
        instances[next].signal("CONT");
        let response = call(healthy.address(), Method::POST, "/v1/changes", &change).await;
        assert_eq!(
            StatusCode::OK,
            response.status,
            "round {round}: {response:?}"
        );
        if round % 5 == 0 {
            instances[now] = Instance::start(platform.address());
        }
    }
    for instance in &instances {
        instance.signal("CONT");
    }
    // Writes in flight are committed or fail before the last change is committed.
    platform.set_fault(Fault::Normal);
    let last = change(ROUNDS + 1, &list(&healthy).await);
    let response = call(healthy.address(), Method::POST, "/v1/changes", &last).await;
    assert_eq!(StatusCode::OK, response.status, "{response:?}");
    drop(instances);
    check(&healthy).await;
}

// An administration receives SIGTERM while a change is in flight. If it exited
// immediately, the outcome of the change would be unknown to the operator.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_completes_changes_in_flight() {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .unwrap();
    let mut instance = Instance::start(platform.address());
    let address = instance.address;
    let is_ready = async || {
        let response = call(address, Method::GET, "/readyz", &Value::Null).await;
        response.status == StatusCode::OK
    };
    while !is_ready().await {
        time::sleep(Duration::from_millis(5)).await;
    }
    platform.set_fault(Fault::Slow { delay_ms: 200 });
    let put = json!({"id": "last", "puts": [{"type": "zone", "name": "a"}]});
    let change = task::spawn(async move { call(address, Method::POST, "/v1/changes", &put).await });
    loop {
        let response = call(address, Method::GET, "/v1/resources", &Value::Null).await;
        let list: List = http::parse(&response).unwrap();
        if !list.pending.is_empty() {
            break;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    instance.signal("TERM");
    assert_eq!(StatusCode::OK, change.await.unwrap().status);
    let ended = task::spawn_blocking(move || instance.child.wait())
        .await
        .unwrap();
    assert_eq!(Some(0), ended.unwrap().code());
}

/// Checks that the change of each round was applied once, in order.
async fn check(process: &Process) {
    let path = "/v1/changes?from=1";
    let response = call(process.address(), Method::GET, path, &Value::Null).await;
    let history: History = http::parse(&response).expect("history");
    let mut replayed = Snapshot::default();
    for change in &history.changes {
        assert_eq!(Ok(()), replayed.apply(change));
    }
    let ids: Vec<&str> = history
        .changes
        .iter()
        .map(|change| change.id.as_str())
        .collect();
    let expected: Vec<String> = (1..=ROUNDS + 1)
        .map(|round| format!("round-{round}"))
        .collect();
    assert_eq!(expected, ids);
    let list = list(process).await;
    let listed_resources: Vec<_> = list
        .resources
        .iter()
        .map(|listed| &listed.resource)
        .collect();
    let logged: Vec<_> = replayed
        .resources()
        .map(|declared| &declared.resource)
        .collect();
    assert_eq!(logged, listed_resources);
}
