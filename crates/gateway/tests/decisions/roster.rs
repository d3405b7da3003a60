//! The roster of registered servers through changes and outages.

use std::{collections::BTreeSet, time::Duration};

use gateway::roster::{Change, Roster};
use units::backend;

use crate::world::{START, entry, server};

fn present(name: &str, revision: u64) -> Change {
    let mut entry = entry(name, "a");
    entry.revision = revision;
    Change::Present(entry)
}

fn absent(name: &str, revision: u64) -> Change {
    Change::Absent {
        server: server(name),
        revision,
    }
}

#[test]
fn a_removed_server_is_dropped_at_once() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    assert!(roster.apply(absent("s0", 2), START));
    assert!(roster.is_empty());
}

/// Guards against refused requests after an outage of the store: the entries of live
/// servers lapsed and are written again within two seconds. If they were dropped at once,
/// every request would be refused for that time.
#[test]
fn entries_that_lapsed_in_an_outage_may_return() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    roster.apply(present("s1", 2), START);
    roster.store_returned(START);
    roster.apply(absent("s0", 3), START);
    roster.apply(absent("s1", 4), START);
    assert_eq!(roster.usable().count(), 2);
    let back = START + Duration::from_millis(1500);
    roster.apply(present("s0", 5), back);
    assert!(roster.expire(START + Duration::from_millis(2300)));
    let left: Vec<_> = roster.usable().map(|entry| entry.server.clone()).collect();
    assert_eq!(left, [server("s0")]);
}

/// Guards against requests to a server that has left: only this router was disconnected
/// from the store, and the server left just before the connection returned. If its entry
/// counted as lapsed, it would receive requests for two more seconds.
#[test]
fn entries_do_not_lapse_while_the_store_serves_other_routers() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    roster.store_returned(START);
    roster.apply(absent("s0", 3), START);
    assert_eq!(roster.usable().count(), 1);
    let shortly_after = START + Duration::from_millis(200);
    assert!(roster.store_was_stable(shortly_after));
    assert!(roster.is_empty());
    roster.apply(present("s1", 4), shortly_after);
    assert!(
        roster.apply(absent("s1", 5), shortly_after),
        "later entries do not lapse either"
    );
}

/// A draining server is not expected to return after an outage.
#[test]
fn a_draining_server_does_not_lapse() {
    let mut roster = Roster::default();
    let mut draining = entry("s0", "a");
    draining.is_draining = true;
    roster.apply(Change::Present(draining), START);
    roster.store_returned(START);
    assert!(roster.apply(absent("s0", 3), START));
    assert!(roster.is_empty());
}

/// Guards against a stale read that restores a removed server, whose address may belong to
/// another service by now.
#[test]
fn a_stale_row_does_not_bring_a_server_back() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 4), START);
    roster.apply(absent("s0", 5), START);
    assert!(!roster.apply(present("s0", 4), START));
    assert!(roster.is_empty());
    assert!(roster.apply(present("s0", 6), START));
}

#[test]
fn an_evacuated_zone_is_unusable_until_it_returns() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    let zones = BTreeSet::from(["a".parse().unwrap()]);
    assert!(roster.set_evacuated(zones.clone()));
    assert!(!roster.set_evacuated(zones));
    assert_eq!(roster.usable().count(), 0);
    assert_eq!(roster.all().count(), 1);
    assert!(roster.set_evacuated(BTreeSet::new()));
    assert_eq!(roster.usable().count(), 1);
}

/// A change that registers a server with the given incarnation, which is also its revision.
fn started(name: &str, address: u16, incarnation: u64) -> Change {
    let mut entry = entry(name, "a");
    entry.address = ([127, 0, 0, 1], address).into();
    entry.incarnation = incarnation;
    entry.revision = incarnation;
    Change::Present(entry)
}

fn usable(roster: &Roster) -> Vec<backend::Server> {
    roster.usable().map(|entry| entry.server.clone()).collect()
}

/// Guards against requests to the old name of a server that crashed and restarted under a
/// new name before its old entry lapsed. It refuses requests for the old name, so a request
/// that may be sent to only one server would fail.
#[test]
fn a_server_is_superseded_by_a_later_start_at_its_address() {
    let mut roster = Roster::default();
    roster.apply(started("old", 1, 10), START);
    roster.apply(started("other", 2, 5), START);
    roster.apply(started("new", 1, 20), START);
    assert_eq!(usable(&roster), [server("new"), server("other")]);
    assert_eq!(roster.incarnations().get(&server("old")), None);
}

/// Entries arrive in any order, and all routers have to agree on the servers.
#[test]
fn the_latest_start_wins_in_any_order() {
    let mut roster = Roster::default();
    roster.apply(started("new", 1, 20), START);
    roster.apply(started("old", 1, 10), START);
    assert_eq!(usable(&roster), [server("new")]);
    roster.apply(absent("new", 30), START);
    assert_eq!(usable(&roster), [server("old")]);
}

/// An address taken by a server of another service proves nothing: the entry may come from
/// another writer.
#[test]
fn an_entry_of_another_service_supersedes_no_server() {
    let mut roster = Roster::default();
    roster.apply(started("s0", 1, 10), START);
    let mut foreign = entry("foreign", "a");
    foreign.address = ([127, 0, 0, 1], 1).into();
    foreign.pool = "other".parse().expect("a name");
    foreign.incarnation = 20;
    foreign.revision = 20;
    roster.apply(Change::Present(foreign), START);
    assert_eq!(usable(&roster).len(), 2);
}

/// Guards against a running server that receives no requests because its host's clock was
/// set back before its restart, so that it seems to have started before its predecessor.
#[test]
fn a_start_with_an_earlier_clock_supersedes_no_server() {
    let mut roster = Roster::default();
    roster.apply(started("old", 1, 20), START);
    let mut entry = entry("new", "a");
    entry.address = ([127, 0, 0, 1], 1).into();
    entry.incarnation = 10;
    entry.revision = 30;
    roster.apply(Change::Present(entry), START);
    assert_eq!(usable(&roster).len(), 2);
}
