//! The tokens that a request has generated so far.

use crate::Tokens;

/// The weight of a new response in the mean is one divided by this number.
const MEAN_DIVISOR: f64 = 64.0;

/// The tokens that one piece of a response holds, learned from complete responses.
///
/// A router sees the pieces of a response, but not how many tokens they hold. Estimates of callers
/// are right at the median, so that over many responses their sum gives the size of a piece.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PieceSize {
    tokens: f64,
    pieces: f64,
}

impl PieceSize {
    /// Records a complete response of `pieces`, for which `expected` tokens were estimated.
    pub fn record(&mut self, expected: Tokens, pieces: u32) {
        let keep = 1.0 - 1.0 / MEAN_DIVISOR;
        self.tokens = self.tokens * keep + expected.0 as f64;
        self.pieces = self.pieces * keep + f64::from(pieces);
    }

    /// The tokens in `pieces` of a response; at least one for each.
    pub fn generated(&self, pieces: u32) -> Tokens {
        let pieces = f64::from(pieces);
        let size = if self.pieces > 0.0 {
            (self.tokens / self.pieces).max(1.0)
        } else {
            1.0
        };
        Tokens((pieces * size) as u64)
    }
}
