//! How often a daemon hands leaderships over for balance.
//!
//! Groups whose leader dies go to whoever is elected, so after a few failures one daemon may lead
//! most of them, and its own failure then stops them all. All groups of a daemon decide on the same
//! view, which shows a hand-over only when the next leader has announced itself: without a common
//! pace they would all hand over to the same daemon at once.

use dahlia_types::{Duration, Timestamp};

use super::MaintenanceSettings;

/// The pace of one daemon's hand-overs, over all groups that it leads.
#[derive(Debug, Clone)]
pub struct BalanceRateLimit {
    interval: Duration,
    handed_over_at: Timestamp,
}

impl BalanceRateLimit {
    /// `now` starts the first interval without a hand-over.
    pub fn new(settings: &MaintenanceSettings, now: Timestamp) -> Self {
        let interval = Duration::from_millis(settings.balance_interval_ms);
        Self { interval, handed_over_at: now }
    }

    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now.since(self.handed_over_at) >= self.interval
    }

    pub(super) fn handed_over(&mut self, now: Timestamp) {
        self.handed_over_at = now;
    }
}
