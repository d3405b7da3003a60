//! Strikes that routers exchange, and their expiry.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use recovery::{Crash, Settings, Standing, Strike, Suspects};
use units::{request::Fingerprint, time::Instant};
use verdict::{Code, Verdict};

fn suspects() -> Suspects {
    Suspects::new(Settings::default())
}

/// The instant of a step; steps are 5 s apart.
fn at(step: usize) -> Instant {
    Instant::from_millis(1000 + 5000 * step as u64)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e5a_0011),
        ..ProptestConfig::default()
    })]

    // Routers exchange strikes and lifted strikes repeatedly, over networks that
    // lose, duplicate and reorder messages. If a strike counted twice, a harmless
    // request would be refused permanently. If one router counted fewer strikes than
    // another, a poison request would continue to crash engines through it.
    #[test]
    fn strike_counts_are_independent_of_message_order(
        reported in prop::collection::vec((0..4_u64, 0..3_u64), 1..8),
        lifted in prop::collection::vec(any::<prop::sample::Index>(), 0..3),
        orders in prop::collection::vec(any::<u64>(), 2..4),
    ) {
        let strikes: Vec<Strike> = reported
            .iter()
            .map(|&(request, crash)| Strike { fingerprint: Fingerprint(request), crash: Crash(crash) })
            .collect();
        let lifted: Vec<Strike> = lifted.iter().map(|index| *index.get(&strikes)).collect();
        let mut messages: Vec<(bool, Strike)> = strikes.iter().map(|strike| (false, *strike)).collect();
        messages.extend(lifted.iter().map(|strike| (true, *strike)));
        messages.extend(messages.clone());
        for order in orders {
            let mut router = suspects();
            let mut messages = messages.clone();
            messages.sort_by_key(|(is_lift, strike)| {
                let Strike { fingerprint, crash } = strike;
                (fingerprint.0 * 31 + crash.0 * 7 + u64::from(*is_lift) * 3 + 1).wrapping_mul(order | 1)
            });
            for (step, (is_lift, strike)) in messages.iter().enumerate() {
                match is_lift {
                    true => router.lift_strike(*strike, at(step)),
                    false => drop(router.apply_strike(*strike, at(step))),
                }
            }
            for request in 0..4 {
                let mut counted: Vec<Crash> = strikes
                    .iter()
                    .filter(|strike| strike.fingerprint == Fingerprint(request))
                    .filter(|strike| !lifted.contains(strike))
                    .map(|strike| strike.crash)
                    .collect();
                counted.sort();
                counted.dedup();
                let standing = router.standing(Fingerprint(request), at(messages.len()));
                match counted.len() {
                    0 => prop_assert_eq!(standing, Standing::Clear),
                    1 => prop_assert_eq!(standing, Standing::Suspect),
                    _ => {
                        let Standing::Refused(refusal) = standing else {
                            return Err(TestCaseError::fail("a request with two or more strikes is not refused"));
                        };
                        prop_assert_eq!(refusal.code, Code::Suspect);
                        prop_assert_eq!(refusal.verdict, Verdict::NotRun);
                        // A later retry cannot succeed: the refusal is final.
                        prop_assert_eq!(refusal.retry_at, None);
                    }
                }
            }
        }
    }
}

// A zone loses power and all its engines crash within a second, with hundreds of
// requests in flight. If all of them were isolated, they would wait for each other.
// An identical lookup from many callers was in flight on several engines; if these
// attempts counted as retries, the lookup would be refused to all callers.
#[test]
fn requests_in_flight_at_a_zone_outage_are_not_refused() {
    let mut router = suspects();
    let start = Instant::from_millis(1000);
    let lookup = Fingerprint(9999);
    for engine in 0..4 {
        let now = start + Duration::from_millis(200 * engine);
        let requests = (0..50)
            .map(|n| Fingerprint(engine * 100 + n))
            .chain([lookup]);
        for fingerprint in requests {
            router.record_crash(
                Strike {
                    fingerprint,
                    crash: Crash(engine),
                },
                start,
                now,
            );
        }
    }
    let now = start + Duration::from_secs(1);
    for request in [lookup, Fingerprint(1), Fingerprint(349)] {
        assert_eq!(router.standing(request, now), Standing::Clear, "{request}");
    }
    // A retry that is in flight at another crash adds a strike.
    router.record_crash(
        Strike {
            fingerprint: lookup,
            crash: Crash(9),
        },
        now,
        now,
    );
    assert!(matches!(router.standing(lookup, now), Standing::Refused(_)));
}

// A caller sends many different poison requests. Their records must not grow without
// bound, and strikes must expire, since the engine may have been fixed meanwhile.
#[test]
fn strikes_expire_and_are_bounded_in_number() {
    let settings = Settings {
        max_suspects: 100,
        ..Settings::default()
    };
    let mut router = Suspects::new(settings.clone());
    for request in 0..1000 {
        let strike = Strike {
            fingerprint: Fingerprint(request),
            crash: Crash(request / 10),
        };
        router.apply_strike(strike, at(0) + Duration::from_secs(request));
        assert!(router.len() <= 100);
    }
    router.expire(at(0) + Duration::from_secs(1000) + settings.strike_expiry);
    assert!(router.is_empty());
}
