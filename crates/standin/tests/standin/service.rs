//! Tests of the plain service stand-in.

use standin::service::{self, Fault, Settings};
use yare::parameterized;

use crate::client;

// A booking runs and its response is lost. A retry executes the booking a second time, and the
// ledger must show the duplicate.
#[parameterized(
    down = { Fault::Down, Some(503), 0 },
    response_lost = { Fault::LoseAnswer { count: Some(1) }, None, 1 },
    response_crossed = { Fault::CrossedAnswer { count: Some(1) }, Some(200), 1 },
)]
#[test_macro(tokio::test)]
async fn booking_during_fault(fault: Fault, status: Option<u16>, runs: u64) {
    let service = service::start(Settings::default()).await.unwrap();
    service.set_fault(fault);
    let headers = [
        ("idempotency-key", "b"),
        ("x-weir-attempt", "0000000000000001"),
    ];
    let send = || {
        client::send(
            service.address(),
            "POST",
            "/bookings",
            &headers,
            r#"{"id":"b"}"#,
        )
    };
    let response = send().await;
    assert_eq!(response.map(|a| a.status.as_u16()), status);
    assert_eq!(service.ledger().runs("b"), runs);
    service.set_fault(Fault::Normal);
    let again = send().await.unwrap();
    assert_eq!(again.attempt(), "0000000000000001");
    assert_eq!(service.ledger().runs("b"), runs + 1);
    assert_eq!(service.ledger().duplicates().count() as u64, runs);
}
