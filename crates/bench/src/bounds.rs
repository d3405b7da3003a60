//! Bounds beyond which a figure is a regression.

use std::fmt;

use serde::Deserialize;

use crate::figure::Figure;

/// The bounds of all figures that have some.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// One for each figure.
    #[serde(default)]
    pub bound: Vec<Bound>,
}

/// The bounds of one figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The measure.
    pub measure: String,
    /// The deployment. Unset: all.
    pub deployment: Option<String>,
    /// The policy.
    pub policy: String,
    /// The lowest value that is no regression.
    pub min: Option<f64>,
    /// The highest value that is no regression.
    pub max: Option<f64>,
}

/// A figure beyond its bound.
#[derive(Clone, Debug)]
pub struct Regression {
    /// The figure.
    pub figure: Figure,
    /// The bound.
    pub bound: Bound,
}

impl Bounds {
    /// Reads bounds in TOML.
    ///
    /// # Errors
    ///
    /// The parser's, which names the line.
    pub fn parse(text: &str) -> Result<Self, toml::de::Error> {
        toml::from_str(text)
    }

    /// The figures that are beyond a bound.
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
        // A value that is not a number is within no bound.
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
