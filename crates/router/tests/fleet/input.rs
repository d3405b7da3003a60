//! Invalid requests and settings.

use std::process::Command;

use yare::parameterized;

use crate::{
    client::Call,
    cluster::{Cluster, Topology},
};

fn chat() -> Call {
    Call::chat("c", "hello", 2)
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_a_final_error() {
    let cluster = Cluster::start(Topology::default()).await;
    let long = "x".repeat(300);
    let cases = [
        (chat().without("x-weir-workspace"), 403, "unknown_workspace"),
        (
            chat().header("x-weir-workspace", "nobody"),
            403,
            "unknown_workspace",
        ),
        (
            chat().header("x-weir-workspace", "a b"),
            403,
            "unknown_workspace",
        ),
        (chat().header("x-weir-workspace", "locked"), 401, "bad_key"),
        (
            chat()
                .header("x-weir-workspace", "locked")
                .header("authorization", "Bearer wrong"),
            401,
            "bad_key",
        ),
        (chat().without("x-weir-chat"), 400, "missing_chat"),
        (chat().header("x-weir-chat", &long), 400, "malformed"),
        (chat().header("x-weir-timeout-ms", "soon"), 400, "malformed"),
        (
            Call::post("/v1/chat/completions", "{").header("x-weir-chat", "c"),
            400,
            "malformed",
        ),
        (Call::booking(&long), 400, "malformed"),
        (
            chat().header("x-long", &"x".repeat(40 * 1024)),
            413,
            "too_large",
        ),
        (
            Call::post("/bookings", &"x".repeat(9 * 1024 * 1024)),
            413,
            "too_large",
        ),
    ];
    for (call, status, code) in cases {
        let response = cluster.send(0, &call).await;
        assert_eq!(response.status, status, "{}", response.body);
        assert_eq!(response.error("code"), code);
        assert_eq!(response.error("verdict"), "not_run");
        assert_eq!(response.error("request_id").len(), 16);
        assert_eq!(response.request_id, Some(response.error("request_id")));
    }
    let key = chat()
        .header("x-weir-workspace", "locked")
        .header("authorization", "Bearer secret");
    assert_eq!(cluster.send_until_served(0, &key).await.status, 200);
}

#[parameterized(
    address = { &["--listen", "here"], "--listen (WEIR_LISTEN): got \"here\", allowed: an IP address and a port" },
    zone = { &["--zone", "a b"], "--zone (WEIR_ZONE): got \"a b\", allowed: 1 to 64" },
    absent = { &[], "--platform (WEIR_PLATFORM): got nothing" },
    key = { &[], "WEIR_FLEET_KEY: got a hidden value, allowed: 64 hex digits" },
)]
fn all_invalid_settings_are_reported(flags: &[&str], expected: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_weir-router"))
        .args(flags)
        .env("WEIR_FLEET_KEY", "short")
        .output()
        .expect("the router runs");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(expected), "{text}");
    assert!(
        !text.contains("short"),
        "a secret must not be shown: {text}"
    );
}
