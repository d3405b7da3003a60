//! Tests of the engine stand-in.

use std::net::SocketAddr;

use serde_json::json;
use standin::{
    engine::{self, Fault, Settings},
    payload,
};
use tokio::task::JoinSet;
use yare::parameterized;

use crate::client::{self, Connection, Response};

const TOKENS: u32 = 8;
const PATH: &str = "/v1/chat/completions";

fn body(messages: &[&str], stream: bool) -> String {
    let messages: Vec<_> = messages
        .iter()
        .enumerate()
        .map(|(i, text)| json!({"role": if i % 2 == 0 { "user" } else { "assistant" }, "content": text}))
        .collect();
    json!({"model": "m", "messages": messages, "stream": stream, "max_tokens": TOKENS}).to_string()
}

async fn complete(
    address: SocketAddr,
    chat: &str,
    messages: &[&str],
    stream: bool,
) -> Option<Response> {
    let headers = [("x-weir-chat", chat), ("x-weir-workspace", "w")];
    client::send(address, "POST", PATH, &headers, &body(messages, stream)).await
}

fn cached_tokens(response: &Response) -> u64 {
    response.json()["usage"]["cached_tokens"]
        .as_u64()
        .expect("the response has a usage")
}

#[tokio::test]
async fn response_text_is_deterministic_with_and_without_streaming() {
    let engine = engine::start(Settings::default()).await.unwrap();
    let expected = payload::text("hello there", TOKENS);
    let whole = complete(engine.address(), "c", &["hello there"], false)
        .await
        .unwrap();
    assert_eq!(whole.json()["choices"][0]["message"]["content"], expected);
    let stream = complete(engine.address(), "c", &["hello there"], true)
        .await
        .unwrap();
    assert_eq!((stream.streamed_text(), stream.is_done()), (expected, true));
}

// A chat returns to an engine that has served another chat since. If the cache has no capacity
// for both prefixes, the first one was evicted and the whole prompt is computed again.
#[parameterized(
    capacity_for_both_prefixes = { 1000, 10 },
    capacity_for_one_prefix = { 12, 0 },
)]
#[test_macro(tokio::test)]
async fn prefix_stays_cached_within_capacity(cache_tokens: u64, expected: u64) {
    let settings = Settings {
        cache_tokens,
        ..Settings::default()
    };
    let engine = engine::start(settings).await.unwrap();
    let first = complete(engine.address(), "one", &["a question"], false)
        .await
        .unwrap();
    let reply = first.json()["choices"][0]["message"]["content"].clone();
    complete(engine.address(), "two", &["another question"], false)
        .await
        .unwrap();
    let messages = ["a question", reply.as_str().unwrap(), "and more"];
    let again = complete(engine.address(), "one", &messages, false)
        .await
        .unwrap();
    assert_eq!(cached_tokens(&again), expected);
}

// An engine turns cold without notice while it has more requests in flight than a cold engine
// can run. Routers can't react at once, so a few excess requests must not crash it.
#[tokio::test(flavor = "multi_thread")]
async fn overload_within_tolerance_after_turning_cold_does_not_crash_engine() {
    let settings = Settings {
        cold_capacity: 1,
        cold_overload_tolerance: 3,
        cold_requests: 100,
        ..Settings::default()
    };
    let engine = engine::start(settings).await.unwrap();
    engine.set_fault(Fault::TurnCold);
    let address = engine.address();
    let mut callers = JoinSet::new();
    for caller in 0..4 {
        callers.spawn(async move { complete(address, &format!("{caller}"), &["x"], false).await });
    }
    assert!(callers.join_all().await.iter().all(Option::is_some));
    assert_eq!(engine.counters().falls, 0);
}

// An engine gets the load of a warm one right after its start. It crashes, and the connections
// of all requests in flight are closed.
#[tokio::test(flavor = "multi_thread")]
async fn overload_while_cold_crashes_engine() {
    let settings = Settings {
        cold_requests: 100,
        cold_capacity: 2,
        ..Settings::default()
    };
    let engine = engine::start(settings).await.unwrap();
    let address = engine.address();
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        callers.spawn(async move { complete(address, &format!("{caller}"), &["x"], false).await });
    }
    let responses = callers.join_all().await;
    assert!(responses.iter().any(Option::is_none));
    assert_eq!(engine.counters().falls, 1);
    engine.restart().await.unwrap();
    assert!(complete(address, "c", &["x"], false).await.is_some());
}

// The connection of a stream closes halfway. The client can resume the stream with the number
// of events received so far and gets the rest.
#[tokio::test]
async fn cut_stream_can_be_resumed() {
    let engine = engine::start(Settings::default()).await.unwrap();
    engine.set_fault(Fault::CutStream { count: 1 });
    let cut = complete(engine.address(), "c", &["hello"], true)
        .await
        .unwrap();
    assert!(!cut.is_complete && !cut.is_done());
    let received = cut.text.matches("data: ").count();
    let path = format!("/streams/{}?from={received}", cut.attempt());
    let rest = client::send(engine.address(), "GET", &path, &[], "")
        .await
        .unwrap();
    assert!(rest.is_done());
    let text = cut.streamed_text() + &rest.streamed_text();
    assert_eq!(text, payload::text("hello", TOKENS));
}

// A server ends a stream early with a valid end of body. A client that takes the end of the
// body for the end of the response would present a truncated response as complete.
#[tokio::test]
async fn truncated_stream_ends_cleanly_without_done_event() {
    let engine = engine::start(Settings::default()).await.unwrap();
    engine.set_fault(Fault::ShortStream { count: 1 });
    let short = complete(engine.address(), "c", &["hello"], true)
        .await
        .unwrap();
    assert!(short.is_complete && !short.is_done());
}

// Two responses are swapped, and a user would read the response to another user. The echoed
// attempt id reveals the mismatch.
#[parameterized(
    streamed = { true },
    whole = { false },
)]
#[test_macro(tokio::test)]
async fn crossed_response_echoes_another_attempt(stream: bool) {
    let engine = engine::start(Settings::default()).await.unwrap();
    engine.set_fault(Fault::CrossedAnswer { count: 1 });
    let headers = [("x-weir-attempt", "0000000000000001")];
    let request = body(&["hello"], stream);
    let crossed = client::send(engine.address(), "POST", PATH, &headers, &request).await;
    let second = client::send(engine.address(), "POST", PATH, &headers, &request).await;
    assert_ne!(crossed.unwrap().attempt(), "0000000000000001");
    assert_eq!(second.unwrap().attempt(), "0000000000000001");
}

// A middlebox between two hosts has dropped the state of a connection. Requests on it are never
// answered, although the engine is healthy and answers requests on new connections.
#[tokio::test]
async fn silent_connection_returns_nothing_while_new_connections_work() {
    let engine = engine::start(Settings::default()).await.unwrap();
    let mut old = Connection::open(engine.address()).await.unwrap();
    assert!(old.send("GET", "/load", &[], "").await.is_some());
    engine.set_fault(Fault::SilentConnections);
    let on_old = old.send("GET", "/load", &[], "");
    tokio::pin!(on_old);
    for _ in 0..50 {
        tokio::select! {
            biased;
            response = &mut on_old => panic!("the silent connection returned {response:?}"),
            response = client::send(engine.address(), "GET", "/load", &[], "") => {
                assert!(response.is_some());
            }
        }
    }
}

// A poison request crashes each engine that runs it, which also breaks all other requests on
// that engine.
#[tokio::test]
async fn poison_request_crashes_engine() {
    let settings = Settings {
        poison: Some(String::from("poison")),
        ..Settings::default()
    };
    let engine = engine::start(settings).await.unwrap();
    assert!(
        complete(engine.address(), "c", &["some poison here"], false)
            .await
            .is_none()
    );
    assert!(Connection::open(engine.address()).await.is_none());
    engine.restart().await.unwrap();
    assert!(
        complete(engine.address(), "c", &["harmless"], false)
            .await
            .is_some()
    );
}

// A paused controller resumes and sends an order with the fencing token of its expired lease.
// An engine that checks the token rejects the order; one that doesn't loads the wrong model.
#[parameterized(
    checks = { true, 409, 1 },
    ignores = { false, 200, 2 },
)]
#[test_macro(tokio::test)]
async fn stale_fencing_token_is_rejected_if_checked(checks: bool, status: u16, orders: usize) {
    let settings = Settings {
        checks_fencing_token: checks,
        ..Settings::default()
    };
    let engine = engine::start(settings).await.unwrap();
    let order =
        |fence: u64| json!({"fence": fence, "order": {"kind": "load", "model": "m"}}).to_string();
    client::send(engine.address(), "POST", "/orders", &[], &order(2))
        .await
        .unwrap();
    let stale = client::send(engine.address(), "POST", "/orders", &[], &order(1))
        .await
        .unwrap();
    assert_eq!(
        (stale.status.as_u16(), engine.orders().len()),
        (status, orders)
    );
}
