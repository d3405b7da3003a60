//! The memory that one request takes.

use smallvec::SmallVec;
use units::chat;

use crate::Tokens;

/// How far the hint of the output may be off, as a factor in either direction.
const HINT_ERROR: u64 = 3;

/// A part of a prompt. Requests that run side by side share parts with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The key that identifies the part.
    pub key: chat::Key,
    /// Its length.
    pub tokens: Tokens,
}

/// What a caller states about the tokens of its request. Missing figures are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The length of the prompt.
    pub prompt: Option<Tokens>,
    /// The caller's estimate of the output.
    pub hint: Option<Tokens>,
    /// The longest output that the caller accepts.
    pub most: Option<Tokens>,
}

impl Usage {
    /// The expected output for an engine; `None` if the caller gives no usable estimate.
    ///
    /// An estimate is bounded by the maximum. Without a maximum, an estimate beyond the memory of
    /// an engine is a mistake of the caller, and counts as missing.
    pub fn expected(self, engine: Engine) -> Option<Tokens> {
        let hint = self.hint.filter(|hint| hint.0 > 0)?;
        match self.most {
            Some(most) => Some(hint.min(most)),
            None => (hint <= engine.memory).then_some(hint),
        }
    }

    /// The output for which memory is set aside.
    fn reserved(self, prompt: Tokens, engine: Engine) -> Tokens {
        let most = self.most.unwrap_or(engine.memory);
        match self.expected(engine) {
            Some(expected) => (expected * HINT_ERROR).min(most),
            // Without an estimate, a request is taken to need no more than its share of the
            // engine: maximum lengths are often far above what is generated.
            None => (engine.share() - prompt).min(most),
        }
    }
}

/// The size of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// The tokens that running requests and cached prompt parts may take.
    pub memory: Tokens,
    /// The requests that it runs concurrently.
    pub slots: u32,
}

impl Engine {
    /// The memory for each slot.
    fn share(self) -> Tokens {
        self.memory / u64::from(self.slots)
    }
}

/// The memory that a request takes at an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    /// The parts of the prompt, which other requests may share.
    pub parts: SmallVec<[Part; 4]>,
    /// The tokens that no other request shares: the output, and a prompt without parts.
    pub private: Tokens,
    /// The output in [`Self::private`].
    pub output: Tokens,
    /// The output that the caller estimates, if it does.
    pub expected: Option<Tokens>,
    /// The least that the request takes if its output was estimated too high.
    pub least: Tokens,
}

impl Footprint {
    /// The footprint of a request with these prompt parts.
    pub fn new(parts: impl Iterator<Item = Part>, usage: Usage, engine: Engine) -> Self {
        let parts: SmallVec<[Part; 4]> = parts.collect();
        let named: Tokens = parts.iter().map(|part| part.tokens).sum();
        // The parts are what the engine reads. A total that exceeds them by more than an engine's
        // memory is a mistake of the caller.
        let stated = usage.prompt.unwrap_or_default();
        let is_plausible = parts.is_empty() || stated <= engine.memory;
        let prompt = if is_plausible {
            named.max(stated)
        } else {
            named
        };
        let output = usage.reserved(prompt, engine);
        let expected = usage.expected(engine);
        Self {
            parts,
            private: prompt - named + output,
            output,
            expected,
            least: prompt + expected.unwrap_or_default() / HINT_ERROR,
        }
    }

    /// All tokens of the request.
    pub fn total(&self) -> Tokens {
        self.private + self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Whether the request may fit an engine that runs nothing else.
    pub fn fits_alone(&self, engine: Engine) -> bool {
        self.least <= engine.memory
    }
}
