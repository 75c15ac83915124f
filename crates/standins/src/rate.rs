//! A token bucket for rate limits.

use dahlia_types::{Duration, Timestamp};

/// A token bucket: `rate` a second on average, `burst` at once after a pause.
#[derive(Debug)]
pub(crate) struct RateLimit {
    rate: f64,
    burst: f64,
    level: f64,
    at: Timestamp,
}

impl RateLimit {
    /// A full bucket.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self { rate, burst, level: burst, at: Timestamp::ZERO }
    }

    /// Takes `amount` out, or tells how long until there is enough. More than the burst is
    /// given when the bucket is full and leaves it in debt.
    pub(crate) fn take(&mut self, amount: f64, now: Timestamp) -> Result<(), Duration> {
        let refill = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + refill).min(self.burst);
        self.at = self.at.max(now);
        let needed = amount.min(self.burst);
        if self.level >= needed {
            self.level -= amount;
            return Ok(());
        }
        let missing = Duration::from_secs_f64((needed - self.level) / self.rate);
        Err(missing.max(Duration::from_millis(1)))
    }
}
