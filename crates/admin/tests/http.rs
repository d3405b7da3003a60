//! The administration over a platform that fails.

use std::time::Duration;

use admin::{
    fleet,
    process::{self, Process},
    settings::{self, Settings},
};
use bytes::Bytes;
use config::{
    answer::{Accepted, Code, Failure, History, List, Outcome, Verdict},
    refused::Reason,
};
use hyper::{Method, StatusCode, header};
use serde_json::{Value, json};
use standin::platform::{self as stand, Fault};
use storage::http::{self, Response};
use tokio::time::{self, Instant};

/// A platform, an administration over it and a client of the latter.
struct Bench {
    platform: stand::Handle,
    _process: Process,
    client: http::Client,
}

async fn start(operators: &str) -> Bench {
    let platform = stand::start(stand::Settings::default())
        .await
        .expect("platform");
    let settings = Settings {
        platform: platform.address(),
        operators: operators.parse().expect("operators"),
        store: settings::Store {
            poll: Duration::from_millis(20),
            read_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
            ..settings::Store::default()
        },
        ..Settings::default()
    };
    let process = process::start(&settings).await.expect("process");
    let client = http::Client::new(process.address());
    let bench = Bench {
        platform,
        _process: process,
        client,
    };
    bench.until(|bench| bench.is_ready()).await;
    bench
}

/// How often a change is repeated until it must have been accepted.
const MAX_REPEATS: usize = 100;

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

impl Bench {
    async fn call(&self, method: Method, path: &str, body: &Value, token: &str) -> Response {
        let body = Bytes::from(body.to_string());
        let mut request = http::request(method, path, body).expect("request");
        let token = format!("Bearer {token}").parse().expect("header");
        request.headers_mut().insert(header::AUTHORIZATION, token);
        self.client.call(request, deadline()).await.expect("answer")
    }

    async fn get(&self, path: &str) -> Response {
        self.call(Method::GET, path, &Value::Null, "x").await
    }

    async fn post(&self, body: &Value) -> Response {
        self.call(Method::POST, "/v1/changes", body, "x").await
    }

    async fn list(&self) -> List {
        http::parse(&self.get("/v1/resources").await).expect("list")
    }

    async fn history(&self) -> History {
        http::parse(&self.get("/v1/changes").await).expect("history")
    }

    async fn is_ready(&self) -> bool {
        self.get("/readyz").await.status == StatusCode::OK
    }

    /// Waits until `condition` holds.
    async fn until<'a, F: Future<Output = bool>>(&'a self, condition: impl Fn(&'a Self) -> F) {
        while !condition(self).await {
            time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn workspace(id: &str, weight: u64, generation: u64) -> Value {
    json!({
        "id": id,
        "puts": [{"type": "workspace", "name": "acme", "weight": weight}],
        "expect": {"workspace/acme": generation},
    })
}

fn accepted(answer: &Response) -> Accepted {
    http::parse(answer).expect("accepted")
}

fn failure(answer: &Response) -> config::answer::Error {
    http::parse::<Failure>(answer).expect("failure").error
}

// Two operators read the same workspace and change it at the same moment.
// Without conditional writes the earlier change would silently be gone.
#[tokio::test]
async fn of_two_changes_at_once_one_wins_and_the_other_learns_the_generation() {
    let bench = start("").await;
    bench.post(&workspace("first", 1, 0)).await;
    for round in 1..20_u64 {
        let one = workspace(&format!("a{round}"), 100 + round, round);
        let two = workspace(&format!("b{round}"), 200 + round, round);
        let (one, two) = tokio::join!(bench.post(&one), bench.post(&two));
        let (won, lost) = if one.status == StatusCode::OK {
            (one, two)
        } else {
            (two, one)
        };
        assert_eq!(StatusCode::OK, won.status);
        assert_eq!(round + 1, accepted(&won).revision.0);
        assert_eq!(StatusCode::CONFLICT, lost.status);
        let error = failure(&lost);
        assert_eq!(Verdict::NotRun, error.verdict);
        assert_eq!(round + 1, error.conflicts[0].generation.0);
    }
    let history = bench.history().await;
    assert_eq!(20, history.changes.len());
    let conflicts = history.refused.iter();
    let conflicts = conflicts.filter(|refused| refused.reason == Reason::Conflict);
    assert_eq!(19, conflicts.count(), "the losers stand in the trail");
}

// The platform commits a change and its answer gets lost. The operator repeats
// the change, since nobody told whether it landed, and must not find it twice.
#[tokio::test]
async fn a_change_whose_answer_was_lost_is_applied_once() {
    let bench = start("").await;
    bench.platform.fault(Fault::LoseAnswer { count: Some(1) });
    let change = workspace("landed", 2, 0);
    let first = bench.post(&change).await;
    assert_eq!(StatusCode::OK, first.status);
    let again = accepted(&bench.post(&change).await);
    assert_eq!(Outcome::Repeated, again.outcome);
    assert_eq!(accepted(&first).revision, again.revision);
    assert_eq!(1, bench.history().await.changes.len());
}

// Every answer of the platform to a write gets lost, so that a change can't be
// settled in time. It must not be called refused, for it is in force later.
#[tokio::test]
async fn a_change_that_cannot_be_settled_is_not_called_refused() {
    let bench = start("").await;
    bench.platform.fault(Fault::LoseAnswer { count: None });
    let change = workspace("unsure", 2, 0);
    let first = bench.post(&change).await;
    if first.status != StatusCode::OK {
        assert_eq!(Verdict::MayHaveRun, failure(&first).verdict);
    }
    bench.platform.fault(Fault::Normal);
    let again = accepted(&bench.post(&change).await);
    assert_eq!(Outcome::Repeated, again.outcome);
    assert_eq!(1, bench.history().await.changes.len());
}

// The platform's store is down or answers nobody for a long stretch. Operators
// still see what is in force and how old that is, and a change that cannot be
// committed is refused and has not run.
#[yare::parameterized(
    down = { Fault::Down },
    silent = { Fault::Silent },
    crashed = { Fault::Crash },
)]
#[test_macro(tokio::test)]
async fn with_the_platform_down_reads_are_marked_and_writes_refused(fault: Fault) {
    let bench = start("").await;
    bench.post(&workspace("before", 2, 0)).await;
    bench.platform.fault(fault);
    bench
        .until(async |bench| bench.list().await.freshness.platform == "down")
        .await;
    let refused = bench.post(&workspace("during", 3, 1)).await;
    assert_eq!(StatusCode::SERVICE_UNAVAILABLE, refused.status);
    assert!(refused.headers.contains_key(header::RETRY_AFTER));
    let error = failure(&refused);
    assert_eq!(
        (Code::PlatformDown, Verdict::NotRun),
        (error.code, error.verdict)
    );
    let earlier = bench.list().await.freshness;
    time::sleep(Duration::from_millis(5)).await;
    let later = bench.list().await.freshness;
    let metrics = bench.get("/metrics").await.body;
    let metrics = String::from_utf8_lossy(&metrics);
    assert!(metrics.contains("weir_admin_platform_up 0"), "{metrics}");
    assert!(metrics.contains("outcome=\"unavailable\"} 1"), "{metrics}");
    assert_eq!(1, later.revision.0);
    assert!(later.age_ms > earlier.age_ms, "{later:?} after {earlier:?}");
    if fault == Fault::Crash {
        bench.platform.restart().await.expect("restart");
    }
    bench.platform.fault(Fault::Normal);
    bench
        .until(async |bench| bench.list().await.freshness.platform == "up")
        .await;
    let after = accepted(&bench.post(&workspace("after", 4, 1)).await);
    assert_eq!(2, after.revision.0);
    assert_eq!(2, bench.history().await.changes.len());
}

// Something between the administration and the platform loses track of the open
// connections, while new ones work. Operators would see an outage that is none.
#[tokio::test]
async fn connections_gone_silent_are_replaced() {
    let bench = start("").await;
    bench.post(&workspace("before", 2, 0)).await;
    bench.platform.fault(Fault::SilentConnections);
    let change = workspace("after", 4, 1);
    let mut revision = None;
    for _ in 0..MAX_REPEATS {
        let answer = bench.post(&change).await;
        if answer.status == StatusCode::OK {
            revision = Some(accepted(&answer).revision.0);
            break;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Some(2), revision);
}

#[tokio::test]
async fn tokens_and_roles_are_asked_for() {
    let hash = |token: &str| blake3::hash(token.as_bytes()).to_hex().to_string();
    let operators = format!(
        "ann:write:{},bob:read:{}",
        hash("secret-a"),
        hash("secret-b")
    );
    let bench = start(&operators).await;
    let change = workspace("one", 2, 0);
    let mut statuses = Vec::new();
    for token in ["wrong", "secret-b", "secret-a"] {
        let read = bench.call(Method::GET, "/v1/resources", &Value::Null, token);
        let read = read.await.status.as_u16();
        let write = bench.call(Method::POST, "/v1/changes", &change, token);
        statuses.push((read, write.await.status.as_u16()));
    }
    assert_eq!(vec![(401, 401), (200, 403), (200, 200)], statuses);
    let history = bench.call(Method::GET, "/v1/changes", &Value::Null, "secret-b");
    let history: History = http::parse(&history.await).expect("history");
    assert_eq!("ann", history.changes[0].who.as_str());
}

#[tokio::test]
async fn all_faults_of_a_change_are_reported_at_once() {
    let bench = start("").await;
    let change = json!({
        "id": "x y",
        "puts": [
            {"type": "pool", "name": "p", "kind": "engine", "load_bound": 0.5, "sise": 1,
             "servers": [{"name": "e", "zone": "a", "address": "127.0.0.1:0"}]},
            {"type": "route", "name": "r", "path": "/healthz", "pool": "p"}],
        "deletes": ["planet/x"],
    });
    let answer = bench.post(&change).await;
    assert_eq!(StatusCode::UNPROCESSABLE_ENTITY, answer.status);
    let paths: Vec<String> = failure(&answer)
        .faults
        .into_iter()
        .map(|fault| fault.path)
        .collect();
    let expected = [
        "id",
        "puts[0].load_bound",
        "puts[0].servers[0].address",
        "puts[0].sise",
        "puts[1].path",
        "deletes[0]",
    ];
    assert_eq!(expected.as_slice(), paths.as_slice());
    assert_eq!(0, bench.history().await.changes.len());
}

// A fleet grows, and with it the answer of the routers that are asked about it.
// What they spend on control traffic must not grow with it.
#[yare::parameterized(
    today = { 2_000, "a a b b c c", 1_000 },
    one_zone_has_one = { 2_000, "a a b", 2_000 },
    region_of_a_hundred = { 8_000, "a a a a b b b b", 2_000 },
    nobody_answered = { 0, "", 0 },
)]
fn looks_at_the_fleet_cost_a_router_at_most_a_kilobyte_a_second(
    size: u64,
    zones: &str,
    millis: u64,
) {
    let zones: Vec<_> = zones.split(' ').map(|zone| zone.parse().ok()).collect();
    assert_eq!(Duration::from_millis(millis), fleet::pause(size, &zones));
}
