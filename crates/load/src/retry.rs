//! Retries of a call until it has a final outcome.

use std::time::{Duration, Instant};

use tokio::time;

use crate::{
    balancer::Balancer,
    call::{Attempt, Call},
    outcome::{Outcome, Sample},
    settings::Settings,
    traffic,
};

/// Backoff before a lost call is retried, for example because no router was ready.
const BACKOFF: Duration = Duration::from_millis(100);

/// Sends `call` and retries it until it is served, finally refused or lost, or until its deadline.
///
/// A call is retried only in these cases:
/// - nothing of it was sent;
/// - it was refused with a retry delay, and the refusal states either that it has not run or that
///   its idempotency key is claimed;
/// - it was lost, for example because its connection broke, and the settings enable such retries.
pub async fn send(call: &Call, balancer: &Balancer, settings: &Settings) -> Sample {
    let started = Instant::now();
    let deadline = started + settings.timeout;
    let mut sends = 0;
    loop {
        let id = traffic::request_id();
        let attempt = send_once(call, &id, balancer, deadline).await;
        sends += u32::from(attempt.was_sent);
        let retry_at =
            retry_delay(&attempt, settings.retries_lost).map(|wait| Instant::now() + wait);
        if let Some(at) = retry_at.filter(|at| *at < deadline) {
            time::sleep_until(at.into()).await;
            continue;
        }
        return Sample {
            id,
            outcome: attempt.outcome,
            started,
            first_token: attempt.first_token.map(|at| at - started),
            total: started.elapsed(),
            sends,
        };
    }
}

async fn send_once(call: &Call, id: &str, balancer: &Balancer, deadline: Instant) -> Attempt {
    let Some(router) = balancer.pick() else {
        return not_sent("no router is ready");
    };
    let response = call.send(id, &balancer.pool, router);
    match time::timeout_at(deadline.into(), response).await {
        Ok(attempt) => attempt,
        Err(_) => Attempt {
            was_sent: true,
            ..not_sent(&format!("no response from {router} before the deadline"))
        },
    }
}

fn not_sent(reason: &str) -> Attempt {
    Attempt {
        outcome: Outcome::Lost(String::from(reason)),
        first_token: None,
        was_sent: false,
    }
}

/// Delay before the next attempt, or `None` if the outcome is final.
fn retry_delay(attempt: &Attempt, retries_lost: bool) -> Option<Duration> {
    match &attempt.outcome {
        Outcome::Lost(_) if retries_lost || !attempt.was_sent => Some(BACKOFF),
        Outcome::Refused(refusal) if refusal.is_not_run() || refusal.is_claimed() => {
            refusal.retry_after.map(Duration::from_secs)
        }
        _ => None,
    }
}
