//! A small fake of a model engine in virtual time.
//!
//! Prefill is serial, decoding slows down with the batch, and the prefix cache
//! is limited. After a start the engine is cold: it bears few requests, its
//! prefill is slow, and it crashes when it gets far more than it bears.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use units::{chat, request, time::Instant};

use crate::cache::Cache;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The most requests that it runs at once; more wait inside it.
    pub capacity: u32,
    /// The tokens that its prefix cache holds.
    pub cache_tokens: u64,
    /// The time that one prompt token takes that is not cached.
    pub prefill: Duration,
    /// The time that one output token takes in a batch of one.
    pub decode: Duration,
    /// The time from a start until it is warm.
    pub warm_up: Duration,
    /// What it bears right after a start, in requests.
    pub cold_requests: u32,
    /// How many times slower its prefill is right after a start.
    pub cold_slowdown: f64,
    /// It crashes when it got this many times what it bears since it turned cold.
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

/// One request as the engine gets it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt.
    pub attempt: request::Attempt,
    /// The chat.
    pub chat: chat::Key,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens to put out.
    pub output: u32,
}

/// A job that has begun to run.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// The job.
    pub job: Job,
    /// Prompt tokens that were cached.
    pub cached: u32,
    /// When it began.
    pub begun_at: Instant,
    /// When its first token is out.
    pub first_token_at: Instant,
    /// When it is done.
    pub done_at: Instant,
}

/// What an engine did with a job, or after one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Submission {
    /// It runs it.
    Running,
    /// It waits inside the engine.
    Waiting,
    /// The engine is down, or fell over: these attempts are lost.
    Lost(Vec<request::Attempt>),
}

/// A fake engine.
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

    /// Whether it takes connections.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Which of its runs this is.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Requests that it runs.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that wait inside it.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Requests that it holds.
    pub fn load(&self) -> u32 {
        self.running() + self.waiting()
    }

    /// The most requests that it runs at once.
    pub fn capacity(&self) -> u32 {
        self.settings.capacity
    }

    /// Tokens in its cache.
    pub fn cached_tokens(&self) -> u64 {
        self.cache.total_tokens()
    }

    /// How warm it is, from zero to one.
    fn warm_fraction(&self, now: Instant) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let age = now.since(self.started_at).as_secs_f64();
        (age / self.settings.warm_up.as_secs_f64()).min(1.0)
    }

    /// Whether it is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.warm_fraction(now) < 1.0
    }

    /// How many requests it bears.
    pub fn safe_load(&self, now: Instant) -> u32 {
        let cold = f64::from(self.settings.cold_requests);
        let full = f64::from(self.settings.capacity);
        (cold + (full - cold) * self.warm_fraction(now).powi(2)) as u32
    }

    /// Takes a job.
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

    /// Requests that it was given since it turned cold.
    fn received_while_cold(&self) -> u32 {
        let begun = self.running.values();
        let begun = begun.filter(|run| run.begun_at >= self.started_at).count();
        begun as u32 + self.waiting()
    }

    /// The run of an attempt.
    pub fn run(&self, attempt: request::Attempt) -> Option<Run> {
        self.running.get(&attempt).copied()
    }

    /// Ends a run. Returns the jobs that began to run in its place.
    pub fn finish(&mut self, attempt: request::Attempt, now: Instant) -> Vec<Run> {
        let Some(run) = self.running.remove(&attempt) else {
            return Vec::new();
        };
        let tokens = run.job.prompt + run.job.output;
        let evicted = self.cache.store(run.job.chat, tokens);
        self.evicted.extend(evicted);
        self.start_waiting(now)
    }

    /// Stops it. All that it held is lost.
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

    /// Starts it again, cold.
    pub fn start(&mut self, now: Instant) {
        self.up = true;
        self.turn_cold(now);
    }

    /// Turns it cold without a warning; what it runs goes on.
    pub fn turn_cold(&mut self, now: Instant) {
        self.boot += 1;
        self.cold = true;
        self.started_at = now;
        self.prefill_free_at = now;
        self.cache.clear();
        self.evicted.clear();
    }

    /// The chats evicted since the last call.
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
