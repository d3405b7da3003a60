//! The HTTP API of an administration whose platform fails.

use std::time::Duration;

use admin::{
    fleet,
    process::{self, Process},
    settings::{self, Settings},
};
use bytes::Bytes;
use config::{
    refused::Reason,
    response::{Accepted, Code, Failure, History, List, Outcome, Verdict},
};
use hyper::{Method, StatusCode, header};
use serde_json::{Value, json};
use standin::platform::{self as platform_standin, Fault};
use storage::http::{self, Response};
use tokio::time::{self, Instant};

/// A platform stand-in, an administration that uses it and a client of the latter.
struct Fixture {
    platform: platform_standin::Handle,
    _process: Process,
    client: http::Client,
}

async fn start(operators: &str) -> Fixture {
    let platform = platform_standin::start(platform_standin::Settings::default())
        .await
        .expect("platform");
    let settings = Settings {
        platform: platform.address(),
        operators: operators.parse().expect("operators"),
        store: settings::Store {
            poll_interval: Duration::from_millis(20),
            read_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(1),
            ..settings::Store::default()
        },
        ..Settings::default()
    };
    let process = process::start(&settings).await.expect("process");
    let client = http::Client::new(process.address());
    let fixture = Fixture {
        platform,
        _process: process,
        client,
    };
    fixture.wait_until(|fixture| fixture.is_ready()).await;
    fixture
}

/// Maximum number of repeats until a change has to be accepted.
const MAX_REPEATS: usize = 100;

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

impl Fixture {
    async fn call(&self, method: Method, path: &str, body: &Value, token: &str) -> Response {
        let body = Bytes::from(body.to_string());
        let mut request = http::request(method, path, body).expect("request");
        let token = format!("Bearer {token}").parse().expect("header");
        request.headers_mut().insert(header::AUTHORIZATION, token);
        self.client
            .call(request, deadline())
            .await
            .expect("response")
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
    async fn wait_until<'a, F: Future<Output = bool>>(&'a self, condition: impl Fn(&'a Self) -> F) {
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

fn accepted(response: &Response) -> Accepted {
    http::parse(response).expect("accepted")
}

fn failure(response: &Response) -> config::response::Error {
    http::parse::<Failure>(response).expect("failure").error
}

// Two operators read the same workspace and change it concurrently. Without
// conditional writes the earlier change would be overwritten silently.
#[tokio::test]
async fn of_two_concurrent_changes_one_commits_and_the_other_gets_the_current_generation() {
    let fixture = start("").await;
    fixture.post(&workspace("first", 1, 0)).await;
    for round in 1..20_u64 {
        let one = workspace(&format!("a{round}"), 100 + round, round);
        let two = workspace(&format!("b{round}"), 200 + round, round);
        let (one, two) = tokio::join!(fixture.post(&one), fixture.post(&two));
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
    let history = fixture.history().await;
    assert_eq!(20, history.changes.len());
    let conflicts = history.refused.iter();
    let conflicts = conflicts.filter(|refused| refused.reason == Reason::Conflict);
    assert_eq!(
        19,
        conflicts.count(),
        "the conflicts are recorded in the audit trail"
    );
}

// The platform commits a change and its response is lost. The operator repeats the
// change, since its outcome is unknown, and it must not be applied twice.
#[tokio::test]
async fn a_change_whose_response_was_lost_is_applied_once() {
    let fixture = start("").await;
    fixture
        .platform
        .set_fault(Fault::LoseAnswer { count: Some(1) });
    let change = workspace("landed", 2, 0);
    let first = fixture.post(&change).await;
    assert_eq!(StatusCode::OK, first.status);
    let again = accepted(&fixture.post(&change).await);
    assert_eq!(Outcome::Repeated, again.outcome);
    assert_eq!(accepted(&first).revision, again.revision);
    assert_eq!(1, fixture.history().await.changes.len());
}

// All responses of the platform to writes are lost, so the outcome of a change cannot
// be determined in time. The change must not be reported as not run, since it may be
// in force later.
#[tokio::test]
async fn a_change_of_unknown_outcome_is_not_reported_as_not_run() {
    let fixture = start("").await;
    fixture
        .platform
        .set_fault(Fault::LoseAnswer { count: None });
    let change = workspace("unsure", 2, 0);
    let first = fixture.post(&change).await;
    if first.status != StatusCode::OK {
        assert_eq!(Verdict::MayHaveRun, failure(&first).verdict);
    }
    fixture.platform.set_fault(Fault::Normal);
    let again = accepted(&fixture.post(&change).await);
    assert_eq!(Outcome::Repeated, again.outcome);
    assert_eq!(1, fixture.history().await.changes.len());
}

// The platform is down or does not respond for a long time. Operators can still read
// the configuration in force and its age, and a change that cannot be committed is
// refused as not run.
#[yare::parameterized(
    down = { Fault::Down },
    silent = { Fault::Silent },
    crashed = { Fault::Crash },
)]
#[test_macro(tokio::test)]
async fn while_the_platform_is_down_reads_are_marked_stale_and_writes_are_refused(fault: Fault) {
    let fixture = start("").await;
    fixture.post(&workspace("before", 2, 0)).await;
    fixture.platform.set_fault(fault);
    fixture
        .wait_until(async |fixture| fixture.list().await.freshness.platform == "down")
        .await;
    let refused = fixture.post(&workspace("during", 3, 1)).await;
    assert_eq!(StatusCode::SERVICE_UNAVAILABLE, refused.status);
    assert!(refused.headers.contains_key(header::RETRY_AFTER));
    let error = failure(&refused);
    assert_eq!(
        (Code::PlatformDown, Verdict::NotRun),
        (error.code, error.verdict)
    );
    let earlier = fixture.list().await.freshness;
    time::sleep(Duration::from_millis(5)).await;
    let later = fixture.list().await.freshness;
    let metrics = fixture.get("/metrics").await.body;
    let metrics = String::from_utf8_lossy(&metrics);
    assert!(metrics.contains("weir_admin_platform_up 0"), "{metrics}");
    assert!(metrics.contains("outcome=\"unavailable\"} 1"), "{metrics}");
    assert_eq!(1, later.revision.0);
    assert!(later.age_ms > earlier.age_ms, "{later:?} after {earlier:?}");
    if fault == Fault::Crash {
        fixture.platform.restart().await.expect("restart");
    }
    fixture.platform.set_fault(Fault::Normal);
    fixture
        .wait_until(async |fixture| fixture.list().await.freshness.platform == "up")
        .await;
    let after = accepted(&fixture.post(&workspace("after", 4, 1)).await);
    assert_eq!(2, after.revision.0);
    assert_eq!(2, fixture.history().await.changes.len());
}

// A middlebox between the administration and the platform drops the state of open
// connections, while new ones work. Without new connections, operators would see an
// outage although the platform is up.
#[tokio::test]
async fn unresponsive_connections_are_replaced() {
    let fixture = start("").await;
    fixture.post(&workspace("before", 2, 0)).await;
    fixture.platform.set_fault(Fault::SilentConnections);
    let change = workspace("after", 4, 1);
    let mut revision = None;
    for _ in 0..MAX_REPEATS {
        let response = fixture.post(&change).await;
        if response.status == StatusCode::OK {
            revision = Some(accepted(&response).revision.0);
            break;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(Some(2), revision);
}

#[tokio::test]
async fn tokens_and_roles_are_enforced() {
    let hash = |token: &str| blake3::hash(token.as_bytes()).to_hex().to_string();
    let operators = format!(
        "ann:write:{},bob:read:{}",
        hash("secret-a"),
        hash("secret-b")
    );
    let fixture = start(&operators).await;
    let change = workspace("one", 2, 0);
    let mut statuses = Vec::new();
    for token in ["wrong", "secret-b", "secret-a"] {
        let read = fixture.call(Method::GET, "/v1/resources", &Value::Null, token);
        let read = read.await.status.as_u16();
        let write = fixture.call(Method::POST, "/v1/changes", &change, token);
        statuses.push((read, write.await.status.as_u16()));
    }
    assert_eq!(vec![(401, 401), (200, 403), (200, 200)], statuses);
    let history = fixture.call(Method::GET, "/v1/changes", &Value::Null, "secret-b");
    let history: History = http::parse(&history.await).expect("history");
    assert_eq!("ann", history.changes[0].who.as_str());
}

#[tokio::test]
async fn all_faults_of_a_change_are_reported_at_once() {
    let fixture = start("").await;
    let change = json!({
        "id": "x y",
        "puts": [
            {"type": "pool", "name": "p", "kind": "engine", "load_bound": 0.5, "sise": 1,
             "servers": [{"name": "e", "zone": "a", "address": "127.0.0.1:0"}]},
            {"type": "route", "name": "r", "path": "/healthz", "pool": "p"}],
        "deletes": ["planet/x"],
    });
    let response = fixture.post(&change).await;
    assert_eq!(StatusCode::UNPROCESSABLE_ENTITY, response.status);
    let paths: Vec<String> = failure(&response)
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
    assert_eq!(0, fixture.history().await.changes.len());
}

// The status responses of routers grow with the fleet. The bandwidth that routers spend
// on them must not grow as well.
#[yare::parameterized(
    three_zones_with_two_routers_each = { 2_000, "a a b b c c", 1_000 },
    one_zone_with_a_single_router = { 2_000, "a a b", 2_000 },
    large_responses = { 8_000, "a a a a b b b b", 2_000 },
    no_response = { 0, "", 0 },
)]
fn fleet_polling_costs_a_router_at_most_a_kilobyte_per_second(
    response_bytes: u64,
    zones: &str,
    millis: u64,
) {
    let zones: Vec<_> = zones.split(' ').map(|zone| zone.parse().ok()).collect();
    assert_eq!(
        Duration::from_millis(millis),
        fleet::min_poll_interval(response_bytes, &zones)
    );
}
