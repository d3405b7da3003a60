//! Results of a load test.

mod counts;
mod phase;
mod second;

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use tokio::sync::mpsc;

use crate::outcome::{Outcome, Refusal, Sample, Usage};

pub use counts::Counts;
pub use phase::Phase;
pub use second::Second;

/// Maximum number of lost, duplicated and wrong requests that the report lists individually.
const MAX_LISTED_FAILURES: usize = 20;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A chat completion.
    Chat,
    /// A booking.
    Booking,
    /// A lookup.
    Lookup,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Chat => "chat",
            Self::Booking => "booking",
            Self::Lookup => "lookup",
        })
    }
}

/// A completed request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: Kind,
    /// Name of the chat, ID of the booking, or path of the lookup.
    pub name: String,
    /// Outcome and times of the request.
    pub sample: Sample,
}

/// Channel on which callers send the records of their requests.
#[derive(Clone, Debug)]
pub struct Sender(mpsc::UnboundedSender<Record>);

impl Sender {
    /// Sends a record. It is dropped if the receiver is closed.
    pub fn send(&self, kind: Kind, name: &str, sample: Sample) {
        let name = String::from(name);
        drop(self.0.send(Record { kind, name, sample }));
    }
}

/// Creates a channel for records.
pub fn channel() -> (Sender, mpsc::UnboundedReceiver<Record>) {
    let (sender, records) = mpsc::unbounded_channel();
    (Sender(sender), records)
}

/// Response times of one kind of request.
#[derive(Clone, Debug)]
struct Times {
    first_token: Histogram<u64>,
    total: Histogram<u64>,
}

/// Results of a load test.
#[derive(Clone, Debug)]
pub struct Report {
    started: Instant,
    /// Numbers of requests by outcome.
    pub counts: Counts,
    refusals: BTreeMap<(Kind, String), u64>,
    times: BTreeMap<Kind, Times>,
    usage: Usage,
    seconds: BTreeMap<u64, Second>,
    phases: Vec<Phase>,
    bookings: BTreeMap<String, Vec<Outcome>>,
    failures: Vec<String>,
    retries: u64,
}

impl Report {
    /// An empty report of a run that started at `started`. `phases` are the start times of the
    /// second and further phases, relative to `started`.
    pub fn new(started: Instant, phases: &[Duration]) -> Self {
        let starts = std::iter::once(&Duration::ZERO).chain(phases);
        Self {
            phases: starts.map(|start| Phase::new(*start)).collect(),
            started,
            counts: Counts::default(),
            refusals: BTreeMap::new(),
            times: BTreeMap::new(),
            usage: Usage::default(),
            seconds: BTreeMap::new(),
            bookings: BTreeMap::new(),
            failures: Vec::new(),
            retries: 0,
        }
    }

    /// Adds a completed request.
    pub fn add(&mut self, record: Record) {
        let Record { kind, name, sample } = record;
        let end = sample.started + sample.total - self.started;
        let second = self.seconds.entry(end.as_secs()).or_default();
        second.add(&sample);
        self.add_to_phase(kind, &sample);
        self.retries += u64::from(sample.sends.saturating_sub(1));
        let label = format!("{kind} {name} request={}", sample.id);
        match &sample.outcome {
            Outcome::Served(usage) => {
                self.counts.served += 1;
                self.usage.prompt_tokens += usage.prompt_tokens;
                self.usage.cached_tokens += usage.cached_tokens;
                self.add_times(kind, &sample);
            }
            Outcome::Refused(refusal) => self.add_refusal(kind, refusal),
            Outcome::Lost(reason) => {
                self.counts.lost += 1;
                self.add_failure(format!("lost {label}: {reason}"));
            }
            Outcome::Wrong(reason) => {
                self.counts.wrong += 1;
                self.add_failure(format!("wrong {label}: {reason}"));
            }
        }
        if kind == Kind::Booking {
            self.bookings.entry(name).or_default().push(sample.outcome);
        }
    }

    /// Adds a request to the phase in which it started.
    fn add_to_phase(&mut self, kind: Kind, sample: &Sample) {
        let started = sample.started - self.started;
        let phases = self.phases.iter_mut().rev();
        if let Some(phase) = phases.into_iter().find(|phase| phase.start() <= started) {
            phase.add(kind, sample);
        }
    }

    fn add_refusal(&mut self, kind: Kind, refusal: &Refusal) {
        self.counts.refused += 1;
        let key = (kind, refusal.to_string());
        *self.refusals.entry(key).or_default() += 1;
    }

    fn add_times(&mut self, kind: Kind, sample: &Sample) {
        let times = self.times.entry(kind).or_insert_with(|| Times {
            first_token: histogram(),
            total: histogram(),
        });
        times.total.saturating_record(micros(sample.total));
        if let Some(first_token) = sample.first_token {
            times.first_token.saturating_record(micros(first_token));
        }
    }

    fn add_failure(&mut self, failure: String) {
        self.failures.push(failure);
    }

    /// Compares the outcomes that callers received with the number of times each booking ran.
    ///
    /// A booking that ran more than once is duplicated. A booking is wrong if it ran although all
    /// its callers were refused as not run, or if it was confirmed but did not run.
    pub fn reconcile(&mut self, runs: &BTreeMap<String, u64>) {
        for (id, outcomes) in std::mem::take(&mut self.bookings) {
            let ran = runs.get(&id).copied().unwrap_or(0);
            let was_confirmed = outcomes
                .iter()
                .any(|outcome| matches!(outcome, Outcome::Served(_)));
            let refused_as_not_run =
                |o: &Outcome| matches!(o, Outcome::Refused(r) if r.is_not_run());
            if ran > 1 {
                self.counts.duplicated += 1;
                self.add_failure(format!("duplicated booking {id}: ran {ran} times"));
            }
            if was_confirmed && ran == 0 {
                self.counts.wrong += 1;
                self.add_failure(format!("wrong booking {id}: confirmed, but never ran"));
            }
            if ran > 0 && outcomes.iter().all(refused_as_not_run) {
                self.counts.wrong += 1;
                self.add_failure(format!(
                    "wrong booking {id}: ran, but was refused as not run"
                ));
            }
        }
    }

    /// Whether no request was lost, duplicated or wrong, and at least one request was served of
    /// every kind that was refused.
    ///
    /// Without the second condition, a fleet that refuses everything would pass.
    pub fn has_passed(&self) -> bool {
        let is_unserved = |kind: &Kind| !self.times.contains_key(kind);
        let refused = self.refusals.keys().map(|(kind, _)| kind);
        self.counts.is_clean() && !refused.into_iter().any(is_unserved)
    }

    /// One line for each second of the run.
    pub fn timeline(&self) -> String {
        let lines = self.seconds.iter();
        let lines = lines.map(|(second, counts)| format!("second={second} {counts}\n"));
        lines.collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for failure in self.failures.iter().take(MAX_LISTED_FAILURES) {
            writeln!(f, "{failure}")?;
        }
        if self.failures.len() > MAX_LISTED_FAILURES {
            writeln!(f, "and {} more", self.failures.len() - MAX_LISTED_FAILURES)?;
        }
        if self.phases.len() > 1 {
            self.phases
                .iter()
                .try_for_each(|phase| write!(f, "{phase}"))?;
        }
        for ((kind, refusal), count) in &self.refusals {
            writeln!(f, "refused={kind}/{refusal} count={count}")?;
        }
        for (kind, times) in &self.times {
            write_times(f, &format!("{kind}_first_token"), &times.first_token)?;
            write_times(f, &format!("{kind}_total"), &times.total)?;
        }
        writeln!(
            f,
            "reuse={:.3} prompt_tokens={} cached_tokens={} repeats={}",
            self.usage.cache_hit_ratio(),
            self.usage.prompt_tokens,
            self.usage.cached_tokens,
            self.retries
        )?;
        write!(f, "{}", self.counts)
    }
}

/// An empty histogram of durations in microseconds, up to one hour.
pub(crate) fn histogram() -> Histogram<u64> {
    const MAX_US: u64 = 3_600_000_000;
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
        .expect("the histogram bounds are valid")
}

/// Writes the percentiles of `times` as one line.
pub(crate) fn write_times(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    times: &Histogram<u64>,
) -> fmt::Result {
    let millis = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    writeln!(
        f,
        "time={name} count={} p50_ms={:.3} p95_ms={:.3} p99_ms={:.3}",
        times.len(),
        millis(0.5),
        millis(0.95),
        millis(0.99)
    )
}

/// A duration in whole microseconds.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
