//! An estimate of the memory that requests of other routers take.
//!
//! A router knows only the number of these requests. Its own requests to the same engine are a
//! sample of them: a prompt part that recurs in the sample is likely to be in use there, and is
//! counted once.

use std::{collections::VecDeque, time::Duration};

use smallvec::SmallVec;
use units::{chat, time::Instant};

use crate::{Footprint, Part, Tokens};

/// The most requests in the sample: about as many as an engine runs at once.
const MAX_SAMPLE: usize = 16;
/// How long a request belongs to the sample.
const SAMPLE_TTL: Duration = Duration::from_secs(30);
/// The weight of the mean over all engines, in requests of the sample. Without it, one unusually
/// long prompt would make an engine look full.
const PRIOR_REQUESTS: f64 = 8.0;
/// The weight of a new request in the mean over all engines is one divided by this number.
const MEAN_DIVISOR: f64 = 64.0;
/// How many standard deviations the requests of peers may take above their mean. Two leave one
/// case in forty.
const DEVIATIONS: f64 = 2.0;

/// The tokens that a typical request of the service adds to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Typical {
    weight: f64,
    tokens: f64,
    squares: f64,
}

impl Typical {
    /// Records a request that added `novel` tokens to what its engine was known to hold.
    pub fn record(&mut self, novel: Tokens, footprint: &Footprint) {
        let (weight, novel) = (weight(footprint), novel.0 as f64);
        let keep = 1.0 - 1.0 / MEAN_DIVISOR;
        self.weight = self.weight * keep + weight;
        self.tokens = self.tokens * keep + weight * novel;
        self.squares = self.squares * keep + weight * novel * novel;
    }

    /// The same with `footprint` as one more request. Without it, a router that has sent nothing
    /// yet would take requests of others to be empty.
    fn with(&self, footprint: &Footprint) -> Self {
        let (weight, tokens) = (weight(footprint), footprint.total().0 as f64);
        Self {
            weight: self.weight + weight,
            tokens: self.tokens + weight * tokens,
            squares: self.squares + weight * tokens * tokens,
        }
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.tokens / self.weight
        } else {
            0.0
        }
    }

    fn deviation(&self) -> f64 {
        if self.weight > 0.0 {
            let variance = self.squares / self.weight - self.mean().powi(2);
            variance.max(0.0).sqrt()
        } else {
            0.0
        }
    }
}

/// The weight of a request in a sample of what runs at one time: requests that generate more run
/// longer.
fn weight(footprint: &Footprint) -> f64 {
    1.0 + footprint.output.0 as f64
}

/// A request of the sample.
#[derive(Clone, Debug)]
struct Sampled {
    footprint: Footprint,
    expires_at: Instant,
}

/// A part that recurs in the sample.
#[derive(Clone, Copy, Debug)]
struct Recurrent {
    part: Part,
    /// The chance that one request holds it.
    probability: f64,
}

/// The latest requests of this router at one engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sample {
    requests: VecDeque<Sampled>,
    recurrent: SmallVec<[Recurrent; 4]>,
    /// The weight of all requests.
    weight: f64,
    /// The weighted sum of the tokens that belong to one request only.
    single: f64,
}

impl Sample {
    /// Adds a request. Returns its tokens that were in no request of the sample.
    pub fn record(&mut self, footprint: &Footprint, now: Instant) -> Tokens {
        self.requests.retain(|sampled| now < sampled.expires_at);
        let novel: Tokens = footprint
            .parts
            .iter()
            .filter(|part| self.count(part.key) == 0)
            .map(|part| part.tokens)
            .sum();
        if self.requests.len() >= MAX_SAMPLE {
            self.requests.pop_front();
        }
        self.requests.push_back(Sampled {
            footprint: footprint.clone(),
            expires_at: now + SAMPLE_TTL,
        });
        self.summarize();
        novel + footprint.private
    }

    fn count(&self, key: chat::Key) -> usize {
        let holds = |sampled: &&Sampled| sampled.footprint.parts.iter().any(|part| part.key == key);
        self.requests.iter().filter(holds).count()
    }

    fn summarize(&mut self) {
        let mut recurrent: SmallVec<[Recurrent; 4]> = SmallVec::new();
        let mut single = 0.0;
        let weights = self
            .requests
            .iter()
            .map(|sampled| weight(&sampled.footprint));
        let total: f64 = weights.sum();
        for sampled in &self.requests {
            let weight = weight(&sampled.footprint);
            single += weight * sampled.footprint.private.0 as f64;
            for part in &sampled.footprint.parts {
                if self.count(part.key) < 2 {
                    single += weight * part.tokens.0 as f64;
                    continue;
                }
                match recurrent
                    .iter_mut()
                    .find(|other| other.part.key == part.key)
                {
                    Some(known) => {
                        known.probability += weight / total;
                        known.part.tokens = known.part.tokens.max(part.tokens);
                    }
                    None => recurrent.push(Recurrent {
                        part: *part,
                        probability: weight / total,
                    }),
                }
            }
        }
        self.recurrent = recurrent;
        self.weight = total;
        self.single = single;
    }

    /// The tokens that `peers` requests of other routers take beside `footprint` and the parts
    /// that are counted already.
    pub fn expected(
        &self,
        peers: u32,
        typical: &Typical,
        footprint: &Footprint,
        is_counted: impl Fn(chat::Key) -> bool,
        now: Instant,
    ) -> Tokens {
        if peers == 0 {
            return Tokens(0);
        }
        let typical = typical.with(footprint);
        let peers = f64::from(peers);
        let last = self.requests.back();
        let is_current = last.is_some_and(|sampled| now < sampled.expires_at);
        let (mean, recurrent) = if is_current {
            let mean_weight = self.weight / self.requests.len() as f64;
            let prior = PRIOR_REQUESTS * mean_weight;
            let mean = (self.single + prior * typical.mean()) / (self.weight + prior);
            let uncounted = self.recurrent.iter();
            let uncounted = uncounted.filter(|recurrent| !is_counted(recurrent.part.key));
            let recurrent: f64 = uncounted
                .map(|recurrent| {
                    let missing = (1.0 - recurrent.probability.min(1.0)).powf(peers);
                    recurrent.part.tokens.0 as f64 * (1.0 - missing)
                })
                .sum();
            (mean, recurrent)
        } else {
            (typical.mean(), 0.0)
        };
        let margin = DEVIATIONS * typical.deviation() * peers.sqrt();
        Tokens((peers * mean + recurrent + margin) as u64)
    }
}
