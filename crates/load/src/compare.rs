//! What the routers add over a direct connection, side by side in one run.

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

/// What a comparison does.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// An engine.
    pub direct: SocketAddr,
    /// A router that routes to it.
    pub routed: SocketAddr,
    /// How many requests go each way.
    pub requests: u32,
    /// How many requests go first, each way, without being counted.
    pub warm_up: u32,
    /// The workspace, the model and the sizes of the requests.
    pub load: Settings,
}

/// The times of one way.
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

/// The times of both ways.
#[derive(Clone, Debug)]
pub struct Report {
    direct: Target,
    routed: Target,
}

/// Sends the same requests both ways, one at a time and in turns.
///
/// In turns, because whatever else the machine does then slows both ways.
pub async fn run(comparison: &Comparison) -> Report {
    let pool = Pool::default();
    let mut direct = Target::new("direct", comparison.direct);
    let mut routed = Target::new("through", comparison.routed);
    for number in 0..comparison.warm_up + comparison.requests {
        if number == comparison.warm_up {
            direct.reset();
            routed.reset();
        }
        // Each way has its own chat, so neither finds the other's prefix cached.
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

    /// What the router adds to the first token at `quantile`, in milliseconds.
    pub fn added_first_token(&self, quantile: f64) -> f64 {
        added(&self.direct.first_token, &self.routed.first_token, quantile)
    }

    /// What the router adds to the whole answer at `quantile`, in milliseconds.
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

/// Negative where the way through the router was the faster one.
fn added(direct: &Histogram<u64>, routed: &Histogram<u64>, quantile: f64) -> f64 {
    let millis = |times: &Histogram<u64>| times.value_at_quantile(quantile) as f64 / 1000.0;
    millis(routed) - millis(direct)
}
