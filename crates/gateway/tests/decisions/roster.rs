//! Registered servers through changes and outages.

use std::{collections::BTreeSet, time::Duration};

use gateway::roster::{Change, Roster};

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
fn a_removed_server_is_gone_at_once() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    assert!(roster.apply(absent("s0", 2), START));
    assert!(roster.is_empty());
}

/// The store was away, and the entries of servers that live lapsed meanwhile.
/// They are written anew within two seconds. A router that drops them at once
/// refuses every request for as long.
#[test]
fn entries_that_lapsed_in_an_outage_may_come_back() {
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

/// One router alone was cut off from the store, and a server left just before it
/// was back. Taken for one whose entry lapsed, the server would go on getting
/// requests for two seconds.
#[test]
fn entries_do_not_lapse_while_others_are_served() {
    let mut roster = Roster::default();
    roster.apply(present("s0", 1), START);
    roster.store_returned(START);
    roster.apply(absent("s0", 3), START);
    assert_eq!(roster.usable().count(), 1);
    let soon = START + Duration::from_millis(200);
    assert!(roster.store_was_steady(soon));
    assert!(roster.is_empty());
    roster.apply(present("s1", 4), soon);
    assert!(roster.apply(absent("s1", 5), soon), "nor do later ones");
}

/// A server that said that it leaves does not come back after an outage.
#[test]
fn a_leaving_server_does_not_lapse() {
    let mut roster = Roster::default();
    let mut leaving = entry("s0", "a");
    leaving.is_draining = true;
    roster.apply(Change::Present(leaving), START);
    roster.store_returned(START);
    assert!(roster.apply(absent("s0", 3), START));
    assert!(roster.is_empty());
}

/// A read may be stale by seconds. If it brought a server back that has left,
/// callers would be sent to an address that another service may have by now.
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
fn a_zone_that_is_out_gets_nothing_until_it_is_back() {
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
