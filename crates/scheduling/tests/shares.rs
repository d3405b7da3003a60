//! Tests of the shares of workspaces over the fleet.

use std::collections::BTreeMap;

use scheduling::{Shares, Usage, allotment, part};
use units::time::Instant;

const NOW: Instant = Instant::from_millis(1_000);

fn shares(peers: &[(u32, u32)]) -> Shares {
    let mut shares = Shares::default();
    let usages = peers
        .iter()
        .map(|&(workspace, running)| Usage { workspace, running });
    shares.set_peers(usages, NOW);
    shares
}

/// With shares counted at one router, two requests were over the share of each workspace.
#[test]
fn nobody_is_over_its_share_while_slots_are_free() {
    let shares = shares(&[(1, 90), (2, 5)]);
    assert!(!shares.is_over(1, 100, NOW));
    assert!(!shares.is_over(2, 100, NOW));
}

/// What small workspaces leave goes to the large ones, in equal parts.
#[test]
fn shares_are_max_min_fair() {
    let shares = shares(&[(1, 70), (2, 25), (3, 10)]);
    assert!((shares.share(1, 100, NOW) - 65.0).abs() < 1e-9);
    assert!(shares.is_over(1, 100, NOW));
    assert!(!shares.is_over(2, 100, NOW));
    assert!(!shares.is_over(3, 100, NOW));
}

/// A workspace without others may use all slots.
#[test]
fn a_single_workspace_is_never_over_its_share() {
    let shares = shares(&[(1, 200)]);
    assert!(!shares.is_over(1, 100, NOW));
}

#[test]
fn shares_follow_weights() {
    let mut shares = shares(&[(1, 60), (2, 60)]);
    shares.set_weights(BTreeMap::from([(1, 3)]));
    // The first needs 60 of its 75; the rest goes to the second.
    assert!((shares.share(2, 100, NOW) - 40.0).abs() < 1e-9);
    assert!(!shares.is_over(1, 100, NOW));
    assert!(shares.is_over(2, 100, NOW));
}

/// Routers that are cut off decide by their own requests after a time.
#[test]
fn usages_of_other_routers_expire() {
    let mut shares = shares(&[(1, 1_000)]);
    shares.admitted(1);
    assert_eq!(shares.running(1, NOW), 1_001);
    let later = Instant::from_millis(1_700);
    assert_eq!(shares.running(1, later), 1);
    assert_eq!(shares.age(later), None);
    shares.finished(1);
    shares.finished(1);
    assert_eq!(shares.running(1, later), 0);
}

/// Counts beyond all bounds, and a workspace that is named twice.
#[test]
fn absurd_usages_are_survived() {
    let shares = shares(&[(1, u32::MAX), (1, u32::MAX), (2, 1), (4, 0)]);
    assert!(shares.is_over(1, 100, NOW));
    assert!(!shares.is_over(2, 100, NOW));
    assert!(!shares.is_over(4, 0, NOW));
    assert!(!shares.is_over(3, 0, NOW));
}

/// Every router that saw a free slot took it.
#[test]
fn routers_together_are_allotted_no_more_than_the_free_slots() {
    for routers in [6, 67, 300] {
        let part = part(1, routers, routers as usize);
        let draws = (0..u64::from(routers)).map(|router| u64::MAX / u64::from(routers) * router);
        let all: u32 = draws.map(|draw| allotment(5, part, draw)).sum();
        assert!(all <= 5, "{routers}: {all}");
    }
}
