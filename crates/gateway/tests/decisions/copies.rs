//! Selection of the server from which a prompt is copied.

use std::time::Duration;

use gateway::pool::Outcome;

use crate::world::{START, admit, pool, ranked_servers, run, twelve_servers};

/// A server is being replaced, and its prompts go to servers that would compute them
/// again, although the old server still runs for a few seconds.
#[test]
fn a_prompt_is_copied_from_a_draining_server() {
    let mut entries = twelve_servers();
    let mut pool = pool(&entries);
    let former_first = run(&mut pool, 7, 0, START);
    pool.ended(&former_first.server, Outcome::Completed, START);
    for entry in &mut entries {
        entry.is_draining = entry.server == former_first.server;
    }
    pool.set_servers(entries.iter().map(|entry| (entry, entry.is_draining)));
    let placement = admit(&mut pool, 7, 1, START).expect("a placement");
    assert_ne!(placement.server, former_first.server);
    assert_eq!(placement.source, Some(former_first.address));
}

/// A new server ranks first for a prompt that other routers sent to the former first
/// server. This router has never sent the prompt, but knows a server with a part that
/// many prompts share. Copied from that one, the rest would be computed again while
/// callers wait.
#[test]
fn the_former_first_server_is_preferred_to_one_with_a_partial_prefix() {
    let first = run(&mut pool(&twelve_servers()), 7, 0, START).server;
    let before: Vec<_> = twelve_servers()
        .into_iter()
        .filter(|entry| entry.server != first)
        .collect();
    let former_first = run(&mut pool(&before), 7, 0, START);
    let mut pool = pool(&twelve_servers());
    let other_topics = (100..130).filter(|&topic| {
        let placement = run(
            &mut crate::world::pool(&twelve_servers()),
            topic,
            topic,
            START,
        );
        placement.server != first && placement.server != former_first.server
    });
    for topic in other_topics.take(4) {
        run(&mut pool, topic, topic, START);
    }
    let placement = admit(&mut pool, 7, 1, START).expect("a placement");
    assert_eq!(placement.server, first);
    assert_eq!(placement.source, Some(former_first.address));
}

/// A server that has just started ranks first for a prompt and is full. It has nothing
/// cached yet; copied from there, the prompt would be computed again, although the
/// former first server still has it.
#[test]
fn a_prompt_is_not_copied_from_a_newly_started_server() {
    let ranked = ranked_servers(1_007, &twelve_servers());
    let mut entries = twelve_servers();
    for entry in &mut entries {
        if entry.server == ranked[0] {
            entry.cold_until = START + Duration::from_secs(1);
        }
    }
    let mut pool = pool(&entries);
    pool.set_peer_load(|name| if ranked[..2].contains(name) { 20 } else { 1 });
    let now = START + Duration::from_secs(2);
    let placement = admit(&mut pool, 7, 0, now).expect("a placement");
    assert_eq!(placement.server, ranked[2]);
    let before = entries.iter().find(|entry| entry.server == ranked[1]);
    assert_eq!(placement.source, before.map(|entry| entry.address));
}

/// A server is leaving to which other routers sent a prompt. This router does not know
/// that, but the server ranks first for the prompt, so it is the most likely one to
/// have it cached.
#[test]
fn a_prompt_is_copied_from_its_draining_first_server() {
    let mut entries = twelve_servers();
    let former_first = run(&mut pool(&entries), 7, 0, START);
    for entry in &mut entries {
        entry.is_draining = entry.server == former_first.server;
    }
    let placement = admit(&mut pool(&entries), 7, 1, START).expect("a placement");
    assert_eq!(placement.source, Some(former_first.address));
}

/// Copying a few tokens takes longer than computing them.
#[test]
fn a_cached_prompt_is_not_copied() {
    let mut pool = pool(&twelve_servers());
    let first = run(&mut pool, 7, 0, START);
    let second = run(&mut pool, 7, 1, START);
    assert_eq!(second.server, first.server);
    assert_eq!(second.source, None);
}

/// A zone is partitioned. A server that is to copy a prompt from there waits a third of
/// a second before it computes the prompt itself, and so do its callers.
#[test]
fn a_prompt_is_not_copied_from_an_unreachable_zone() {
    let mut pool = pool(&twelve_servers());
    let unreachable: Vec<_> = twelve_servers()
        .into_iter()
        .filter(|entry| entry.zone.as_str() == "c")
        .collect();
    for entry in unreachable.iter().take(3) {
        pool.ended(&entry.server, Outcome::Unreachable, START);
    }
    let mut copied = 0;
    for topic in 0..40 {
        let placement = admit(&mut pool, topic, topic, START).expect("a placement");
        pool.ended(&placement.server, Outcome::Completed, START);
        if let Some(source) = placement.source {
            copied += 1;
            assert!(
                unreachable.iter().all(|entry| entry.address != source),
                "{topic}"
            );
        }
    }
    assert!(copied >= 30, "only {copied} prompts were copied");
}
