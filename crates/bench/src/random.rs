//! Seeded random draws.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A deterministic stream of random draws.
#[derive(Clone, Debug)]
pub struct Random(ChaCha8Rng);

impl Random {
    /// The stream for `seed` and `purpose`. Streams with different purposes are
    /// independent, so that additional draws from one do not change the others.
    pub fn new(seed: u64, purpose: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(purpose);
        Self(rng)
    }

    /// A uniform integer below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        self.0.random_range(0..end.max(1))
    }

    /// A uniform 64-bit value.
    pub fn hash(&mut self) -> u64 {
        self.0.random()
    }

    /// A uniform number between zero and one.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// An exponentially distributed number.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }

    /// A log-normally distributed number.
    pub fn log_normal(&mut self, median: f64, sigma: f64) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        let angle = std::f64::consts::TAU * self.unit();
        median * (sigma * radius * angle.cos()).exp()
    }

    /// An index drawn with the given weights.
    pub fn weighted(&mut self, weights: &[f64]) -> usize {
        let mut rest = self.unit() * weights.iter().sum::<f64>();
        for (index, weight) in weights.iter().enumerate() {
            rest -= weight;
            if rest < 0.0 {
                return index;
            }
        }
        weights.len().saturating_sub(1)
    }
}
