//! Durations and timestamps. State machines never read a clock; their driver passes [`Timestamp`]s.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A length of time in microseconds.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Duration(pub u64);

impl Duration {
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// A duration of `micros` microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// A duration of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000_000)
    }

    /// The duration in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The duration in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The duration in seconds, with a fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// A duration of `seconds` seconds, with a fraction; negative values and NaN give zero.
    pub fn from_secs_f64(seconds: f64) -> Self {
        Self((seconds * 1e6) as u64)
    }

    /// The difference to a shorter duration, or zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// This duration multiplied by `factor`, saturating.
    pub fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

/// A point in time, in microseconds since the driver's origin.
///
/// In a daemon the origin is 1970 (so that replicas agree on recorded expiry times up to clock
/// skew); in virtual time it is the start of the run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Time passed since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}
