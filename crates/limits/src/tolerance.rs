//! How exactly a limit is enforced: the window that requests are counted in, and the excess that is
//! tolerated.

use dahlia_types::Duration;

use crate::RateLimit;

/// The share of the tolerated excess that is admitted. The rest is for requests that are not reported
/// yet, and for those that a gateway sends again after a server failed.
const ADMITTED_EXCESS_SHARE: f64 = 0.5;

/// The share of the margin that a keeper gives out while it may not know yet what passed before it. The
/// rest is for requests that were not reported to it.
const CATCH_UP_SHARE: f64 = 0.5;

/// The share of the margin that a keeper gives out while history is lost and no gateway admits requests
/// without asking. The rest is for requests that are sent again.
const LOST_HISTORY_SHARE: f64 = 0.75;

/// The window of a deployment's limits and the excess that is tolerated in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Tolerance {
    /// The length of the window. The limit holds in any span of this length.
    pub(crate) window: Duration,
    /// The tolerated excess, as a share of the limit.
    pub(crate) excess: f64,
    /// The requests that are tolerated on top of that.
    pub(crate) requests: f64,
}

impl Tolerance {
    /// Requests in a window that are tolerated but not admitted knowingly.
    pub(crate) fn margin(&self, limit: RateLimit) -> f64 {
        (self.nominal(limit) * self.excess + self.requests) * (1.0 - ADMITTED_EXCESS_SHARE)
    }

    /// Requests that a new keeper admits until it knows what passed before it.
    pub(crate) fn catch_up_margin(&self, limit: RateLimit) -> f64 {
        self.margin(limit) * CATCH_UP_SHARE
    }

    /// Requests that a keeper admits while what passed before it may have filled the window.
    pub(crate) fn lost_history_margin(&self, limit: RateLimit) -> f64 {
        self.margin(limit) * LOST_HISTORY_SHARE
    }

    /// Requests that are admitted in any window.
    pub(crate) fn allowance(&self, limit: RateLimit) -> f64 {
        self.nominal(limit) * (1.0 + self.excess * ADMITTED_EXCESS_SHARE)
            + self.requests * ADMITTED_EXCESS_SHARE
    }

    /// Requests in a window by the limit alone.
    fn nominal(&self, limit: RateLimit) -> f64 {
        limit.per_second() * self.window.as_secs_f64() + limit.burst()
    }
}
