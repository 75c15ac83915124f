//! The rate limit of a daemon's leadership transfers for balance.
//!
//! After a leader's death, any voter may be elected, so after a few failures one daemon may lead most
//! groups, and its own failure then stops them all. All groups of a daemon decide on the same view,
//! which shows a transfer only when the new leader has announced itself. Without a common rate limit
//! they would all transfer their leadership to the same daemon at once.

use dahlia_types::{Duration, Timestamp};

use super::MaintenanceSettings;

/// Limits the leadership transfers of one daemon, over all groups that it leads.
#[derive(Debug, Clone)]
pub struct BalanceRateLimit {
    interval: Duration,
    last_transfer: Timestamp,
}

impl BalanceRateLimit {
    /// Creates a rate limit. The first interval without a transfer starts at `now`.
    pub fn new(settings: &MaintenanceSettings, now: Timestamp) -> Self {
        let interval = Duration::from_millis(settings.balance_interval_ms);
        Self { interval, last_transfer: now }
    }

    pub(super) fn allows_transfer(&self, now: Timestamp) -> bool {
        now.since(self.last_transfer) >= self.interval
    }

    pub(super) fn record_transfer(&mut self, now: Timestamp) {
        self.last_transfer = now;
    }
}
