//! Backend servers that fail alone, flap, or fail together.

use std::{collections::BTreeSet, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use recovery::{OutlierDetector, Settings};
use units::{availability::Zone, backend::Server, time::Instant};
use yare::parameterized;

fn server(number: usize) -> Server {
    format!("server-{number}").parse().expect("a valid name")
}

/// Servers spread over three zones.
fn pool(numbers: impl IntoIterator<Item = usize>) -> Vec<(Server, Zone)> {
    let zone = |number: usize| {
        format!("zone-{}", number % 3)
            .parse()
            .expect("a valid name")
    };
    numbers
        .into_iter()
        .map(|number| (server(number), zone(number)))
        .collect()
}

#[derive(Clone, Debug)]
enum Event {
    Failure(usize),
    Success(usize),
    SetServers(BTreeSet<usize>),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        20 => (0..12_usize).prop_map(Event::Failure),
        6 => (0..12_usize).prop_map(Event::Success),
        1 => prop::collection::btree_set(0..12_usize, 0..12).prop_map(Event::SetServers),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e5a_0021),
        ..ProptestConfig::default()
    })]

    // Servers fail and recover in any pattern, while operators drain servers and take
    // zones out of service. Ejecting too many would put the whole load on the few
    // that remain, and panic mode must not use servers that are drained or out of
    // service.
    #[test]
    fn ejected_share_never_exceeds_the_maximum(
        events in prop::collection::vec((event(), 0..3000_u64), 1..200),
    ) {
        let mut detector = OutlierDetector::new(Settings::default());
        let mut configured: BTreeSet<usize> = (0..12).collect();
        detector.set_servers(pool(configured.clone()));
        let mut now = Instant::from_millis(1);
        for (event, delay) in events {
            now = now + Duration::from_millis(delay);
            match event {
                Event::Failure(number) => detector.record_failure(&server(number), now),
                Event::Success(number) => detector.record_success(&server(number), now),
                Event::SetServers(numbers) => {
                    configured = numbers;
                    detector.set_servers(pool(configured.clone()));
                }
            }
            let usable: BTreeSet<Server> = detector.usable(now).into_iter().collect();
            let ejected = detector.ejected(now);
            let all: BTreeSet<Server> = configured.iter().map(|number| server(*number)).collect();
            prop_assert!(usable.is_subset(&all), "a usable server is not in the pool");
            prop_assert!(ejected.len() * 2 <= all.len(), "{} of {} ejected", ejected.len(), all.len());
            prop_assert_eq!(usable.len() + ejected.len(), all.len());
            prop_assert!(all.is_empty() || !usable.is_empty());
            for (server, until) in ejected {
                prop_assert!(until > now && until <= now + Settings::default().max_ejection_time);
                prop_assert!(!usable.contains(&server));
            }
        }
    }
}

// A server flaps: it recovers for a second and fails again. Requests are lost each
// time it returns, so its ejections must grow longer.
#[test]
fn ejections_of_a_flapping_server_grow_longer() {
    let mut detector = OutlierDetector::new(Settings::default());
    detector.set_servers(pool(0..12));
    let mut lost = 0;
    for second in 0..3600 {
        let now = Instant::from_millis(second * 1000);
        if detector.is_ejected(&server(0), now) {
            continue;
        }
        match second % 2 {
            0 => detector.record_success(&server(0), now),
            _ => {
                detector.record_failure(&server(0), now);
                lost += 1;
            }
        }
    }
    // With a constant ejection time, one request would be lost every six seconds,
    // 600 per hour.
    println!("flapping lost={lost}");
    assert!(lost <= 40, "{lost} requests lost in an hour");
}

// A zone is unreachable for ten minutes and then recovers. Its servers failed each
// time they were tried, so their ejections would last for minutes more, while the
// other zones carry the whole load.
#[test]
fn a_returning_zone_is_used_at_once() {
    let mut detector = OutlierDetector::new(Settings::default());
    detector.set_servers(pool(0..12));
    let zone = [0, 3, 6, 9];
    let mut now = Instant::ZERO;
    while now < Instant::from_millis(600_000) {
        // They become unreachable one after another, so their ejections end at
        // different times.
        for number in zone {
            if now >= Instant::from_millis(10_000 * number as u64) {
                detector.record_failure(&server(number), now);
            }
        }
        now = now + Duration::from_millis(100);
    }
    assert_eq!(
        detector.ejected(now).len(),
        zone.len(),
        "all servers of the zone are ejected"
    );
    let (_, first_return) = detector
        .ejected(now)
        .into_iter()
        .min_by_key(|(_, until)| *until)
        .expect("servers are ejected");
    detector.record_success(&server(0), first_return);
    let first = zone
        .map(server)
        .into_iter()
        .find(|server| !detector.is_ejected(server, first_return));
    detector.record_success(
        &first.expect("a server of the zone is not ejected"),
        first_return,
    );
    assert_eq!(
        detector.usable(first_return).len(),
        12,
        "a server of the zone is still ejected"
    );
}

/// Guards against a server that pauses and is ejected for requests whose deadlines are shorter than
/// its pause, and against one that hangs and is not.
#[parameterized(
    short_pause = { 1_300, 0, false },
    long_pause = { 3_500, 0, false },
    hang = { 6_000, 0, true },
    two_pauses_far_apart = { 3_500, 60_000, false },
)]
fn timeouts_within_a_pause_eject_no_server(pause_ms: u64, apart_ms: u64, is_ejected: bool) {
    const DEADLINE_MS: u64 = 500;
    const INTERVAL_MS: u64 = 50;
    let settings = Settings::default();
    let mut detector = OutlierDetector::new(settings);
    detector.set_servers(pool(0..6));
    let server = server(0);
    let at = |ms| Instant::ZERO + Duration::from_millis(1_000 + ms);
    let starts: BTreeSet<u64> = [0, apart_ms].into();
    for start in starts {
        let sent =
            (0..pause_ms - DEADLINE_MS).step_by(usize::try_from(INTERVAL_MS).expect("it fits"));
        for sent in sent.map(|sent| start + sent) {
            detector.record_timeout(&server, at(sent), at(sent + DEADLINE_MS));
        }
    }
    let now = at(apart_ms + pause_ms);
    assert_eq!(detector.is_ejected(&server, now), is_ejected);
}

/// Guards against pauses of a server that works between them and is ejected.
#[test]
fn a_completed_request_ends_a_pause() {
    let mut detector = OutlierDetector::new(Settings::default());
    detector.set_servers(pool(0..6));
    let server = server(0);
    let at = |ms| Instant::ZERO + Duration::from_millis(1_000 + ms);
    for pause in 0..20_u64 {
        let start = pause * 1_500;
        detector.record_timeout(&server, at(start), at(start + 500));
        detector.record_timeout(&server, at(start + 700), at(start + 1_200));
        detector.record_success(&server, at(start + 1_400));
    }
    assert!(!detector.is_ejected(&server, at(30_000)));
}
