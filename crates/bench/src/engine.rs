//! Simulates a model engine in virtual time.
//!
//! Prefill is serial, decoding slows down as the batch grows, and the prefix cache is
//! limited. After a start the engine is cold: its safe load is low, its prefill is
//! slow, and it crashes when it receives far more than its safe load.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use units::{chat, request, time::Instant};

use crate::cache::Cache;

/// Performance and limits of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of requests that run at once; further ones wait inside the
    /// engine.
    pub capacity: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Prefill time of one uncached prompt token.
    pub prefill: Duration,
    /// Decode time of one output token in a batch of one.
    pub decode: Duration,
    /// Time from a start until the engine is warm.
    pub warm_up: Duration,
    /// Safe load right after a start, in requests.
    pub cold_requests: u32,
    /// Factor by which prefill is slower right after a start.
    pub cold_slowdown: f64,
    /// The engine crashes once it has received more than this many times its safe load
    /// while cold.
    pub crash_factor: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            capacity: 64,
            cache_tokens: 800_000,
            prefill: Duration::from_micros(20),
            decode: Duration::from_millis(20),
            warm_up: Duration::from_secs(20),
            cold_requests: 2,
            cold_slowdown: 10.0,
            crash_factor: 8,
        }
    }
}

/// One request as the engine receives it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: request::Attempt,
    /// The chat.
    pub chat: chat::Key,
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens to generate.
    pub output: u32,
}

/// A job that has started to run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The job.
    pub job: Job,
    /// Prompt tokens that were cached.
    pub cached: u32,
    /// When the engine started the job.
    pub begun_at: Instant,
    /// When the engine produces the first token.
    pub first_token_at: Instant,
    /// When the engine has produced the last token.
    pub done_at: Instant,
}

/// Result of submitting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// The job is running.
    Running,
    /// The job waits inside the engine.
    Waiting,
    /// The engine is down or crashed from overload; these attempts are lost.
    Lost(Vec<request::Attempt>),
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    settings: Settings,
    up: bool,
    boot: u64,
    started_at: Instant,
    cold: bool,
    prefill_free_at: Instant,
    running: BTreeMap<request::Attempt, Run>,
    waiting: VecDeque<Job>,
    cache: Cache,
    evicted: Vec<chat::Key>,
}

impl Engine {
    /// A warm engine with an empty cache.
    pub fn new(settings: Settings) -> Self {
        Self {
            up: true,
            boot: 1,
            started_at: Instant::ZERO,
            cold: false,
            prefill_free_at: Instant::ZERO,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            cache: Cache::new(settings.cache_tokens),
            evicted: Vec::new(),
            settings,
        }
    }

    /// Whether the engine accepts connections.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Number of starts, which identifies the current one.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of requests that wait inside the engine.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Number of running and waiting requests.
    pub fn load(&self) -> u32 {
        self.running() + self.waiting()
    }

    /// Maximum number of requests that run at once.
    pub fn capacity(&self) -> u32 {
        self.settings.capacity
    }

    /// Tokens in the prefix cache.
    pub fn cached_tokens(&self) -> u64 {
        self.cache.total_tokens()
    }

    /// Progress of the warm-up, from zero to one.
    fn warm_fraction(&self, now: Instant) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.since(self.started_at).as_secs_f64();
        (age / self.settings.warm_up.as_secs_f64()).min(1.0)
    }

    /// Whether the engine is still warming up.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warm_fraction(now) < 1.0
    }

    /// Number of requests that the engine can hold at its current warm-up without
    /// overload.
    pub fn safe_load(&self, now: Instant) -> u32 {
        let cold = f64::from(self.settings.cold_requests);
        let full = f64::from(self.settings.capacity);
        (cold + (full - cold) * self.warm_fraction(now).powi(2)) as u32
    }

    /// Submits a job. A cold engine crashes if it has received too many jobs since it
    /// turned cold.
    pub fn submit(&mut self, job: Job, now: Instant) -> Submission {
        if !self.up {
            return Submission::Lost(vec![job.attempt]);
        }
        self.waiting.push_back(job);
        let crash_threshold = self
            .safe_load(now)
            .saturating_mul(self.settings.crash_factor);
        if self.is_cold(now) && self.received_while_cold() > crash_threshold {
            return Submission::Lost(self.crash());
        }
        self.start_waiting(now);
        if self.running.contains_key(&job.attempt) {
            Submission::Running
        } else {
            Submission::Waiting
        }
    }

    /// Number of jobs received since the engine turned cold.
    fn received_while_cold(&self) -> u32 {
        let begun = self.running.values();
        let begun = begun.filter(|run| run.begun_at >= self.started_at).count();
        begun as u32 + self.waiting()
    }

    /// The running job of an attempt, if any.
    pub fn run(&self, attempt: request::Attempt) -> Option<Run> {
        self.running.get(&attempt).copied()
    }

    /// Ends a running job. Returns the jobs that start in its place.
    pub fn finish(&mut self, attempt: request::Attempt, now: Instant) -> Vec<Run> {
        let Some(run) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        let tokens = run.job.prompt + run.job.output;
        let evicted = self.cache.store(run.job.chat, tokens);
        self.evicted.extend(evicted);
        self.start_waiting(now)
    }

    /// Stops the engine. Returns the attempts that it held, which are lost.
    pub fn crash(&mut self) -> Vec<request::Attempt> {
        self.up = false;
        let running = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        self.cache.clear();
        self.evicted.clear();
        let lost = running.into_keys();
        lost.chain(waiting.into_iter().map(|job| job.attempt))
            .collect()
    }

    /// Starts the engine again, cold.
    pub fn start(&mut self, now: Instant) {
        self.up = true;
        self.turn_cold(now);
    }

    /// Makes the engine cold without notice; its running jobs continue.
    pub fn turn_cold(&mut self, now: Instant) {
        self.boot += 1;
        self.cold = true;
        self.started_at = now;
        self.prefill_free_at = now;
        self.cache.clear();
        self.evicted.clear();
    }

    /// Returns the chats evicted from the cache since the last call.
    pub fn take_evicted(&mut self) -> Vec<chat::Key> {
        std::mem::take(&mut self.evicted)
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<Run> {
        let mut started = Vec::new();
        while self.running() < self.settings.capacity {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            started.push(self.start_run(job, now));
        }
        started
    }

    fn start_run(&mut self, job: Job, now: Instant) -> Run {
        let cached = self.cache.cached(job.chat).min(job.prompt);
        let slowdown = 1.0 + (self.settings.cold_slowdown - 1.0) * (1.0 - self.warm_fraction(now));
        let prefill = self.settings.prefill * (job.prompt - cached);
        let first_token_at = self.prefill_free_at.max(now) + prefill.mul_f64(slowdown);
        self.prefill_free_at = first_token_at;
        let batch = f64::from(self.running() + 1) / f64::from(self.settings.capacity);
        let decode = self
            .settings
            .decode
            .mul_f64(slowdown.sqrt() * (1.0 + batch / 2.0));
        let run = Run {
            job,
            cached,
            begun_at: now,
            first_token_at,
            done_at: first_token_at + decode * job.output,
        };
        let evicted = self.cache.store(job.chat, job.prompt);
        self.evicted.extend(evicted);
        self.running.insert(job.attempt, run);
        run
    }
}
