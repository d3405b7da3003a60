//! An engine in virtual time.

use std::collections::{BTreeMap, VecDeque};

use gateway::pool::Part;
use units::chat;

use super::fleet::{MEMORY, SLOTS};

/// The microseconds of a step in which each running request gets one token.
const STEP_US: u64 = 3_820;
/// The prompt tokens that are read per second.
const READ_PER_S: u64 = 68_200;

/// What an engine reports to the router of a request.
#[derive(Clone, Copy, Debug)]
pub enum Report {
    /// The first event.
    First(usize),
    /// The last one.
    Ended(usize),
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    number: usize,
    rank: u8,
    parts: Vec<Part>,
    output: u64,
    generated: u64,
    /// The prompt tokens that are still to be read, in thousandths.
    unread: u64,
    has_responded: bool,
    is_preempted: bool,
}

impl Job {
    /// A request with this prompt that generates `output` tokens.
    pub fn new(number: usize, rank: u8, parts: &[Part], output: u64) -> Self {
        Self {
            number,
            rank,
            parts: parts.to_vec(),
            output,
            generated: 0,
            unread: 0,
            has_responded: false,
            is_preempted: false,
        }
    }
}

/// Runs up to [`SLOTS`] requests. Prompts are read one after the other, and nothing is generated
/// meanwhile.
#[derive(Debug, Default)]
pub struct Engine {
    waiting: VecDeque<Job>,
    running: Vec<Job>,
    /// Cached parts and when they were last used.
    cached: BTreeMap<chat::Key, (u64, u64)>,
    clock_us: u64,
    next_token_us: u64,
    pub preemptions: u32,
    pub runs: u32,
}

impl Engine {
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    pub fn accept(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Loses all requests and the cache. Returns the lost requests.
    pub fn restart(&mut self) -> Vec<usize> {
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        let lost = lost.map(|job| job.number).collect();
        self.cached.clear();
        lost
    }

    /// The tokens that running requests need, with shared parts counted once.
    fn needed(&self) -> u64 {
        let parts: BTreeMap<chat::Key, u64> = self
            .running
            .iter()
            .flat_map(|job| job.parts.iter().map(|part| (part.key, part.length())))
            .collect();
        let generated: u64 = self.running.iter().map(|job| job.generated).sum();
        parts.values().sum::<u64>() + generated
    }

    fn start(&mut self, mut job: Job) {
        let missing = job
            .parts
            .iter()
            .position(|part| !self.cached.contains_key(&part.key));
        let missing = missing.unwrap_or(job.parts.len());
        // The last part is read in any case, since it is never shared.
        let unread = job.parts[missing.min(job.parts.len() - 1)..].iter();
        job.unread = unread.map(Part::length).sum::<u64>() * 1_000;
        for part in &job.parts {
            self.cached.insert(part.key, (self.clock_us, part.length()));
        }
        self.runs += 1;
        self.running.push(job);
    }

    /// Evicts cached parts that no running request uses, then preempts requests.
    fn make_room(&mut self) {
        while self.needed() > MEMORY && self.running.len() > 1 {
            let newest_of_least_urgent = (0..self.running.len())
                .max_by_key(|index| (self.running[*index].rank, *index))
                .expect("a request");
            let mut job = self.running.remove(newest_of_least_urgent);
            job.generated = 0;
            job.is_preempted = true;
            self.preemptions += 1;
            self.waiting.push_back(job);
        }
        let used: Vec<chat::Key> = self
            .running
            .iter()
            .flat_map(|job| job.parts.iter().map(|part| part.key))
            .collect();
        let mut free = MEMORY.saturating_sub(self.needed());
        let mut unused: Vec<_> = self
            .cached
            .iter()
            .filter(|(key, _)| !used.contains(key))
            .map(|(key, (at, tokens))| (*at, *key, *tokens))
            .collect();
        unused.sort_unstable();
        for (_, key, tokens) in unused.into_iter().rev() {
            if tokens <= free {
                free -= tokens;
            } else {
                self.cached.remove(&key);
            }
        }
    }

    /// The next request. One that was preempted waits until it fits; new ones are taken at once.
    fn next(&mut self) -> Option<Job> {
        let needed = self.needed();
        let fits = |job: &Job| {
            let prompt: u64 = job.parts.iter().map(Part::length).sum();
            !job.is_preempted || needed + prompt + job.output <= MEMORY
        };
        let position = self.waiting.iter().position(fits)?;
        self.waiting.remove(position)
    }

    /// Advances by one millisecond.
    pub fn step(&mut self) -> Vec<Report> {
        self.clock_us += 1_000;
        while self.running.len() < SLOTS as usize
            && let Some(job) = self.next()
        {
            self.start(job);
            self.make_room();
        }
        if let Some(job) = self.running.iter_mut().find(|job| job.unread > 0) {
            job.unread = job.unread.saturating_sub(READ_PER_S);
            self.next_token_us = self.next_token_us.max(self.clock_us);
            return Vec::new();
        }
        if self.clock_us < self.next_token_us {
            return Vec::new();
        }
        self.next_token_us = self.next_token_us.max(self.clock_us) + STEP_US;
        let mut reports = Vec::new();
        for job in &mut self.running {
            job.generated += 1;
            if !job.has_responded {
                job.has_responded = true;
                reports.push(Report::First(job.number));
            }
            if job.generated >= job.output {
                reports.push(Report::Ended(job.number));
            }
        }
        self.running.retain(|job| job.generated < job.output);
        self.make_room();
        reports
    }
}
