//! Random choices and headers shared by all kinds of traffic.

use std::time::Duration;

use hyper::{HeaderMap, header};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::settings::Settings;

/// Random number generator of one caller, independent of the generators of other callers.
pub fn rng(settings: &Settings, stream: u64, caller: u32) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    rng.set_stream(stream << 32 | u64::from(caller));
    rng
}

/// Draws a workspace. The k-th workspace has the weight 1/k, so that a few workspaces get most
/// of the traffic.
pub fn workspace<'a>(settings: &'a Settings, rng: &mut ChaCha8Rng) -> &'a str {
    let weights = (1..=settings.workspaces.len()).map(|rank| 1.0 / rank as f64);
    let mut remaining = rng.random::<f64>() * weights.clone().sum::<f64>();
    let weighted = settings.workspaces.iter().zip(weights);
    for (workspace, weight) in weighted {
        if remaining < weight {
            return workspace;
        }
        remaining -= weight;
    }
    settings.workspaces.last().map_or("", String::as_str)
}

/// Draws a pause from the exponential distribution with the given mean.
pub fn pause(mean: Duration, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}

/// Draws a text of `count` random words.
pub fn words(count: u32, rng: &mut ChaCha8Rng) -> String {
    let words = (0..count).map(|_| format!("{:05x}", rng.random_range(0..1 << 20)));
    words.collect::<Vec<_>>().join(" ")
}

/// Headers of a request of `workspace`.
pub fn headers(settings: &Settings, workspace: &str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    add_header(&mut headers, "content-type", "application/json");
    add_header(&mut headers, "x-weir-workspace", workspace);
    if let Some(key) = &settings.key {
        add_header(&mut headers, "authorization", &format!("Bearer {key}"));
    }
    headers
}

/// Adds a header, unless `value` is not a valid header value.
pub fn add_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Draws a request ID, which also appears in the routers' log lines.
pub fn request_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
