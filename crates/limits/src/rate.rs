//! A limit on how many requests a tenant may send.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The highest rate and burst that are taken, far above any system's.
const MOST: f64 = 1e9;
/// Parts that a request is counted in, so that limits are whole numbers and compare exactly.
const PARTS: f64 = 1_000.0;

/// A limit that cannot be kept.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{field} is {value}; allowed: {allowed}"))]
pub struct InvalidRate {
    /// Which of the two figures.
    pub field: &'static str,
    /// The value found.
    pub value: f64,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Requests that all daemons together let pass: in any time of `t` seconds no more than
/// `per_second * t + burst`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// In thousandths of a request.
    per_second: u64,
    /// In thousandths of a request.
    burst: u64,
}

impl RateLimit {
    /// A limit; none when the rate is 0.
    ///
    /// # Errors
    /// [`InvalidRate`] when a figure is negative, infinite, not a number or beyond all bounds.
    pub fn new(per_second: f64, burst: f64) -> Result<Option<Self>, InvalidRate> {
        check("rate", per_second)?;
        check("burst", burst)?;
        let (per_second, burst) = (parts(per_second), parts(burst));
        Ok((per_second > 0).then_some(Self { per_second, burst }))
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.per_second as f64 / PARTS
    }

    /// Requests beyond the rate. At least one: a bucket that holds none lets nothing pass.
    pub fn burst(&self) -> f64 {
        (self.burst as f64 / PARTS).max(1.0)
    }
}

fn parts(requests: f64) -> u64 {
    (requests * PARTS).round() as u64
}

fn check(field: &'static str, value: f64) -> Result<(), InvalidRate> {
    if (0.0..=MOST).contains(&value) {
        return Ok(());
    }
    InvalidRateSnafu { field, value, allowed: "0 to 1000000000" }.fail()
}
