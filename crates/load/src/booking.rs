//! Callers that send bookings, which must run at most once.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use futures_util::future;
use hyper::Method;
use rand::RngExt;
use tokio::time;

use crate::{
    balancer::Balancer,
    call::{Call, Expected},
    report::{self, Kind},
    retry,
    settings::Settings,
    traffic,
};

/// Stream of the random number generators of bookings.
const RNG_STREAM: u64 = 2;

/// A call that makes the booking `id`, with `id` as its idempotency key.
pub fn call(settings: &Settings, workspace: &str, id: &str) -> Call {
    let mut headers = traffic::headers(settings, workspace);
    traffic::add_header(&mut headers, "idempotency-key", id);
    Call {
        method: Method::POST,
        path: settings.booking_path.clone(),
        headers,
        body: Bytes::from(serde_json::json!({ "id": id }).to_string()),
        expected: Expected::Confirmation(standin::payload::confirmation(id)),
    }
}

/// Simulates a caller that sends bookings until `end`. Some bookings are sent twice concurrently.
pub async fn run_caller(
    settings: Arc<Settings>,
    balancer: Arc<Balancer>,
    records: report::Sender,
    caller: u32,
    end: Instant,
) {
    let mut rng = traffic::rng(&settings, RNG_STREAM, caller);
    // Runs against the same services must not share idempotency keys.
    let run: u64 = rand::random();
    for number in 0_u32.. {
        time::sleep(traffic::pause(settings.booking_pause, &mut rng)).await;
        if Instant::now() >= end {
            return;
        }
        let workspace = traffic::workspace(&settings, &mut rng);
        let id = format!("booking-{run:016x}-{caller}-{number}");
        let call = call(&settings, workspace, &id);
        let copies = 1 + usize::from(rng.random_ratio(settings.duplicate_percent, 100));
        let samples = (0..copies).map(|_| retry::send(&call, &balancer, &settings));
        for sample in future::join_all(samples).await {
            records.send(Kind::Booking, &id, sample);
        }
    }
}
