//! A token bucket that may go below zero: requests are counted also when they are reported late.

use dahlia_types::{Duration, Timestamp};

use crate::RateLimit;

/// Permits of one tenant.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Bucket {
    limit: RateLimit,
    level: f64,
    at: Timestamp,
}

impl Bucket {
    /// A bucket that is filled to a share of its burst.
    pub(crate) fn new(limit: RateLimit, filled: f64, now: Timestamp) -> Self {
        Self { limit, level: limit.burst() * filled, at: now }
    }

    pub(crate) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Puts another limit in force; what is in the bucket stays, as far as it fits.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst());
    }

    /// Permits at this moment; negative when more was let pass than the limit allows.
    pub(crate) fn level(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes permits, whether they are there or not.
    pub(crate) fn take(&mut self, permits: f64, now: Timestamp) {
        self.refill(now);
        self.level -= permits;
    }

    /// Puts permits back that were not used.
    pub(crate) fn put_back(&mut self, permits: f64, now: Timestamp) {
        self.refill(now);
        self.level = (self.level + permits).min(self.limit.burst());
    }

    /// How long until it holds as many as `wanted`, if nobody takes any.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        let missing = (wanted - self.level(now)).max(0.0);
        Duration::from_secs_f64(missing / self.limit.per_second())
    }

    fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.limit.per_second()).min(self.limit.burst());
        self.at = self.at.max(now);
    }
}
