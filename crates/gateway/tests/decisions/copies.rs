//! Where prompts are copied from.

use std::time::Duration;

use gateway::pool::Outcome;

use crate::world::{START, admit, by_score, dozen, pool, run};

/// A server is replaced, and its prompts go to others that would read them
/// anew, while the one that has read them still runs for a few seconds.
#[test]
fn a_prompt_is_copied_from_a_server_that_leaves() {
    let mut entries = dozen();
    let mut pool = pool(&entries);
    let home = run(&mut pool, 7, 0, START);
    pool.ended(&home.server, Outcome::Completed, START);
    for entry in &mut entries {
        entry.is_draining = entry.server == home.server;
    }
    pool.set_servers(entries.iter().map(|entry| (entry, entry.is_draining)));
    let place = admit(&mut pool, 7, 1, START).expect("a place");
    assert_ne!(place.server, home.server);
    assert_eq!(place.source, Some(home.address));
}

/// A new server becomes the first of a prompt that other routers sent to the one
/// that was first before. This router has never sent it anywhere, but knows a
/// server with a part that many prompts share. Copied from that one, all the
/// rest would be read anew, and its callers wait for it.
#[test]
fn a_prompt_is_copied_from_its_first_server_rather_than_from_one_with_a_part() {
    let first = run(&mut pool(&dozen()), 7, 0, START).server;
    let before: Vec<_> = dozen()
        .into_iter()
        .filter(|entry| entry.server != first)
        .collect();
    let home = run(&mut pool(&before), 7, 0, START);
    let mut pool = pool(&dozen());
    let elsewhere = (100..130).filter(|&topic| {
        let place = run(&mut crate::world::pool(&dozen()), topic, topic, START);
        place.server != first && place.server != home.server
    });
    for topic in elsewhere.take(4) {
        run(&mut pool, topic, topic, START);
    }
    let place = admit(&mut pool, 7, 1, START).expect("a place");
    assert_eq!(place.server, first);
    assert_eq!(place.source, Some(home.address));
}

/// A server that has just started is the first of a prompt, and has no room. Copied
/// from that one, which has read nothing yet, the prompt would be read anew,
/// though the one that was first before still has it.
#[test]
fn a_prompt_is_not_copied_from_a_first_server_that_has_just_started() {
    let ranked = by_score(1_007, &dozen());
    let mut entries = dozen();
    for entry in &mut entries {
        if entry.server == ranked[0] {
            entry.cold_until = START + Duration::from_secs(1);
        }
    }
    let mut pool = pool(&entries);
    pool.set_elsewhere(|name| if ranked[..2].contains(name) { 20 } else { 1 });
    let now = START + Duration::from_secs(2);
    let place = admit(&mut pool, 7, 0, now).expect("a place");
    assert_eq!(place.server, ranked[2]);
    let before = entries.iter().find(|entry| entry.server == ranked[1]);
    assert_eq!(place.source, before.map(|entry| entry.address));
}

/// A server leaves that other routers sent a prompt to. This one does not know
/// of that, but the server was the prompt's first, so it is the likeliest to
/// have read it.
#[test]
fn a_prompt_is_copied_from_its_first_server_also_while_that_leaves() {
    let mut entries = dozen();
    let home = run(&mut pool(&entries), 7, 0, START);
    for entry in &mut entries {
        entry.is_draining = entry.server == home.server;
    }
    let place = admit(&mut pool(&entries), 7, 1, START).expect("a place");
    assert_eq!(place.source, Some(home.address));
}

/// A copy of a few tokens takes longer than reading them.
#[test]
fn a_known_prompt_is_not_copied() {
    let mut pool = pool(&dozen());
    let first = run(&mut pool, 7, 0, START);
    let second = run(&mut pool, 7, 1, START);
    assert_eq!(second.server, first.server);
    assert_eq!(second.source, None);
}

/// A zone is cut off in silence. A server that is told to copy a prompt from
/// there waits a third of a second until it reads the prompt itself, and so do
/// its callers.
#[test]
fn no_prompt_is_copied_from_a_zone_that_cannot_be_reached() {
    let mut pool = pool(&dozen());
    let far: Vec<_> = dozen()
        .into_iter()
        .filter(|entry| entry.zone.as_str() == "c")
        .collect();
    for entry in far.iter().take(3) {
        pool.ended(&entry.server, Outcome::Unreachable, START);
    }
    let mut copied = 0;
    for topic in 0..40 {
        let place = admit(&mut pool, topic, topic, START).expect("a place");
        pool.ended(&place.server, Outcome::Completed, START);
        if let Some(source) = place.source {
            copied += 1;
            assert!(far.iter().all(|entry| entry.address != source), "{topic}");
        }
    }
    assert!(copied >= 30, "{copied} were copied from other zones");
}
