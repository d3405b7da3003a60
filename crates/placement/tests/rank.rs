//! The ranking of servers for a chat.

use std::collections::BTreeMap;

use placement::{Topology, topology};
use proptest::{prelude::*, test_runner};
use units::chat;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

fn member(number: usize, weight: u32, state: topology::State) -> topology::Member {
    topology::Member {
        id: format!("engine-{number}").parse().expect("a valid name"),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name"),
        weight,
        state,
    }
}

fn members(count: usize) -> Vec<topology::Member> {
    let state = topology::State::Eligible;
    (0..count).map(|number| member(number, 1, state)).collect()
}

fn names(topology: &Topology, chat: u64, n: usize) -> Vec<String> {
    let ranked = topology.rank(chat::Key(chat), n);
    ranked.iter().map(|member| member.id.to_string()).collect()
}

fn mixed_members() -> impl Strategy<Value = Vec<topology::Member>> {
    let member_spec = (1..4_u32, any::<bool>());
    prop::collection::vec(member_spec, 1..60).prop_map(|list| {
        let member = |(number, (weight, eligible)): (usize, (u32, bool))| {
            let state = if eligible {
                topology::State::Eligible
            } else {
                topology::State::Excluded
            };
            member(number, weight, state)
        };
        list.into_iter().enumerate().map(member).collect()
    })
}

proptest! {
    #![proptest_config(config())]

    // Routers receive the servers in different orders, and some more than once.
    // If the order affected the ranking, a chat would be sent to two engines and
    // its caller would wait for a second prefill.
    #[test]
    fn rank_is_independent_of_member_order_and_duplicates(
        (original, shuffled) in mixed_members().prop_flat_map(|list| {
            let twice: Vec<_> = list.iter().chain(&list).cloned().collect();
            (Just(list), Just(twice).prop_shuffle())
        }),
        chat in any::<u64>(),
    ) {
        let (member_spec, other) = (Topology::new(original), Topology::new(shuffled));
        prop_assert_eq!(names(&member_spec, chat, 4), names(&other, chat, 4));
    }

    // A server is drained or its zone is taken out of service. A request that is
    // still sent to it would be aborted when operators shut it down.
    #[test]
    fn excluded_servers_are_never_ranked(list in mixed_members(), chat in any::<u64>()) {
        let topology = Topology::new(list);
        for ranked in topology.rank(chat::Key(chat), 100) {
            prop_assert_eq!(ranked.state, topology::State::Eligible);
        }
        prop_assert_eq!(topology.rank(chat::Key(chat), 100).len(), topology.eligible().len());
    }

    // Servers join, leave and flap frequently. If a change moved chats between
    // the remaining servers, it would invalidate all caches at once.
    #[test]
    fn removing_a_server_moves_only_its_own_chats(
        list in mixed_members(), removed in any::<prop::sample::Index>(), chat in any::<u64>(),
    ) {
        let removed = removed.index(list.len());
        let before = Topology::new(list.clone());
        let mut remaining = list;
        let removed_name = remaining.remove(removed).id.to_string();
        let after = Topology::new(remaining);
        let mut expected = names(&before, chat, 100);
        expected.retain(|name| *name != removed_name);
        prop_assert_eq!(names(&after, chat, 100), expected);
    }
}

// Large servers have a higher weight than small ones. With equal shares, the
// small servers would be saturated while the large ones idle.
#[test]
fn chats_are_distributed_by_weight() {
    let mut list = members(10);
    for large in &mut list[..5] {
        large.weight = 3;
    }
    let topology = Topology::new(list);
    let mut homes: BTreeMap<u32, u32> = BTreeMap::new();
    for chat in 0..20_000_u64 {
        let home = topology.home(chat::Key(chat.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        *homes
            .entry(home.expect("there are servers").weight)
            .or_default() += 1;
    }
    let ratio = f64::from(homes[&3]) / f64::from(homes[&1]);
    assert!(
        (2.85..3.15).contains(&ratio),
        "ratio of chats on large servers to chats on small servers: {ratio}"
    );
}

// Servers of equal weight are ranked by hash, servers of different weights by
// score. If the two rankings differed, adding the first server of another weight
// would move chats between all other servers.
#[test]
fn adding_a_server_of_another_weight_moves_no_other_chat() {
    let equal = Topology::new(members(50));
    let mut list = members(50);
    list.push(member(99, 2, topology::State::Eligible));
    let with_other_weight = Topology::new(list);
    for chat in 0..5_000_u64 {
        let mut ranked = names(&with_other_weight, chat, 51);
        ranked.retain(|name| name != "engine-99");
        assert_eq!(ranked, names(&equal, chat, 50), "chat {chat}");
    }
}
