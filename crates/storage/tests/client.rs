//! The clients of a platform that fails.

use std::time::Duration;

use standin::{
    fixed,
    platform::{self as stand, Fault},
};
use storage::{
    Conflict, Error,
    objects::{self, Objects},
    table::{self, Check, Put, Range, Table, Transaction},
};
use tokio::time::Instant;
use units::revision::Generation;

async fn start() -> (stand::Handle, table::Client) {
    let platform = stand::start(stand::Settings::default())
        .await
        .expect("the platform starts");
    let table = table::Client::new(platform.address());
    (platform, table)
}

fn deadline_in(millis: u64) -> Instant {
    Instant::now() + Duration::from_millis(millis)
}

fn put(key: &str, generation: u64) -> Transaction {
    Transaction {
        checks: vec![Check {
            key: String::from(key),
            generation: Generation(generation),
        }],
        puts: vec![Put {
            key: String::from(key),
            value: generation.into(),
        }],
        deletes: Vec::new(),
    }
}

#[tokio::test]
async fn rows_are_written_under_conditions_and_read_in_order() {
    let (_platform, table) = start().await;
    let mut created = Vec::new();
    for key in ["a/1", "a/2 %&", "b/1"] {
        let generations = table
            .transact(&put(key, 0), deadline_in(10_000))
            .await
            .unwrap();
        created.push(generations[0]);
    }
    let conflict = table.transact(&put("a/1", 0), deadline_in(10_000)).await;
    let current = Conflict {
        key: String::from("a/1"),
        generation: created[0],
    };
    assert_eq!(Err(Error::Conflict(vec![current])), conflict);
    let row = table
        .read("a/1", deadline_in(10_000))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(created[0], row.generation);
    let range = Range {
        prefix: String::from("a/"),
        ..Range::default()
    };
    let rows = table.scan(&range, deadline_in(10_000)).await.unwrap();
    let keys: Vec<&str> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(vec!["a/1", "a/2 %&"], keys);
    assert_eq!(Ok(None), table.read("c", deadline_in(10_000)).await);
}

// The service returns a thousand rows for a scan without a limit. A router that
// mistook them for all rows would serve a configuration with resources missing.
#[tokio::test]
async fn a_scan_without_a_limit_reads_all_rows() {
    let (_platform, table) = start().await;
    let put = |number: u64| Put {
        key: format!("a/{number:05}"),
        value: number.into(),
    };
    let transaction = Transaction {
        puts: (0..2_500).map(put).collect(),
        ..Transaction::default()
    };
    table
        .transact(&transaction, deadline_in(10_000))
        .await
        .unwrap();
    let rows = table
        .scan(&Range::default(), deadline_in(10_000))
        .await
        .unwrap();
    assert_eq!(2_500, rows.len());
}

#[tokio::test]
async fn an_object_is_written_once_if_it_must_be_absent() {
    let (platform, _) = start().await;
    let objects = objects::Client::new(platform.address());
    let write = |text: &'static str| {
        let absent = &objects::Condition::Absent;
        objects.put("x/1", text.into(), absent, deadline_in(10_000))
    };
    assert_eq!(Ok(()), write("first").await);
    assert_eq!(Err(Error::Conflict(Vec::new())), write("second").await);
    let object = objects.get("x/1", deadline_in(10_000)).await.unwrap();
    assert_eq!("first", object.unwrap().body);
    let keys = objects.list("x/", deadline_in(10_000)).await;
    assert_eq!(Ok(vec![String::from("x/1")]), keys);
}

// A write fails with each fault of the platform. A caller repeats a write that is
// reported as not run, so it must not have taken effect.
#[yare::parameterized(
    down = { Fault::Down, false, false },
    crashed = { Fault::Crash, false, false },
    unresponsive = { Fault::Silent, true, false },
    response_lost = { Fault::LoseAnswer { count: None }, true, true },
)]
#[test_macro(tokio::test)]
async fn an_error_states_whether_the_write_may_have_run(
    fault: Fault,
    may_have_run: bool,
    written: bool,
) {
    let (platform, table) = start().await;
    platform.set_fault(fault);
    // Only with an unresponsive platform does the call last until its deadline.
    let millis = if fault == Fault::Silent { 300 } else { 10_000 };
    let failed = table.transact(&put("a", 0), deadline_in(millis)).await;
    assert_eq!(
        may_have_run,
        matches!(failed, Err(Error::MayHaveRun(_))),
        "{failed:?}"
    );
    assert_eq!(
        !may_have_run,
        matches!(failed, Err(Error::NotRun(_))),
        "{failed:?}"
    );
    if fault == Fault::Crash {
        platform.restart().await.expect("the platform restarts");
    }
    platform.set_fault(Fault::Normal);
    let row = table.read("a", deadline_in(10_000)).await.unwrap();
    assert_eq!(written, row.is_some());
}

// A device on the path loses the state of all open connections at once, while new
// ones work. If each connection were replaced only after a failed call on it, as many
// calls would fail as there were connections.
#[tokio::test]
async fn one_failed_call_replaces_all_unresponsive_connections() {
    let (platform, table) = start().await;
    platform.set_fault(Fault::Slow { delay_ms: 50 });
    let read = || table.read("a", deadline_in(10_000));
    drop(tokio::join!(read(), read(), read(), read(), read(), read()));
    platform.set_fault(Fault::SilentConnections);
    let unresponsive = table.read("a", deadline_in(200)).await;
    assert!(
        matches!(unresponsive, Err(Error::MayHaveRun(_))),
        "{unresponsive:?}"
    );
    assert_eq!(Ok(None), table.read("a", deadline_in(5_000)).await);
}

/// Guards against a part of an object, or of a list, that is taken for all of it because the
/// response broke off.
#[yare::parameterized(
    neither_length_nor_chunks = { "", "{\"keys\":[]}", false },
    length = { "Content-Length: 11\r\n", "{\"keys\":[]}", true },
    short = { "Content-Length: 11\r\n", "{\"keys\"", false },
    chunks = { "Transfer-Encoding: chunked\r\n", "b\r\n{\"keys\":[]}\r\n0\r\n\r\n", true },
    no_last_chunk = { "Transfer-Encoding: chunked\r\n", "b\r\n{\"keys\":[]}\r\n", false },
    misspelt_coding = { "Transfer-Encoding: chunkex\r\n", "b\r\n{\"keys\":[]}\r\n0\r\n\r\n", false },
    unknown_coding = { "Transfer-Encoding: gzip, chunked\r\n", "b\r\n{\"keys\":[]}\r\n0\r\n\r\n", false },
    coding_and_length = { "Transfer-Encoding: chunkex\r\nContent-Length: 11\r\n", "{\"keys\":[]}", false },
    length_listed = { "Content-Length: 11, 11\r\n", "{\"keys\":[]}", false },
)]
#[test_macro(tokio::test)]
async fn an_object_is_read_whole_or_not_at_all(fields: &str, body: &str, is_read: bool) {
    let (platform, _) = start().await;
    let response = format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n{body}");
    let server = fixed::Server::start(platform.address(), "GET", response.as_bytes());
    let server = server.await.expect("a port");
    let objects = objects::Client::new(server.address());
    let object = objects.get("x/1", deadline_in(10_000)).await;
    assert_eq!(object.is_ok(), is_read, "{object:?}");
}

/// Guards against an answer whose status is none, which is taken for an object.
#[yare::parameterized(
    zeros = { "000 OK" },
    below_all = { "099 OK" },
    letters = { "2OO OK" },
    interim = { "101 OK" },
    above_all = { "600 OK" },
)]
#[test_macro(tokio::test)]
async fn an_answer_without_a_status_is_no_object(status: &str) {
    let (platform, _) = start().await;
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 11\r\n\r\n{{\"keys\":[]}}");
    let server = fixed::Server::start(platform.address(), "GET", response.as_bytes());
    let server = server.await.expect("a port");
    let objects = objects::Client::new(server.address());
    let object = objects.get("x/1", deadline_in(10_000)).await;
    assert!(object.is_err(), "{object:?}");
}

/// Guards against a list that ends early because its response broke off.
#[tokio::test]
async fn a_list_that_broke_off_is_no_list() {
    let (platform, _) = start().await;
    let response = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"keys\":[\"x/1\"";
    let server = fixed::Server::start(platform.address(), "GET", response);
    let server = server.await.expect("a port");
    let objects = objects::Client::new(server.address());
    let keys = objects.list("x/", deadline_in(10_000)).await;
    assert!(keys.is_err(), "{keys:?}");
}

/// Guards against an object that is taken from a response whose head broke off, at each of its bytes.
#[yare::parameterized(
    length = { "Content-Length: 11\r\n", "{\"keys\":[]}" },
    chunks = { "Transfer-Encoding: chunked\r\n", "b\r\n{\"keys\":[]}\r\n0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn an_object_whose_head_broke_off_is_not_read(fields: &str, body: &str) {
    let (platform, _) = start().await;
    let response = format!("HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n{body}");
    for length in 0..response.len() {
        let part = &response.as_bytes()[..length];
        let server = fixed::Server::start(platform.address(), "GET", part);
        let server = server.await.expect("a port");
        let objects = objects::Client::new(server.address());
        let object = objects.get("x/1", deadline_in(1_000)).await;
        assert!(object.is_err(), "{length} bytes: {object:?}");
    }
}
