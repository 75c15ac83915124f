//! Least squares over a few sizes.

use serde::{Deserialize, Serialize};

/// A straight line through measured points, `intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth with each daemon.
    pub slope: f64,
    /// Largest distance of a point from the line.
    pub largest_residual: f64,
}

impl Line {
    /// The line of least squares. None with fewer than two different sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let together: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = together / spread;
        let intercept = mean_value - slope * mean_size;
        let residual = |(size, value): &(f64, f64)| (value - intercept - slope * size).abs();
        let largest_residual = points.iter().map(residual).fold(0.0, f64::max);
        Some(Self { intercept, slope, largest_residual })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
