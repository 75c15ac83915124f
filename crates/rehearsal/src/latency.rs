//! Histograms of the latencies of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that the histogram resolves: ten minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// A histogram of latencies of one kind.
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

/// Summary statistics of a latency histogram, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Arithmetic mean.
    pub mean: f64,
    /// Maximum.
    pub max: f64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self { histogram: histogram.expect("the bounds are constants that fit") }
    }
}

impl LatencyHistogram {
    /// Records a latency; values above the maximum count as the maximum.
    pub fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// Adds all samples of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.histogram.add(&other.histogram).expect("both have the same bounds");
    }

    /// Returns the summary statistics.
    pub fn summary(&self) -> LatencySummary {
        let millis =
            |quantile: f64| self.histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        LatencySummary {
            count: self.histogram.len(),
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
            mean: self.histogram.mean() / MICROS_PER_MILLI,
            max: self.histogram.max() as f64 / MICROS_PER_MILLI,
        }
    }
}
