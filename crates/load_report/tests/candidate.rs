//! The choice among servers of a plain service.

use load_report::{Candidate, Slowdown, candidate};
use proptest::prelude::*;

fn server(percent: u16, load: u32) -> Candidate {
    Candidate {
        overhead_us: 0,
        service_us: 30_000,
        slots: 6,
        slowdown: Slowdown::from_percent(percent).expect("valid"),
        load,
    }
}

fn shares(servers: &[Candidate], arrivals: f64) -> Vec<f64> {
    let weights = candidate::weights(servers, arrivals);
    let total: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / total).collect()
}

/// Guards against a server that is chosen although another would be done sooner.
#[test]
fn fresh_information_gives_the_best_server_nearly_all() {
    let servers = [server(100, 6), server(100, 0), server(250, 0)];
    let shares = shares(&servers, 0.0);
    assert!(shares[1] > 0.99, "{shares:?}");
}

/// Guards against a choice by loads that have long changed.
#[test]
fn old_information_gives_servers_their_share_of_the_capacity() {
    let servers = [server(100, 6), server(100, 0), server(250, 3)];
    let shares = shares(&servers, 1e6);
    for (share, expected) in shares.iter().zip([1.0 / 2.4, 1.0 / 2.4, 0.4 / 2.4]) {
        assert!((share - expected).abs() < 0.001, "{shares:?}");
    }
}

/// Guards against a herd at a server that has reported to be idle.
#[test]
fn a_favorable_report_attracts_fewer_the_older_it_is() {
    let servers = [
        server(100, 0),
        server(100, 3),
        server(100, 3),
        server(100, 3),
    ];
    let by_age: Vec<f64> = [0.0, 10.0, 20.0, 60.0, 200.0]
        .into_iter()
        .map(|arrivals| shares(&servers, arrivals)[0])
        .collect();
    assert!(by_age.is_sorted_by(|one, other| one > other), "{by_age:?}");
}

#[test]
fn there_is_no_choice_without_a_server() {
    assert_eq!(candidate::choose(&[], 1.0, 0), None);
}

fn any_candidate() -> impl Strategy<Value = Candidate> {
    (
        0..u64::MAX,
        0..u64::MAX,
        0..=u32::MAX,
        10_u16..=10_000,
        0..=u32::MAX,
    )
        .prop_map(
            |(overhead_us, service_us, slots, percent, load)| Candidate {
                overhead_us: overhead_us >> 20,
                service_us: service_us >> 20,
                slots,
                slowdown: Slowdown::from_percent(percent).expect("valid"),
                load,
            },
        )
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_algorithm: prop::test_runner::RngAlgorithm::ChaCha,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that is refused although there is a server, whatever is reported.
    #[test]
    fn there_is_always_a_choice(
        servers in prop::collection::vec(any_candidate(), 1..12),
        arrivals in 0.0..1e9,
        random in any::<u64>(),
    ) {
        let chosen = candidate::choose(&servers, arrivals, random);
        prop_assert!(chosen.is_some_and(|index| index < servers.len()));
    }

    /// Guards against a slower server that gets more than a faster one.
    #[test]
    fn a_slower_server_gets_no_more(
        percent in 10_u16..=10_000,
        slower in 10_u16..=10_000,
        load in 0_u32..20,
        arrivals in 0.0..1e4,
    ) {
        let (percent, slower) = (percent.min(slower), percent.max(slower));
        let shares = shares(&[server(percent, load), server(slower, load)], arrivals);
        prop_assert!(shares[1] <= shares[0] + 1e-9, "{:?}", shares);
    }

    /// Guards against loads that diverge: the requests even the completion times out.
    #[test]
    fn the_weights_fill_the_servers_to_one_level(
        loads in prop::collection::vec(0_u32..20, 1..8),
        arrivals in 0.0..1e3,
    ) {
        let servers: Vec<_> = loads.iter().map(|load| server(100, *load)).collect();
        let weights = candidate::weights(&servers, arrivals);
        let total: f64 = weights.iter().sum();
        prop_assert!((total - 1.0 - arrivals).abs() < 1e-6 * (1.0 + arrivals), "{total}");
        let filled = |index: usize| f64::from(loads[index]) + weights[index];
        let receiving = (0..loads.len()).filter(|index| weights[*index] > 0.0);
        let levels: Vec<f64> = receiving.map(filled).collect();
        let spread = levels.iter().fold(0.0_f64, |most, level| most.max((level - levels[0]).abs()));
        prop_assert!(spread < 1e-6 * (1.0 + arrivals), "{levels:?}");
    }
}
