//! Compares the responses and logs of a session with a golden file.
//!
//! `UPDATE_GOLDEN=1 cargo test -p router golden` rewrites the file.

use std::{env, fs, path::Path};

use standin::service;

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until},
};

/// A value that differs between runs and is masked.
struct Mask {
    /// The text before the value.
    before: &'static str,
    /// The replacement of the value.
    mask: &'static str,
    /// Whether a character belongs to the value.
    matches: fn(char) -> bool,
}

const MASKS: [Mask; 4] = [
    mask("time=", "TIME", is_not_whitespace),
    mask("attempt=", "ATTEMPT", is_not_whitespace),
    mask("head_ms=", "MS", is_not_whitespace),
    mask("\"id\":\"", "ID", is_hex),
];

const fn mask(before: &'static str, mask: &'static str, matches: fn(char) -> bool) -> Mask {
    Mask {
        before,
        mask,
        matches,
    }
}

fn is_not_whitespace(c: char) -> bool {
    !c.is_whitespace()
}

fn is_hex(c: char) -> bool {
    c.is_ascii_hexdigit()
}

fn masked(line: &str) -> String {
    MASKS
        .iter()
        .fold(String::from(line), |line, mask| apply_mask(&line, mask))
}

fn apply_mask(line: &str, mask: &Mask) -> String {
    let mut out = String::new();
    let mut rest = line;
    while let Some(at) = rest.find(mask.before) {
        let (head, tail) = rest.split_at(at + mask.before.len());
        let end = tail.find(|c| !(mask.matches)(c)).unwrap_or(tail.len());
        out.push_str(head);
        out.push_str(if end > 0 { mask.mask } else { "" });
        rest = &tail[end..];
    }
    out + rest
}

/// Makes a call, and returns it with its response and log lines.
async fn step(cluster: &Cluster, number: u32, call: Call) -> String {
    let id = format!("{number:016x}");
    let response = cluster
        .send(0, &call.clone().header("x-request-id", &id))
        .await;
    let mut text = format!("> {}\n", call.line());
    text += &format!(
        "< {} request_id={}\n",
        response.status,
        response.request_id.unwrap_or_default()
    );
    for line in response.body.lines() {
        text += &format!("< {}\n", masked(line));
    }
    // The response may arrive before the last log lines were written.
    wait_until("the request is logged", async || {
        is_complete(&logged(cluster, &id))
    })
    .await;
    text + &logged(cluster, &id) + "\n"
}

/// Returns the log lines of all routers about a request.
fn logged(cluster: &Cluster, id: &str) -> String {
    let mut text = String::new();
    for router in &cluster.routers {
        for line in router.log().iter().filter(|line| line.contains(id)) {
            text += &format!("{} {}\n", router.host, masked(line));
        }
    }
    text
}

/// Returns whether the result of the request was logged, and each hop by both the
/// entry router and the owner.
fn is_complete(log: &str) -> bool {
    let ended = log.contains("request_answered") || log.contains("request_refused");
    let hops = log.matches("way=hop").count();
    ended && hops == log.matches("slot_given").count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_matches_the_golden_file() {
    let cluster = Cluster::start(Topology::default()).await;
    // As long as a previous owner may still admit requests, some offers are refused.
    cluster.wait_for_states(&["cold", "warm"]).await;
    let mut session = String::new();
    let calls = [
        Call::chat("c", "hello", 3),
        Call::stream("c", "hello", 3),
        Call::get("/lookups/7"),
        Call::booking("pickup"),
        Call::chat("c", "hello", 3).without("x-weir-chat"),
        Call::chat("c", "hello", 3).header("x-weir-workspace", "nobody"),
    ];
    for (number, call) in (1..).zip(calls) {
        session += &step(&cluster, number, call).await;
    }
    for service in &cluster.services {
        service
            .handle
            .set_fault(service::Fault::LoseAnswer { count: Some(1) });
    }
    session += &step(&cluster, 7, Call::booking("lost")).await;
    wait_until("the outcome is recorded as unknown", async || {
        let response = cluster.send(1, &Call::booking("lost")).await;
        response.error("message").contains("outcome is unknown")
    })
    .await;
    session += &step(&cluster, 8, Call::booking("lost")).await;
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &session).expect("the golden file must be writable");
    }
    let golden = fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(session, golden);
}
