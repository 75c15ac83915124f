//! Distributions that are configured in workload files.

use rand::Rng;
use rand_distr::{Distribution as _, Exp, LogNormal, Pareto};
use serde::{Deserialize, Serialize};

/// A distribution of a positive quantity. Draws are clamped to the stated bounds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Distribution {
    /// A constant value.
    Constant {
        /// The value.
        value: f64,
    },
    /// Exponential, bounded above.
    Exponential {
        /// Mean before clamping.
        mean: f64,
        /// Largest value.
        max: f64,
    },
    /// Log-normal: moderately heavy tail.
    LogNormal {
        /// Median.
        median: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// Pareto: heavy tail.
    Pareto {
        /// Smallest value.
        scale: f64,
        /// The tail index. A smaller index gives a heavier tail.
        shape: f64,
        /// Largest value.
        max: f64,
    },
}

impl Distribution {
    /// Draws a value. Returns the smallest value if the library rejects the parameters.
    pub fn sample(&self, random: &mut impl Rng) -> f64 {
        match *self {
            Self::Constant { value } => value,
            Self::Exponential { mean, max } => {
                let drawn = Exp::new(1.0 / mean).map(|exponential| exponential.sample(random));
                drawn.unwrap_or(0.0).min(max)
            }
            Self::LogNormal { median, sigma, min, max } => {
                let drawn = LogNormal::new(median.ln(), sigma).map(|normal| normal.sample(random));
                drawn.unwrap_or(min).clamp(min, max)
            }
            Self::Pareto { scale, shape, max } => {
                let drawn = Pareto::new(scale, shape).map(|pareto| pareto.sample(random));
                drawn.unwrap_or(scale).min(max)
            }
        }
    }

    /// Draws a whole number that is at least `min`.
    pub fn sample_integer(&self, min: u64, random: &mut impl Rng) -> u64 {
        (self.sample(random).round() as u64).max(min)
    }
}
