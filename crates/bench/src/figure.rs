//! The figures that a benchmark reports, and their output format.

use std::fmt;

use crate::policy;

/// One figure.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Name of the measure.
    pub measure: &'static str,
    /// Name of the deployment.
    pub deployment: &'static str,
    /// The policy that was measured.
    pub policy: policy::Name,
    /// The value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Seed of the run.
    pub seed: u64,
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "measure={} deployment={} policy={} value={:.4} unit={} seed={}",
            self.measure, self.deployment, self.policy, self.value, self.unit, self.seed
        )
    }
}
