//! Measures what a router adds to response times over a direct connection to an engine.

use std::{fmt, net::SocketAddr, time::Instant};

use hdrhistogram::Histogram;

use crate::{
    call::Call,
    chat::{self, Message},
    client::Pool,
    outcome::Outcome,
    report::{histogram, micros, write_times},
    settings::Settings,
    traffic,
};

/// Settings of a comparison.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Address of an engine.
    pub direct: SocketAddr,
    /// Address of a router that routes to this engine.
    pub routed: SocketAddr,
    /// Number of measured requests to each address.
    pub requests: u32,
    /// Number of warm-up requests to each address, which are not measured.
    pub warm_up: u32,
    /// Workspace, model and sizes of the requests; other settings are ignored.
    pub load: Settings,
}

/// An address under test and its response times.
#[derive(Clone, Debug)]
struct Target {
    name: &'static str,
    address: SocketAddr,
    first_token: Histogram<u64>,
    total: Histogram<u64>,
    failed: u64,
}

impl Target {
    fn new(name: &'static str, address: SocketAddr) -> Self {
        Self {
            name,
            address,
            first_token: histogram(),
            total: histogram(),
            failed: 0,
        }
    }

    async fn send(&mut self, call: &Call, pool: &Pool) {
        let id = traffic::request_id();
        let started = Instant::now();
        let attempt = call.send(&id, pool, self.address).await;
        let total = started.elapsed();
        let Outcome::Served(_) = attempt.outcome else {
            logging::event!(
                warn,
                "request_failed",
                way = self.name,
                outcome = format!("{:?}", attempt.outcome)
            );
            self.failed += 1;
            return;
        };
        self.total.saturating_record(micros(total));
        let first_token = attempt.first_token.map_or(total, |at| at - started);
        self.first_token.saturating_record(micros(first_token));
    }

    fn reset(&mut self) {
        self.first_token.reset();
        self.total.reset();
    }
}

/// Response times of the engine directly and through the router.
#[derive(Clone, Debug)]
pub struct Report {
    direct: Target,
    routed: Target,
}

/// Sends the same requests to both addresses, one at a time and alternately.
///
/// Alternating ensures that other load on the machine affects both measurements alike.
pub async fn run(comparison: &Comparison) -> Report {
    let pool = Pool::default();
    let mut direct = Target::new("direct", comparison.direct);
    let mut routed = Target::new("through", comparison.routed);
    for number in 0..comparison.warm_up + comparison.requests {
        if number == comparison.warm_up {
            direct.reset();
            routed.reset();
        }
        // Each address has its own chat, so that neither benefits from prefixes cached for the
        // other.
        let direct_call = call(comparison, direct.name, number);
        let routed_call = call(comparison, routed.name, number);
        if number % 2 == 0 {
            direct.send(&direct_call, &pool).await;
            routed.send(&routed_call, &pool).await;
        } else {
            routed.send(&routed_call, &pool).await;
            direct.send(&direct_call, &pool).await;
        }
    }
    Report { direct, routed }
}

fn call(comparison: &Comparison, chat: &str, number: u32) -> Call {
    let load = &comparison.load;
    let workspace = load.workspaces.first().map_or("", String::as_str);
    let message = Message {
        role: "user",
        content: format!("{chat} request {number}"),
    };
    chat::call(
        load,
        workspace,
        &format!("compare-{chat}"),
        &[message],
        true,
    )
}

impl Report {
    /// Whether every request was served.
    pub fn has_passed(&self) -> bool {
        self.direct.failed == 0 && self.routed.failed == 0
    }

    /// Difference that the router makes to the time to first token at `quantile`, in milliseconds.
    pub fn added_first_token(&self, quantile: f64) -> f64 {
        added(&self.direct.first_token, &self.routed.first_token, quantile)
    }

    /// Difference that the router makes to the total response time at `quantile`, in milliseconds.
    pub fn added_total(&self, quantile: f64) -> f64 {
        added(&self.direct.total, &self.routed.total, quantile)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for target in [&self.direct, &self.routed] {
            write_times(
                f,
                &format!("{}_first_token", target.name),
                &target.first_token,
            )?;
            write_times(f, &format!("{}_total", target.name), &target.total)?;
        }
        write!(
            f,
            "added_first_token_p50_ms={:.3} added_first_token_p99_ms={:.3} \
             added_total_p50_ms={:.3} added_total_p99_ms={:.3} failed={}",
            self.added_first_token(0.5),
            self.added_first_token(0.99),
            self.added_total(0.5),
            self.added_total(0.99),
            self.direct.failed + self.routed.failed
        )
    }
}

/// Difference of two response times in milliseconds; negative if the router was faster.
fn added(direct: &Histogram<u64>, routed: &Histogram<u64>, quantile: f64) -> f64 {
    let millis = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1000.0;
    millis(routed) - millis(direct)
}
