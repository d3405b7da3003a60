//! The memory of one engine, as one router knows it.

use std::{collections::HashMap, fmt, num, str};

use smallvec::SmallVec;
use units::{chat, time::Instant};

use crate::{
    Engine, Footprint, Tokens,
    sample::{Sample, Typical},
};

/// Identifies a request of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Request(pub u64);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl str::FromStr for Request {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A prompt part in use.
#[derive(Clone, Copy, Debug)]
struct Used {
    tokens: Tokens,
    requests: u32,
}

/// What one request holds.
#[derive(Clone, Debug)]
struct Held {
    parts: SmallVec<[chat::Key; 4]>,
    /// The prompt tokens that belong to this request only.
    private_prompt: Tokens,
    output: Tokens,
    /// The output that the caller estimated.
    expected: Option<Tokens>,
    /// Prompt tokens that wait to be read.
    waiting: Tokens,
}

/// The requests of one router at one engine.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    requests: HashMap<Request, Held>,
    parts: HashMap<chat::Key, Used>,
    held: Tokens,
    waiting: Tokens,
    sample: Sample,
}

impl Memory {
    /// Whether no request is running.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The tokens of all running requests, with shared prompt parts counted once.
    pub fn held(&self) -> Tokens {
        self.held
    }

    /// The prompt tokens that wait to be read.
    pub fn waiting(&self) -> Tokens {
        self.waiting
    }

    /// Records that a request is sent, of which the engine has to read `uncached` tokens.
    pub fn start(
        &mut self,
        request: Request,
        footprint: &Footprint,
        uncached: Tokens,
        typical: &mut Typical,
        now: Instant,
    ) {
        self.end(request);
        let novel = self.sample.record(footprint, now);
        typical.record(novel, footprint);
        let mut parts = SmallVec::new();
        for part in &footprint.parts {
            let used = self.parts.entry(part.key).or_insert(Used {
                tokens: Tokens(0),
                requests: 0,
            });
            // Callers may state different lengths; the longest one is the safe one.
            self.held += part.tokens - used.tokens;
            used.tokens = used.tokens.max(part.tokens);
            used.requests += 1;
            parts.push(part.key);
        }
        self.held += footprint.private;
        self.waiting += uncached;
        let held = Held {
            parts,
            private_prompt: footprint.private - footprint.output,
            output: footprint.output,
            expected: footprint.expected,
            waiting: uncached,
        };
        self.requests.insert(request, held);
    }

    /// Records that the first event of a request has arrived, so that its prompt has been read.
    /// Returns the tokens that waited for that.
    pub fn first_event(&mut self, request: Request) -> Tokens {
        let Some(held) = self.requests.get_mut(&request) else {
            return Tokens(0);
        };
        let read = std::mem::take(&mut held.waiting);
        self.waiting -= read;
        read
    }

    /// Records that a request has generated at least `generated` tokens so far.
    pub fn generated(&mut self, request: Request, generated: Tokens) {
        if let Some(held) = self.requests.get_mut(&request) {
            self.held += generated - held.output;
            held.output = held.output.max(generated);
        }
    }

    /// Records that a request has ended. Without effect if it is not known. Returns the output
    /// that its caller estimated.
    pub fn end(&mut self, request: Request) -> Option<Tokens> {
        let held = self.requests.remove(&request)?;
        self.held -= held.private_prompt + held.output;
        self.waiting -= held.waiting;
        for key in held.parts {
            let Some(used) = self.parts.get_mut(&key) else {
                continue;
            };
            used.requests -= 1;
            if used.requests == 0 {
                self.held -= used.tokens;
                self.parts.remove(&key);
            }
        }
        held.expected
    }

    /// The memory in use if a request of this footprint was added, where `peers` requests of other
    /// routers run.
    pub fn with(
        &self,
        footprint: &Footprint,
        peers: u32,
        typical: &Typical,
        now: Instant,
    ) -> Tokens {
        let added: Tokens = footprint
            .parts
            .iter()
            .map(|part| {
                let used = self.parts.get(&part.key).map(|used| used.tokens);
                part.tokens - used.unwrap_or_default()
            })
            .sum();
        let is_counted = |key: chat::Key| {
            self.parts.contains_key(&key) || footprint.parts.iter().any(|part| part.key == key)
        };
        let of_peers = self
            .sample
            .expected(peers, typical, footprint, is_counted, now);
        self.held + added + footprint.private + of_peers
    }

    /// Whether a request of this footprint fits beside what runs at the engine.
    ///
    /// An engine that runs nothing else takes every request that may fit it at all.
    pub fn fits(
        &self,
        footprint: &Footprint,
        peers: u32,
        engine: Engine,
        typical: &Typical,
        now: Instant,
    ) -> bool {
        if self.is_empty() && peers == 0 {
            return footprint.fits_alone(engine);
        }
        self.with(footprint, peers, typical, now) <= engine.memory
    }
}
