//! A whole session, compared with a golden file byte by byte.
//!
//! `UPDATE_GOLDEN=1 cargo test -p router golden` rewrites the file.

use std::{env, fs, path::Path};

use standin::service;

use crate::{
    client::Call,
    cluster::{Cluster, Topology, wait_until},
};

/// A value that differs from run to run.
struct Mask {
    /// The text before it.
    before: &'static str,
    /// What stands in its place.
    mask: &'static str,
    /// What it consists of.
    belongs: fn(char) -> bool,
}

const MASKS: [Mask; 4] = [
    mask("time=", "TIME", is_plain),
    mask("attempt=", "ATTEMPT", is_plain),
    mask("head_ms=", "MS", is_plain),
    mask("\"id\":\"", "ID", is_hex),
];

const fn mask(before: &'static str, mask: &'static str, belongs: fn(char) -> bool) -> Mask {
    Mask {
        before,
        mask,
        belongs,
    }
}

fn is_plain(c: char) -> bool {
    !c.is_whitespace()
}

fn is_hex(c: char) -> bool {
    c.is_ascii_hexdigit()
}

fn masked(line: &str) -> String {
    MASKS
        .iter()
        .fold(String::from(line), |line, mask| mask_one(&line, mask))
}

fn mask_one(line: &str, mask: &Mask) -> String {
    let mut out = String::new();
    let mut rest = line;
    while let Some(at) = rest.find(mask.before) {
        let (head, tail) = rest.split_at(at + mask.before.len());
        let end = tail.find(|c| !(mask.belongs)(c)).unwrap_or(tail.len());
        out.push_str(head);
        out.push_str(if end > 0 { mask.mask } else { "" });
        rest = &tail[end..];
    }
    out + rest
}

/// One call and what came back, with the log lines that name it.
async fn step(cluster: &Cluster, number: u32, call: Call) -> String {
    let id = format!("{number:016x}");
    let answer = cluster
        .send(0, &call.clone().header("x-request-id", &id))
        .await;
    let mut text = format!("> {}\n", call.line());
    text += &format!(
        "< {} request_id={}\n",
        answer.status,
        answer.request_id.unwrap_or_default()
    );
    for line in answer.body.lines() {
        text += &format!("< {}\n", masked(line));
    }
    // The answer may arrive before the last lines of the logs.
    wait_until("the request is logged", async || {
        is_complete(&logged(cluster, &id))
    })
    .await;
    text + &logged(cluster, &id) + "\n"
}

/// What the routers logged of a request.
fn logged(cluster: &Cluster, id: &str) -> String {
    let mut text = String::new();
    for router in &cluster.routers {
        for line in router.log().iter().filter(|line| line.contains(id)) {
            text += &format!("{} {}\n", router.host, masked(line));
        }
    }
    text
}

/// Whether both ends of a hop, and the end of the request, were logged.
fn is_complete(log: &str) -> bool {
    let ended = log.contains("request_answered") || log.contains("request_refused");
    let hops = log.matches("way=hop").count();
    ended && hops == log.matches("slot_given").count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_session_stays_as_it_is() {
    let cluster = Cluster::start(Topology::default()).await;
    // While an earlier owner may still admit, offers are refused now and then.
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
        let answer = cluster.send(1, &Call::booking("lost")).await;
        answer.error("message").contains("outcome is unknown")
    })
    .await;
    session += &step(&cluster, 8, Call::booking("lost")).await;
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &session).expect("the file can be written");
    }
    let golden = fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(session, golden);
}
