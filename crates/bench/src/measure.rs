//! Computes figures from the statistics of a run.

use std::ops::Range;

use units::time::Instant;

use crate::{
    run::Case,
    stats::{Record, Stats, Status},
    workload::Arrival,
};

/// Minimum mean load for a sample to be used.
const MIN_MEAN_LOAD: f64 = 4.0;

/// A period of virtual time.
pub type Window = Range<Instant>;

/// The records of the requests that arrived within `window`.
pub fn requests_in<'a>(
    case: &'a Case,
    stats: &'a Stats,
    window: &'a Window,
) -> impl Iterator<Item = (&'a Arrival, &'a Record)> {
    case.arrivals
        .iter()
        .zip(&stats.requests)
        .filter(|(arrival, _)| window.contains(&arrival.at))
}

/// Ratio of the cached prompt tokens of served requests to those of the oracle.
pub fn reuse(case: &Case, stats: &Stats, window: &Window) -> f64 {
    let mut reused = 0;
    let mut possible = 0;
    let requests = case.arrivals.iter().zip(&stats.requests);
    for ((arrival, record), oracle) in requests.zip(&case.oracle) {
        if window.contains(&arrival.at) {
            possible += u64::from(*oracle);
            if record.status == Status::Served {
                reused += u64::from(record.cached);
            }
        }
    }
    ratio(reused, possible)
}

/// The highest ratio of an engine's load to the mean in any sample used.
pub fn skew_max(stats: &Stats, window: &Window) -> f64 {
    skews(stats, window).fold(0.0, f64::max)
}

/// The share of samples in which an engine exceeds `bound` times the mean.
pub fn skew_over(stats: &Stats, window: &Window, bound: f64) -> f64 {
    let over = skews(stats, window).filter(|skew| *skew > bound + 1e-9);
    ratio(over.count() as u64, skews(stats, window).count() as u64)
}

fn skews<'a>(stats: &'a Stats, window: &'a Window) -> impl Iterator<Item = f64> + 'a {
    stats
        .samples
        .iter()
        .filter(|sample| window.contains(&sample.at) && sample.mean >= MIN_MEAN_LOAD)
        .map(|sample| sample.skew())
}

/// The average of the samples' mean loads.
pub fn mean_load(stats: &Stats, window: &Window) -> f64 {
    let means = stats
        .samples
        .iter()
        .filter(|sample| window.contains(&sample.at))
        .map(|sample| sample.mean);
    let (sum, count) = means.fold((0.0, 0u32), |(sum, count), mean| (sum + mean, count + 1));
    sum / f64::from(count.max(1))
}

/// The share of requests with this status.
pub fn share(case: &Case, stats: &Stats, window: &Window, status: Status) -> f64 {
    let all = requests_in(case, stats, window).count();
    let ended = requests_in(case, stats, window).filter(|(_, record)| record.status == status);
    ratio(ended.count() as u64, all as u64)
}

/// The number of requests with this status.
pub fn count(case: &Case, stats: &Stats, window: &Window, status: Status) -> u64 {
    let ended = requests_in(case, stats, window).filter(|(_, record)| record.status == status);
    ended.count() as u64
}

/// The mean number of messages per request before it started on an engine.
pub fn hops(case: &Case, stats: &Stats, window: &Window) -> f64 {
    let hops: u64 = requests_in(case, stats, window)
        .map(|(_, record)| u64::from(record.hops))
        .sum();
    ratio(hops, requests_in(case, stats, window).count() as u64)
}

/// The time from the arrival of served requests at their entry router until they reach
/// the engine, at `quantile`, in milliseconds.
pub fn added_ms(case: &Case, stats: &Stats, window: &Window, quantile: f64) -> f64 {
    let served =
        requests_in(case, stats, window).filter(|(_, record)| record.status == Status::Served);
    let waits = served.map(|(arrival, record)| record.admitted_at.since(arrival.at));
    quantile_value(
        waits.map(|wait| wait.as_secs_f64() * 1e3).collect(),
        quantile,
    )
}

/// The time from the arrival of served requests to the first token at `quantile`, in
/// milliseconds.
pub fn first_token_ms(case: &Case, stats: &Stats, window: &Window, quantile: f64) -> f64 {
    let served =
        requests_in(case, stats, window).filter(|(_, record)| record.status == Status::Served);
    let waits = served.map(|(arrival, record)| record.first_token_at.since(arrival.at));
    quantile_value(
        waits.map(|wait| wait.as_secs_f64() * 1e3).collect(),
        quantile,
    )
}

/// The value at `quantile` of `values`.
pub fn quantile_value(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len().saturating_sub(1) as f64 * quantile) as usize;
    values.get(rank).copied().unwrap_or(0.0)
}

/// `part` over `whole`, or one if `whole` is zero.
pub fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}
