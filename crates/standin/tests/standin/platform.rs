//! Tests of the platform stand-in.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use standin::platform::{self, Fault, Settings};
use tokio::task::JoinSet;
use yare::parameterized;

use crate::client;

async fn transact(address: SocketAddr, transaction: serde_json::Value) -> Option<client::Response> {
    let body = transaction.to_string();
    client::send(address, "POST", "/table/transact", &[], &body).await
}

async fn value(address: SocketAddr, key: &str) -> Option<serde_json::Value> {
    let path = format!("/table/rows/{key}");
    let row = client::send(address, "GET", &path, &[], "")
        .await
        .expect("the platform responds");
    (row.status == 200).then(|| row.json()["value"].clone())
}

// Several operators write the same resource concurrently after reading the same generation. If
// more than one transaction committed, updates would be lost silently.
#[tokio::test(flavor = "multi_thread")]
async fn exactly_one_of_concurrent_transactions_commits() {
    const WRITERS: usize = 16;
    let platform = platform::start(Settings::default()).await.unwrap();
    let address = platform.address();
    let mut writers = JoinSet::new();
    for writer in 0..WRITERS {
        writers.spawn(async move {
            let transaction = json!({
                "checks": [{"key": "a", "generation": 0}],
                "puts": [{"key": "a", "value": writer}, {"key": format!("by/{writer}"), "value": 1}],
            });
            transact(address, transaction).await.unwrap().status
        });
    }
    let statuses = writers.join_all().await;
    let won = statuses.iter().filter(|status| **status == 200).count();
    let lost = statuses.iter().filter(|status| **status == 409).count();
    assert_eq!((won, lost), (1, WRITERS - 1));
    // The other puts of the rejected transactions have not taken effect either.
    let scan = client::send(address, "GET", "/table/scan?prefix=by%2F", &[], "").await;
    let rows = scan.unwrap().json()["rows"].as_array().unwrap().len();
    assert_eq!(rows, 1);
}

// A row is deleted and written again while a client still has its old generation. If
// generations started over, a check with the old generation would pass on the new row.
#[tokio::test]
async fn generation_of_deleted_row_is_not_reused() {
    let platform = platform::start(Settings::default()).await.unwrap();
    let address = platform.address();
    let put = json!({"puts": [{"key": "a", "value": 1}]});
    let first = transact(address, put.clone()).await.unwrap().json()["generations"][0].clone();
    transact(address, json!({"deletes": ["a"]})).await.unwrap();
    transact(address, put).await.unwrap();
    let stale = json!({"checks": [{"key": "a", "generation": first}], "puts": []});
    assert_eq!(transact(address, stale).await.unwrap().status, 409);
}

// The platform fails during a write. The fault decides which response the caller gets and
// whether the write takes effect.
#[parameterized(
    down = { Fault::Down, Some(503), false },
    response_lost = { Fault::LoseAnswer { count: Some(1) }, None, true },
)]
#[test_macro(tokio::test)]
async fn write_during_fault(fault: Fault, status: Option<u16>, takes_effect: bool) {
    let platform = platform::start(Settings::default()).await.unwrap();
    let address = platform.address();
    platform.set_fault(fault);
    let put = json!({"puts": [{"key": "a", "value": 7}]});
    let response = transact(address, put).await;
    assert_eq!(response.map(|a| a.status.as_u16()), status);
    platform.set_fault(Fault::Normal);
    assert_eq!(value(address, "a").await, takes_effect.then(|| json!(7)));
}

// With a lag, callers read an outdated host list: a router sees a removed host or misses a new
// one.
#[parameterized(
    no_lag = { Duration::ZERO, 1 },
    long_lag = { Duration::from_secs(3600), 0 },
)]
#[test_macro(tokio::test)]
async fn host_list_change_is_visible_after_lag(lag: Duration, seen: usize) {
    let settings = Settings {
        hosts_lag: lag,
        ..Settings::default()
    };
    let platform = platform::start(settings).await.unwrap();
    let address = platform.address();
    let hosts = r#"{"hosts":[{"name":"r","zone":"z","address":"127.0.0.1:1","role":"router"}]}"#;
    client::send(address, "PUT", "/hosts", &[], hosts).await;
    let list = client::send(address, "GET", "/hosts", &[], "")
        .await
        .unwrap();
    assert_eq!(list.json()["hosts"].as_array().unwrap().len(), seen);
}

#[tokio::test]
async fn conditional_put_checks_etag() {
    let platform = platform::start(Settings::default()).await.unwrap();
    let address = platform.address();
    let absent = [("if-none-match", "*")];
    let put = client::send(address, "PUT", "/objects/a%2Fb", &absent, "one").await;
    let tag = String::from(put.unwrap().headers["etag"].to_str().unwrap());
    let again = client::send(address, "PUT", "/objects/a%2Fb", &absent, "two").await;
    assert_eq!(again.unwrap().status, 412);
    let matching = [("if-match", tag.as_str())];
    let put = client::send(address, "PUT", "/objects/a%2Fb", &matching, "three").await;
    assert_eq!(put.unwrap().status, 200);
    let stale = client::send(address, "PUT", "/objects/a%2Fb", &matching, "four").await;
    assert_eq!(stale.unwrap().status, 412);
    let object = client::send(address, "GET", "/objects/a%2Fb", &[], "").await;
    assert_eq!(object.unwrap().text, "three");
}
