//! Bounds beyond which a figure counts as a regression.

use std::fmt;

use serde::Deserialize;

use crate::figure::Figure;

/// The bounds of all figures that have one.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// One entry per bounded figure.
    #[serde(default)]
    pub bound: Vec<Bound>,
}

/// The bounds of one figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Name of the measure.
    pub measure: String,
    /// Name of the deployment. Applies to all if unset.
    pub deployment: Option<String>,
    /// Name of the policy.
    pub policy: String,
    /// Lowest accepted value.
    pub min: Option<f64>,
    /// Highest accepted value.
    pub max: Option<f64>,
}

/// A figure beyond its bound.
#[derive(Clone, Debug)]
pub struct Regression {
    /// The figure that is out of bounds.
    pub figure: Figure,
    /// The bound that it violates.
    pub bound: Bound,
}

impl Bounds {
    /// Parses bounds from TOML.
    ///
    /// # Errors
    ///
    /// Returns the parser's error, which names the line.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// Returns the figures that violate a bound.
    pub fn check(&self, figures: &[Figure]) -> Vec<Regression> {
        let pairs = figures
            .iter()
            .flat_map(|figure| self.bound.iter().map(move |bound| (figure, bound)));
        pairs
            .filter(|(figure, bound)| bound.applies_to(figure) && !bound.contains(figure.value))
            .map(|(figure, bound)| Regression {
                figure: figure.clone(),
                bound: bound.clone(),
            })
            .collect()
    }
}

impl Bound {
    fn applies_to(&self, figure: &Figure) -> bool {
        let deployment = self.deployment.as_ref();
        self.measure == figure.measure
            && self.policy == figure.policy.to_string()
            && deployment.is_none_or(|name| name == figure.deployment)
    }

    fn contains(&self, value: f64) -> bool {
        // NaN violates every bound that is set.
        let above = self.min.is_none_or(|min| value >= min);
        let below = self.max.is_none_or(|max| value <= max);
        above && below
    }
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "regression: {}", self.figure)?;
        if let Some(min) = self.bound.min {
            write!(f, " min={min}")?;
        }
        if let Some(max) = self.bound.max {
            write!(f, " max={max}")?;
        }
        Ok(())
    }
}
