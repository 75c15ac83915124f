//! A token bucket that may go below zero, since requests are counted even if they are reported late.

use dahlia_types::{Duration, Timestamp};

use crate::RateLimit;

/// Permits of one tenant.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct TokenBucket {
    limit: RateLimit,
    permits: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that is filled to a share of its burst.
    pub(crate) fn new(limit: RateLimit, filled_share: f64, now: Timestamp) -> Self {
        Self { limit, permits: limit.burst() * filled_share, updated_at: now }
    }

    pub(crate) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Puts another limit in force. Permits in the bucket stay, up to the new burst.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        self.refill(now);
        self.limit = limit;
        self.permits = self.permits.min(limit.burst());
    }

    /// Returns the permits available now. They are negative when more was admitted than the limit allows.
    pub(crate) fn available(&mut self, now: Timestamp) -> f64 {
        self.refill(now);
        self.permits
    }

    /// Takes permits, even if they are not available.
    pub(crate) fn take(&mut self, permits: f64, now: Timestamp) {
        self.refill(now);
        self.permits -= permits;
    }

    /// Refunds permits that were not used.
    pub(crate) fn refund(&mut self, permits: f64, now: Timestamp) {
        self.refill(now);
        self.permits = (self.permits + permits).min(self.limit.burst());
    }

    /// Returns the time until `wanted` permits are available, if no others are taken.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        let missing = (wanted - self.available(now)).max(0.0);
        Duration::from_secs_f64(missing / self.limit.per_second())
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.permits = (self.permits + elapsed * self.limit.per_second()).min(self.limit.burst());
        self.updated_at = self.updated_at.max(now);
    }
}
