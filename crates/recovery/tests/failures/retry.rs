//! Retries while backend servers fail.

use std::time::Duration;

use proptest::{prelude::*, test_runner::RngSeed};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use recovery::{Cause, Failure, OutlierDetector, Retry, RetryBudget, Settings};
use units::{backend::Server, time::Instant, workspace::Id};
use verdict::{Code, Refusal, Verdict};
use yare::parameterized;

fn name(number: u64) -> Id {
    format!("w{number}").parse().expect("a valid name")
}

fn refusal(verdict: Verdict, code: Code) -> Refusal {
    Refusal {
        verdict,
        ..Refusal::not_run(code, "failed")
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5e5a_0031),
        ..ProptestConfig::default()
    })]

    // The response to a booking is lost after the service has executed it. If the
    // router retried the request, the booking would be made and billed twice. And a
    // caller that has received part of a response must not get the start of another.
    #[test]
    fn requests_that_may_have_run_are_not_repeated(
        may_have_run in any::<bool>(),
        idempotent in any::<bool>(),
        response_started in any::<bool>(),
        cause in prop::sample::select(vec![Cause::Refused, Cause::Unreachable, Cause::Failed]),
        code in prop::sample::select(vec![Code::Busy, Code::BackendFailed, Code::BadAnswer, Code::Suspect]),
        attempts in 0..4_u32,
        candidates in 0..3_usize,
        remaining_ms in 0..3_u64,
    ) {
        let now = Instant::from_millis(1000);
        let settings = Settings::default();
        let mut budget = RetryBudget::new(settings.clone(), now);
        budget.record_request(&name(1), now);
        let verdict = if may_have_run { Verdict::MayHaveRun } else { Verdict::NotRun };
        let failure = Failure {
            workspace: &name(1),
            cause,
            refusal: refusal(verdict, code),
            idempotent,
            response_started,
            attempts,
            refusals: attempts,
            candidates,
            deadline: now + Duration::from_millis(remaining_ms),
        };
        match Retry::decide(failure, &settings, &mut budget, now) {
            Retry::Next => {
                prop_assert!(idempotent || !may_have_run, "a request that is not idempotent and may have run is retried");
                prop_assert!(!response_started && candidates > 0 && remaining_ms > 0 && code != Code::Suspect);
                prop_assert!(cause == Cause::Refused || attempts < settings.max_attempts);
            }
            Retry::GiveUp(refusal) => prop_assert_eq!(refusal.verdict, verdict),
        }
    }
}

/// Simulates requests of `workspaces` workspaces to a pool in which a third of the
/// servers fails. Returns the attempts per request and the share of failed requests.
fn retry_amplification(workspaces: u64, unreachable: bool, ejects: bool) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let settings = Settings::default();
    let mut budget = RetryBudget::new(settings.clone(), Instant::ZERO);
    let mut detector = OutlierDetector::new(settings.clone());
    let zone = |number: u64| format!("z{}", number % 3).parse().expect("a valid name");
    let server = |number: u64| {
        format!("s{number}")
            .parse::<Server>()
            .expect("a valid name")
    };
    detector.set_servers((0..12).map(|number| (server(number), zone(number))));
    let (requests, mut sent, mut failed) = (20_000_u64, 0, 0);
    for request in 0..requests {
        let now = Instant::from_millis(request * 10);
        let workspace = name(rng.random_range(0..workspaces));
        budget.record_request(&workspace, now);
        let usable = detector.usable(now);
        let mut attempts = 0;
        loop {
            attempts += 1;
            sent += 1;
            let server_tried = &usable[rng.random_range(0..usable.len())];
            let fails =
                (0..4).any(|number| *server_tried == server(number)) && rng.random::<f64>() < 0.9;
            if !fails {
                detector.record_success(server_tried, now);
                break;
            }
            if ejects {
                detector.record_failure(server_tried, now);
            }
            let (cause, verdict) = match unreachable {
                true => (Cause::Unreachable, Verdict::NotRun),
                false => (Cause::Failed, Verdict::MayHaveRun),
            };
            let failure = Failure {
                workspace: &workspace,
                cause,
                refusal: refusal(verdict, Code::BackendFailed),
                idempotent: true,
                response_started: false,
                attempts,
                refusals: 0,
                candidates: 11,
                deadline: now + Duration::from_secs(10),
            };
            if Retry::decide(failure, &settings, &mut budget, now) != Retry::Next {
                failed += 1;
                break;
            }
        }
    }
    (
        sent as f64 / requests as f64,
        failed as f64 / requests as f64,
    )
}

// A third of the engines fail 90% of their requests. Without a limit, retries would
// overload the remaining engines and make them fail as well. The budget alone must
// limit the retries, also without outlier detection.
#[parameterized(
    unreachable = { 10, true, true },
    failing = { 10, false, true },
    many_workspaces = { 970, false, true },
    without_ejection = { 10, false, false },
    many_without_ejection = { 970, true, false },
)]
fn retries_stay_a_bounded_share_of_the_load(workspaces: u64, unreachable: bool, ejects: bool) {
    let (attempts, failed) = retry_amplification(workspaces, unreachable, ejects);
    println!(
        "workspaces={workspaces} unreachable={unreachable} ejects={ejects} \
         retry_amplification={attempts:.4} failed={failed:.4}"
    );
    assert!(attempts <= 1.1, "{attempts} attempts per request");
    assert!(!ejects || failed <= 0.05, "{failed} of the requests failed");
}

// A workspace whose requests always fail must not use up the retry budget of
// others, whose few retries would then be refused.
#[test]
fn workspaces_cannot_spend_each_others_retry_budget() {
    let now = Instant::from_millis(1);
    let mut budget = RetryBudget::new(Settings::default(), now);
    for _ in 0..100 {
        budget.record_request(&name(1), now);
        budget.record_request(&name(2), now);
    }
    let withdrawn = (0..1000)
        .filter(|_| budget.try_withdraw(&name(1), now))
        .count();
    assert!(withdrawn <= 11, "{withdrawn} retries for 100 requests");
    assert!(
        budget.try_withdraw(&name(2), now),
        "the other workspace has no budget left"
    );
    // Idle workspaces are removed.
    for minute in 1..4 {
        budget.record_request(&name(3), now + Duration::from_secs(61 * minute));
    }
    assert_eq!(budget.len(), 1);
}
