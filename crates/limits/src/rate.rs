//! A limit on how many requests a tenant may send.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The highest rate and burst that are accepted, far above those of any system.
const MAX_REQUESTS: f64 = 1e9;
/// Units per request. Limits are stored in whole units, so that they compare exactly.
const UNITS_PER_REQUEST: f64 = 1_000.0;

/// An error for a limit that cannot be enforced.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("{field} is {value}; allowed: {allowed}"))]
pub struct InvalidRate {
    /// The name of the invalid figure: `rate` or `burst`.
    pub field: &'static str,
    /// The value found.
    pub value: f64,
    /// The values that are allowed.
    pub allowed: &'static str,
}

/// The requests that all daemons together admit: no more than `per_second * t + burst` in any `t`
/// seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateLimit {
    /// In thousandths of a request.
    per_second: u64,
    /// In thousandths of a request.
    burst: u64,
}

impl RateLimit {
    /// Creates a limit, or none if the rate is 0.
    ///
    /// # Errors
    /// [`InvalidRate`] if a figure is negative, infinite, not a number or above the maximum.
    pub fn new(per_second: f64, burst: f64) -> Result<Option<Self>, InvalidRate> {
        check("rate", per_second)?;
        check("burst", burst)?;
        let (per_second, burst) = (to_units(per_second), to_units(burst));
        Ok((per_second > 0).then_some(Self { per_second, burst }))
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.per_second as f64 / UNITS_PER_REQUEST
    }

    /// Requests on top of the rate. At least one, since a bucket without room for one admits nothing.
    pub fn burst(&self) -> f64 {
        (self.burst as f64 / UNITS_PER_REQUEST).max(1.0)
    }
}

fn to_units(requests: f64) -> u64 {
    (requests * UNITS_PER_REQUEST).round() as u64
}

fn check(field: &'static str, value: f64) -> Result<(), InvalidRate> {
    if (0.0..=MAX_REQUESTS).contains(&value) {
        return Ok(());
    }
    InvalidRateSnafu { field, value, allowed: "0 to 1000000000" }.fail()
}
