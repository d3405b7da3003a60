//! Calls and load tests against fake routers and faulty stand-ins.

use std::{net::SocketAddr, num::NonZeroUsize, time::Duration};

use load::{
    balancer::Balancer, booking, chat, lookup, outcome::Outcome, report::Counts, retry, run,
    settings::Settings,
};
use standin::{engine, service};
use yare::parameterized;

use crate::router::{self, Script};

fn settings(router: SocketAddr) -> Settings {
    Settings {
        routers: vec![router],
        timeout: Duration::from_secs(10),
        ..Settings::default()
    }
}

async fn balancer(router: SocketAddr) -> Balancer {
    let balancer = Balancer::new(&[router], None);
    balancer.probe().await;
    balancer
}

fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served(_) => "served",
        Outcome::Refused(_) => "refused",
        Outcome::Lost(_) => "lost",
        Outcome::Wrong(_) => "wrong",
    }
}

// A router fails a request in different ways. The caller retries only if that cannot run the
// request twice, and counts a request without a verdict as lost.
#[parameterized(
    retried_until_served = { Script::RefuseThenConfirm { refused: 3 }, "served", 4 },
    // The recorded outcome is available once the request that claimed the key has ended.
    retried_while_claimed = { Script::ClaimTakenThenConfirm { refused: 2 }, "served", 3 },
    final_not_run = { Script::Refuse { verdict: "not_run", retry_after: None }, "refused", 1 },
    // A request that may have run is not retried, even if the refusal has a retry delay.
    may_have_run = { Script::Refuse { verdict: "may_have_run", retry_after: Some(0) }, "refused", 1 },
    bad_gateway = { Script::BadGateway, "lost", 1 },
    connection_closed = { Script::CloseConnection, "lost", 1 },
)]
#[test_macro(tokio::test)]
async fn only_safe_requests_are_retried(script: Script, expected: &str, sends: u32) {
    let router = router::start(script).await;
    let settings = settings(router.address());
    let call = lookup::call(&settings, "w", 1);
    let balancer = balancer(router.address()).await;
    let sample = retry::send(&call, &balancer, &settings).await;
    assert_eq!((label(&sample.outcome), sample.sends), (expected, sends));
}

// A response of an engine reaches the caller truncated, shortened or swapped with that of another
// request. A caller that accepted it would show a driver an incomplete manifest review, or the
// review of another site.
#[parameterized(
    complete = { None, "served" },
    connection_closed = { Some(engine::Fault::CutStream { count: 1 }), "lost" },
    ended_without_done = { Some(engine::Fault::ShortStream { count: 1 }), "lost" },
    swapped = { Some(engine::Fault::CrossedAnswer { count: 1 }), "wrong" },
)]
#[test_macro(tokio::test)]
async fn stream_is_served_only_if_complete_and_correct(
    fault: Option<engine::Fault>,
    expected: &str,
) {
    let engine = engine::start(engine::Settings::default()).await.unwrap();
    if let Some(fault) = fault {
        engine.set_fault(fault);
    }
    let settings = settings(engine.address());
    let message = chat::Message {
        role: "user",
        content: String::from("hello"),
    };
    let call = chat::call(&settings, "w", "c", &[message], true);
    let balancer = balancer(engine.address()).await;
    let sample = retry::send(&call, &balancer, &settings).await;
    assert_eq!(label(&sample.outcome), expected, "{:?}", sample.outcome);
}

// No router claims the idempotency keys between the callers and the service, so bookings that are
// sent twice with the same key run twice and two trucks arrive. The ledger shows the duplicates.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_bookings_are_counted() {
    let service = service::start(service::Settings::default()).await.unwrap();
    let settings = Settings {
        ledgers: vec![service.address()],
        duration: Duration::from_millis(300),
        chats: 0,
        lookup_callers: 0,
        booking_pause: Duration::from_millis(5),
        duplicate_percent: 100,
        ..settings(service.address())
    };
    let report = run::run(settings).await.unwrap();
    let bookings = service.ledger().entries.len() as u64;
    let expected = Counts {
        served: 2 * bookings,
        duplicated: bookings,
        ..Counts::default()
    };
    assert!(bookings > 0);
    assert_eq!(report.counts, expected);
}

// A router refuses a booking as not run although it ran. The caller would book again elsewhere.
#[tokio::test]
async fn refusal_of_a_booking_that_ran_is_wrong() {
    let service = service::start(service::Settings::default()).await.unwrap();
    let refusing_router = router::start(Script::Refuse {
        verdict: "not_run",
        retry_after: None,
    })
    .await;
    let settings = settings(refusing_router.address());
    let mut report = load::report::Report::new(std::time::Instant::now(), &[]);
    for (id, has_run) in [("ran", true), ("did_not_run", false)] {
        let call = booking::call(&settings, "w", id);
        if has_run {
            let balancer = balancer(service.address()).await;
            retry::send(&call, &balancer, &settings).await;
        }
        let balancer = balancer(refusing_router.address()).await;
        let sample = retry::send(&call, &balancer, &settings).await;
        report.add(load::report::Record {
            kind: load::report::Kind::Booking,
            name: String::from(id),
            sample,
        });
    }
    let entries = service.ledger().entries.into_iter();
    report.reconcile(&entries.map(|entry| (entry.id, entry.runs)).collect());
    assert_eq!((report.counts.refused, report.counts.wrong), (2, 1));
}

/// Guards against a skewed balancer that spreads its requests all the same.
#[tokio::test]
async fn a_skewed_balancer_prefers_one_router() {
    let script = Script::RefuseThenConfirm { refused: 0 };
    let routers = [router::start(script).await, router::start(script).await];
    let addresses = routers.each_ref().map(|router| router.address());
    let balancer = Balancer::new(&addresses, NonZeroUsize::new(4));
    balancer.probe().await;
    let picks: Vec<_> = (0..80).filter_map(|_| balancer.pick()).collect();
    assert_eq!(
        picks
            .iter()
            .filter(|picked| **picked == addresses[0])
            .count(),
        70
    );
}
