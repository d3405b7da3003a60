//! Callers that send lookups, which are idempotent.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
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

/// Stream of the random number generators of lookups.
const RNG_STREAM: u64 = 3;

/// A call that looks up the entry `number`.
pub fn call(settings: &Settings, workspace: &str, number: u32) -> Call {
    let path = format!("{}/{number}", settings.lookup_path);
    Call {
        method: Method::GET,
        headers: traffic::headers(settings, workspace),
        body: Bytes::new(),
        expected: Expected::Confirmation(standin::payload::confirmation(&path)),
        path,
    }
}

/// Simulates a caller that sends lookups until `end`.
pub async fn run_caller(
    settings: Arc<Settings>,
    balancer: Arc<Balancer>,
    records: report::Sender,
    caller: u32,
    end: Instant,
) {
    let mut rng = traffic::rng(&settings, RNG_STREAM, caller);
    loop {
        time::sleep(traffic::pause(settings.lookup_pause, &mut rng)).await;
        if Instant::now() >= end {
            return;
        }
        let workspace = traffic::workspace(&settings, &mut rng);
        let number = rng.random();
        let call = call(&settings, workspace, number);
        let sample = retry::send(&call, &balancer, &settings).await;
        records.send(Kind::Lookup, &call.path, sample);
    }
}
