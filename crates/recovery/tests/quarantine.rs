//! Decisions on the prompt parts under which servers crash.

use std::time::Duration;

use proptest::prelude::*;
use recovery::{
    Crash, Interval, Moment,
    quarantine::{Combination, Entry, Evidence, Quarantine, Report, Settings, Sighting},
};
use units::{
    request::{Fingerprint, Part},
    time::Instant,
};
use yare::parameterized;

/// The first part of all prompts.
const COMMON: u64 = 1;
/// The subject of some requests.
const SUBJECT: u64 = 2;
/// A part under which servers crash.
const DEADLY: u64 = 3;
/// A part of requests that have nothing in common with deadly ones.
const UNRELATED: u64 = 4;

/// The interval between crashes.
const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(10_000 + seconds * 1000)
}

fn parts(numbers: &[u64]) -> Vec<Part> {
    numbers.iter().copied().map(Part).collect()
}

fn combination(numbers: &[u64]) -> Combination {
    numbers.iter().copied().map(Part).collect()
}

/// Records a crash at `at(second)` with the given requests in flight. The fingerprint of each
/// request is its own, unless `fingerprint` is given.
fn crash(quarantine: &mut Quarantine, second: u64, requests: &[&[u64]], fingerprint: Option<u64>) {
    let interval = Interval::new(at(second), at(second) + SECOND / 10);
    for (index, request) in requests.iter().enumerate() {
        let own = 1000 + second * 100 + index as u64;
        let fingerprint = Fingerprint(fingerprint.unwrap_or(own));
        let shared = parts(request);
        let sightings = Sighting::of_request(fingerprint, &shared, Crash(second), interval);
        for sighting in sightings {
            quarantine.record_sighting(sighting, at(second) + SECOND / 10);
        }
    }
}

/// Lets a request with the parts complete, half a second after `at(second)`.
fn complete(quarantine: &mut Quarantine, second: u64, request: &[u64]) {
    quarantine.record_completed(&parts(request), at(second) + SECOND / 2);
}

/// What is refused at the end of a second.
fn decide(quarantine: &mut Quarantine, second: u64) -> Vec<Combination> {
    quarantine.decide(at(second) + SECOND * 9 / 10)
}

/// Guards against a part that crashes servers in requests of which no two are alike, and against
/// the refusal of what they share with harmless ones.
#[parameterized(
    first = { &[DEADLY, SUBJECT] },
    middle = { &[COMMON, DEADLY, SUBJECT] },
    last_shared_one = { &[COMMON, SUBJECT, DEADLY] },
    only_shared_one = { &[DEADLY] },
)]
fn the_part_of_all_crashes_is_refused_after_three(request: &[u64]) {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(
            &mut quarantine,
            second,
            &[request, &[COMMON, SUBJECT]],
            None,
        );
        complete(&mut quarantine, second, &[COMMON, SUBJECT]);
        let refused = decide(&mut quarantine, second);
        assert_eq!(refused.is_empty(), second < 2, "{second}: {refused:?}");
    }
    assert!(quarantine.refusal(&parts(request)).is_some());
    assert_eq!(quarantine.refusal(&parts(&[COMMON, SUBJECT])), None);
}

/// Guards against the refusal of a rare harmless part that was only seen beside the deadly one.
#[test]
fn parts_that_were_only_seen_together_are_refused_together_until_one_is_cleared() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[SUBJECT, DEADLY]], None);
    }
    assert_eq!(
        decide(&mut quarantine, 2),
        [combination(&[SUBJECT, DEADLY])]
    );
    assert_eq!(quarantine.refusal(&parts(&[SUBJECT, 9])), None);
    complete(&mut quarantine, 4, &[SUBJECT, 9]);
    assert!(quarantine.refusal(&parts(&[COMMON, DEADLY])).is_some());
}

/// Guards against a chain of parts that is refused only as a whole, although one of them crashes
/// servers without the others.
#[test]
fn a_crash_without_the_rest_of_a_combination_narrows_it() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[SUBJECT, DEADLY]], None);
    }
    decide(&mut quarantine, 2);
    crash(&mut quarantine, 3, &[&[COMMON, DEADLY]], None);
    assert_eq!(decide(&mut quarantine, 3), [combination(&[DEADLY])]);
    assert_eq!(quarantine.entries().count(), 1);
}

/// Guards against the refusal of an unrelated part that happened to be in flight at each crash.
#[test]
fn an_unrelated_part_at_all_crashes_delays_the_refusal_until_they_differ() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[DEADLY], &[UNRELATED]], None);
        assert_eq!(decide(&mut quarantine, second), []);
    }
    crash(&mut quarantine, 3, &[&[DEADLY]], None);
    assert_eq!(decide(&mut quarantine, 3), [combination(&[DEADLY])]);
    assert_eq!(quarantine.refusal(&parts(&[UNRELATED])), None);
}

/// Guards against more than five crashes while two parts explain them equally well.
#[test]
fn after_five_crashes_all_that_explains_them_is_refused() {
    let mut quarantine = Quarantine::default();
    for second in 0..5 {
        crash(&mut quarantine, second, &[&[DEADLY], &[UNRELATED]], None);
        let refused = decide(&mut quarantine, second);
        assert_eq!(refused.is_empty(), second < 4, "{second}: {refused:?}");
    }
    assert!(quarantine.refusal(&parts(&[DEADLY])).is_some());
}

/// Guards against the refusal of a part because a single request with it, which is repeated,
/// crashes servers.
#[test]
fn a_repeated_request_does_not_condemn_its_parts() {
    let mut quarantine = Quarantine::default();
    for second in 0..4 {
        crash(&mut quarantine, second, &[&[COMMON, SUBJECT]], Some(77));
        decide(&mut quarantine, second);
    }
    assert_eq!(quarantine.refusal(&parts(&[COMMON, SUBJECT])), None);
    crash(&mut quarantine, 5, &[&[COMMON, SUBJECT]], Some(78));
    assert_eq!(
        decide(&mut quarantine, 5),
        [combination(&[COMMON, SUBJECT])]
    );
}

/// Guards against a part of all prompts that is refused because a single request, which is known,
/// crashed some of the servers.
#[test]
fn crashes_of_a_refused_request_count_against_its_own_parts_only() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[COMMON], &[COMMON]], None);
    }
    let poison = Fingerprint(77);
    quarantine.set_crashing_requests((0..3).map(|second| (Crash(second), poison)));
    assert_eq!(decide(&mut quarantine, 2), []);
    for second in 3..6 {
        crash(
            &mut quarantine,
            second,
            &[&[COMMON, DEADLY], &[COMMON]],
            None,
        );
    }
    decide(&mut quarantine, 5);
    assert_eq!(quarantine.refusal(&parts(&[COMMON])), None);
    assert!(quarantine.refusal(&parts(&[COMMON, DEADLY])).is_some());
}

/// Guards against evidence of one power cut that counts as several crashes.
#[test]
fn servers_that_end_at_one_moment_count_once() {
    let mut quarantine = Quarantine::default();
    let interval = Interval::new(at(0), at(0) + SECOND / 10);
    for number in 0..9 {
        let shared = parts(&[SUBJECT]);
        let sightings = Sighting::of_request(Fingerprint(number), &shared, Crash(number), interval);
        for sighting in sightings {
            quarantine.record_sighting(sighting, at(0));
        }
    }
    assert_eq!(decide(&mut quarantine, 1), []);
}

/// Guards against two deadly parts of which the second one is never found.
#[test]
fn a_second_deadly_part_is_found_beside_a_refused_one() {
    let mut quarantine = Quarantine::default();
    let mut refused = Vec::new();
    for second in 0..8 {
        let part = [DEADLY, UNRELATED][second as usize % 2];
        if quarantine.refusal(&parts(&[COMMON, part])).is_none() {
            crash(&mut quarantine, second, &[&[COMMON, part]], None);
        }
        complete(&mut quarantine, second, &[COMMON]);
        refused.extend(decide(&mut quarantine, second));
    }
    assert_eq!(refused, [combination(&[DEADLY]), combination(&[UNRELATED])]);
}

/// Guards against crashes under a refused part that count against what was in flight beside it.
#[test]
fn crashes_under_a_refused_part_are_explained() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[DEADLY]], None);
    }
    decide(&mut quarantine, 2);
    for second in 3..9 {
        crash(&mut quarantine, second, &[&[DEADLY], &[UNRELATED]], None);
        assert_eq!(decide(&mut quarantine, second), []);
    }
    assert_eq!(quarantine.explained_crashes().len(), 9);
}

/// Guards against a refusal that a late report of an older completion does not lift.
#[test]
fn a_completion_that_becomes_known_late_clears_its_part() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[DEADLY, SUBJECT]], None);
    }
    decide(&mut quarantine, 2);
    let at = Moment::from(at(2) + SECOND / 5);
    let part = Part(SUBJECT);
    quarantine.apply(&Evidence::Completion { part, at }, self::at(5));
    assert!(quarantine.refusal(&parts(&[DEADLY])).is_some());
}

/// Guards against a completion that is forgotten because the crash before it becomes known later.
#[test]
fn a_completion_before_a_crash_becomes_known_clears_its_part() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        complete(&mut quarantine, second, &[SUBJECT]);
        crash(&mut quarantine, second, &[&[SUBJECT]], None);
    }
    assert_eq!(decide(&mut quarantine, 3), []);
}

/// Guards against a quarantine that grows with the number of deadly parts, and against prompts of
/// hundreds of parts in one report.
#[test]
fn what_is_stored_is_bounded() {
    let settings = Settings {
        max_sightings: 64,
        max_entries: 8,
        ..Settings::default()
    };
    let mut quarantine = Quarantine::new(settings);
    for series in 0..40 {
        for number in 0..3 {
            let second = series * 3 + number;
            crash(&mut quarantine, second, &[&[1_000_000 + series]], None);
            decide(&mut quarantine, second);
        }
    }
    assert!(quarantine.len() <= 64 && quarantine.entries().count() <= 8);
    let many: Vec<Part> = (0..200).map(Part).collect();
    let interval = Interval::new(at(0), at(1));
    let sightings = Sighting::of_request(Fingerprint(1), &many, Crash(1), interval);
    for sighting in sightings {
        let report = Report::new(Evidence::Sighting(sighting), at(1));
        let bytes = postcard::to_stdvec(&report).expect("a report");
        assert!(bytes.len() <= 120, "{}", bytes.len());
    }
}

/// Guards against a refusal that an operator has lifted and old evidence brings back.
#[test]
fn evidence_from_before_it_was_lifted_does_not_refuse_a_part_again() {
    let mut quarantine = Quarantine::default();
    for second in 0..3 {
        crash(&mut quarantine, second, &[&[DEADLY], &[SUBJECT]], None);
        complete(&mut quarantine, second.saturating_sub(1), &[SUBJECT]);
    }
    let refused = decide(&mut quarantine, 2).remove(0);
    assert!(quarantine.lift(&refused, at(4).into()));
    let entry = Entry::new(3, at(2).into());
    assert!(!quarantine.refuse(refused.clone(), entry));
    crash(&mut quarantine, 5, &[&[DEADLY], &[SUBJECT]], None);
    assert_eq!(decide(&mut quarantine, 5), []);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(48), ..ProptestConfig::default() })]

    /// Guards against routers that know the same evidence and refuse different parts.
    #[test]
    fn the_order_of_evidence_does_not_matter(
        requests in prop::collection::vec((0_u64..6, prop::collection::vec(1_u64..6, 1..4)), 1..40),
        order in any::<u64>(),
    ) {
        let evidence: Vec<Sighting> = requests
            .iter()
            .enumerate()
            .flat_map(|(index, (second, chain))| {
                let interval = Interval::new(at(*second), at(*second) + SECOND / 10);
                let fingerprint = Fingerprint(1000 + index as u64);
                let shared = parts(chain);
                Sighting::of_request(fingerprint, &shared, Crash(*second), interval)
                    .collect::<Vec<_>>()
            })
            .collect();
        let mut shuffled = evidence.clone();
        shuffled.sort_by_key(|sighting| {
            let number = sighting.chain.last().map_or(0, |part| part.0);
            number.wrapping_mul(order | 1)
        });
        let refused = |evidence: &[Sighting]| {
            let mut quarantine = Quarantine::default();
            for sighting in evidence {
                quarantine.record_sighting(sighting.clone(), at(7));
            }
            quarantine.decide(at(9));
            quarantine.entries().map(|(parts, _)| parts.clone()).collect::<Vec<_>>()
        };
        prop_assert_eq!(refused(&evidence), refused(&shuffled));
    }
}
