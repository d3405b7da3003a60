//! A phase of a run, such as the time during which an availability zone is unreachable.

use std::{fmt, time::Duration};

use hdrhistogram::Histogram;

use crate::{
    outcome::{Outcome, Sample, Usage},
    report::{Counts, Kind, histogram, micros, write_times},
};

/// Results of the requests that started in one phase.
#[derive(Clone, Debug)]
pub struct Phase {
    start: Duration,
    counts: Counts,
    retries: u64,
    usage: Usage,
    chat_first_token: Histogram<u64>,
    chat_total: Histogram<u64>,
}

impl Phase {
    /// An empty phase that begins at `start`, relative to the start of the run.
    pub fn new(start: Duration) -> Self {
        Self {
            start,
            counts: Counts::default(),
            retries: 0,
            usage: Usage::default(),
            chat_first_token: histogram(),
            chat_total: histogram(),
        }
    }

    /// Start of the phase, relative to the start of the run.
    pub fn start(&self) -> Duration {
        self.start
    }

    /// Adds a request that started in this phase.
    pub fn add(&mut self, kind: Kind, sample: &Sample) {
        self.retries += u64::from(sample.sends.saturating_sub(1));
        match sample.outcome {
            Outcome::Served(usage) => self.add_served(kind, sample, usage),
            Outcome::Refused(_) => self.counts.refused += 1,
            Outcome::Lost(_) => self.counts.lost += 1,
            Outcome::Wrong(_) => self.counts.wrong += 1,
        }
    }

    fn add_served(&mut self, kind: Kind, sample: &Sample, usage: Usage) {
        self.counts.served += 1;
        if kind != Kind::Chat {
            return;
        }
        self.usage.prompt_tokens += usage.prompt_tokens;
        self.usage.cached_tokens += usage.cached_tokens;
        self.chat_total.saturating_record(micros(sample.total));
        if let Some(first_token) = sample.first_token {
            self.chat_first_token.saturating_record(micros(first_token));
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = self.start.as_secs_f64();
        let Counts {
            served,
            refused,
            lost,
            wrong,
            ..
        } = self.counts;
        writeln!(
            f,
            "phase_from_s={start} served={served} refused={refused} lost={lost} wrong={wrong} \
             repeats={} reuse={:.3}",
            self.retries,
            self.usage.cache_hit_ratio()
        )?;
        let name = |times| format!("phase_from_s={start}_{times}");
        write_times(f, &name("chat_first_token"), &self.chat_first_token)?;
        write_times(f, &name("chat_total"), &self.chat_total)
    }
}
