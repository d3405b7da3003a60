//! Metrics of the router.
//!
//! Label values come only from fixed sets, so that callers cannot increase the
//! number of time series.

use std::{
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use hyper::StatusCode;
use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use storage::traffic::Traffic;
use units::revision;
use verdict::{Code, Refusal, Verdict};

use crate::status;

/// Histogram bucket bounds for the time to the response head and for the queue
/// time, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.47, 1.0, 2.0, 5.0, 20.0];

/// The labels of the refusal counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    code: String,
    verdict: String,
}

/// The labels of the response counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    class: String,
}

/// The labels of the control traffic counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TrafficLabels {
    direction: &'static str,
}

/// The direction of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Sent by this router.
    Sent,
    /// Received by this router.
    Received,
}

/// Totals over the servers that a router owns.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Owned {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Sum of the concurrency limits.
    pub limit: u32,
    /// Largest ratio of a server's load to the mean load of its pool, or zero
    /// while the mean is small.
    pub skew: f64,
}

/// The metrics of a router and their registry.
#[derive(Debug, Default)]
pub struct Metrics {
    registry: Registry,
    refusals: Family<RefusalLabels, Counter>,
    responses: Family<StatusLabels, Counter>,
    head_seconds: Option<Histogram>,
    control_bytes: Family<TrafficLabels, Counter>,
    prompt_tokens: Counter,
    cached_tokens: Counter,
    spills: Counter,
    retries: Counter,
    revision: Gauge,
    in_flight: Gauge,
    queued: Gauge,
    limits: Gauge,
    skew: Gauge<f64, AtomicU64>,
    queue_seconds: Option<Histogram>,
    traffic: Arc<Traffic>,
    polled_sent: Gauge,
    polled_received: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self::default();
        let registry = &mut metrics.registry;
        registry.register("weir_refusals", "Final refusals", metrics.refusals.clone());
        registry.register(
            "weir_answers",
            "Answers by status",
            metrics.responses.clone(),
        );
        let head_seconds = Histogram::new(BUCKETS);
        registry.register(
            "weir_head_seconds",
            "Time to the head of an answer",
            head_seconds.clone(),
        );
        metrics.head_seconds = Some(head_seconds);
        registry.register(
            "weir_control_bytes",
            "Bytes of heartbeats, headers of IP and UDP included",
            metrics.control_bytes.clone(),
        );
        registry.register(
            "weir_polled_sent_bytes",
            "Bytes sent for probes of load and polls of the platform",
            metrics.polled_sent.clone(),
        );
        registry.register(
            "weir_polled_received_bytes",
            "Bytes received for probes of load and polls of the platform",
            metrics.polled_received.clone(),
        );
        registry.register(
            "weir_prompt_tokens",
            "Prompt tokens of answered requests",
            metrics.prompt_tokens.clone(),
        );
        registry.register(
            "weir_cached_tokens",
            "Prompt tokens that engines had cached",
            metrics.cached_tokens.clone(),
        );
        registry.register(
            "weir_spills",
            "Offers that were refused and went to the next server",
            metrics.spills.clone(),
        );
        registry.register(
            "weir_retries",
            "Second attempts at requests that may have run",
            metrics.retries.clone(),
        );
        let queue_seconds = Histogram::new(BUCKETS);
        registry.register(
            "weir_queue_seconds",
            "Time that admitted requests waited for a slot",
            queue_seconds.clone(),
        );
        metrics.queue_seconds = Some(queue_seconds);
        registry.register(
            "weir_owned_in_flight",
            "Requests in flight on owned servers",
            metrics.in_flight.clone(),
        );
        registry.register(
            "weir_owned_queued",
            "Requests that wait for owned servers",
            metrics.queued.clone(),
        );
        registry.register(
            "weir_owned_limit",
            "Sum of the limits of owned servers",
            metrics.limits.clone(),
        );
        registry.register(
            "weir_skew",
            "Largest load of an owned server over the mean of its pool, zero below a mean of four",
            metrics.skew.clone(),
        );
        registry.register(
            "weir_revision",
            "Revision of the configuration in force",
            metrics.revision.clone(),
        );
        metrics
    }

    /// Counts a final refusal of a request.
    pub fn refused(&self, refusal: &Refusal) {
        let labels = refusal_labels(refusal.code, refusal.verdict);
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a response, and records the time to its head.
    pub fn responded(&self, status: StatusCode, time: Duration) {
        let class = format!("{}xx", status.as_u16() / 100);
        self.responses.get_or_create(&StatusLabels { class }).inc();
        if let Some(histogram) = &self.head_seconds {
            histogram.observe(time.as_secs_f64());
        }
    }

    /// Counts bytes of control traffic.
    pub fn control_traffic(&self, direction: Direction, bytes: usize) {
        let direction = match direction {
            Direction::Sent => "sent",
            Direction::Received => "received",
        };
        self.control_bytes
            .get_or_create(&TrafficLabels { direction })
            .inc_by(bytes as u64);
    }

    /// Counts the prompt tokens of a request, and those of them that were cached.
    pub fn token_usage(&self, prompt: u64, cached: u64) {
        self.prompt_tokens.inc_by(prompt);
        self.cached_tokens.inc_by(cached);
    }

    /// Counts a refused offer after which the next server was tried.
    pub fn spilled(&self) {
        self.spills.inc();
    }

    /// Counts a retry.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Sets the totals over the servers that this router owns.
    pub fn owned(&self, owned: Owned) {
        self.in_flight.set(i64::from(owned.in_flight));
        self.queued.set(i64::from(owned.queued));
        self.limits.set(i64::from(owned.limit));
        self.skew.set(owned.skew);
    }

    /// Records the time that a request spent in the queue of a server.
    pub fn waited(&self, time: Duration) {
        if let Some(histogram) = &self.queue_seconds {
            histogram.observe(time.as_secs_f64());
        }
    }

    /// Sets the configuration revision in force.
    pub fn applied(&self, revision: revision::Id) {
        self.revision
            .set(i64::try_from(revision.0).unwrap_or(i64::MAX));
    }

    /// Returns the counters for the traffic of platform polls and load probes.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        self.polled_sent.set(self.traffic.sent() as i64);
        self.polled_received.set(self.traffic.received() as i64);
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    /// Returns the refusal counts for the status page.
    pub fn refusals(&self) -> Vec<status::Refusals> {
        let verdicts = [Verdict::NotRun, Verdict::MayHaveRun];
        let pairs = Code::ALL
            .iter()
            .flat_map(|&code| verdicts.map(|verdict| (code, verdict)));
        pairs
            .filter_map(|(code, verdict)| {
                let counter = self.refusals.get(&refusal_labels(code, verdict))?;
                Some(status::Refusals {
                    code,
                    verdict,
                    count: counter.get(),
                })
            })
            .collect()
    }
}

fn refusal_labels(code: Code, verdict: Verdict) -> RefusalLabels {
    RefusalLabels {
        code: code.to_string(),
        verdict: verdict.to_string(),
    }
}
