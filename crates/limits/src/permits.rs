//! Permits of one tenant, counted in a sliding window if the deployment sets one, else in a token bucket.

use dahlia_types::{Duration, Timestamp};

use crate::bucket::TokenBucket;
use crate::lost_history::LostHistory;
use crate::reservation::Reservation;
use crate::window::SlidingWindow;
use crate::{LimitSettings, RateLimit};

/// The counter of a tenant's requests.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Permits {
    /// Used if the deployment sets no window.
    Bucket(TokenBucket),
    /// Used if the deployment sets a window.
    Window(SlidingWindow),
}

impl Permits {
    /// Creates the permits of a tenant of which nothing is known, at a keeper that started at
    /// `keeper_started_at`. A bucket makes up over time for what the previous keeper may have admitted.
    pub(crate) fn new(
        settings: &LimitSettings,
        limit: RateLimit,
        keeper_started_at: Timestamp,
        now: Timestamp,
    ) -> Self {
        if let Some(tolerance) = settings.tolerance() {
            return Self::Window(SlidingWindow::new(limit, tolerance, keeper_started_at));
        }
        let share = settings.first_share;
        let refilled =
            now.since(keeper_started_at).as_secs_f64() * limit.per_second() / limit.burst();
        Self::Bucket(TokenBucket::new(limit, (share + refilled).min(1.0), now))
    }

    pub(crate) fn limit(&self) -> RateLimit {
        match self {
            Self::Bucket(bucket) => bucket.limit(),
            Self::Window(window) => window.limit(),
        }
    }

    /// Returns the most permits that can be available.
    pub(crate) fn capacity(&self) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.limit().burst(),
            Self::Window(window) => window.allowance(),
        }
    }

    /// Puts another limit in force.
    pub(crate) fn set_limit(&mut self, limit: RateLimit, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.set_limit(limit, now),
            Self::Window(window) => window.set_limit(limit, now),
        }
    }

    /// Returns the permits available now. They are negative when more was admitted than the limit allows.
    pub(crate) fn available(&mut self, now: Timestamp) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.available(now),
            Self::Window(window) => window.available(now),
        }
    }

    /// Returns the permits by what gateways have reported, even if the keeper has only just started.
    pub(crate) fn available_by_reports(&mut self, now: Timestamp) -> f64 {
        match self {
            Self::Bucket(bucket) => bucket.available(now),
            Self::Window(window) => window.available_by_reports(now),
        }
    }

    /// Whether recent requests may be unknown because the keeper has just started. A bucket accounts for
    /// them by its initial fill.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        matches!(self, Self::Window(window) if window.is_catching_up(now))
    }

    /// Sets what passed before this keeper and is unknown. A bucket accounts for it by its initial fill.
    pub(crate) fn set_lost_history(&mut self, lost: Option<LostHistory>) {
        if let Self::Window(window) = self {
            window.set_lost_history(lost);
        }
    }

    /// Records how many requests were asked for.
    pub(crate) fn record_requested(&mut self, requests: f64) {
        if let Self::Window(window) = self {
            window.record_requested(requests);
        }
    }

    /// Returns the permits reserved for gateways that may admit requests unknown to the keeper. A bucket
    /// reserves none.
    pub(crate) fn reservation(&mut self) -> Option<&mut Reservation> {
        match self {
            Self::Bucket(_) => None,
            Self::Window(window) => Some(window.reservation()),
        }
    }

    /// Takes permits for requests that passed some time ago and that this keeper has not counted.
    pub(crate) fn take_past(&mut self, permits: f64, age: Duration, now: Timestamp) {
        if let Self::Window(window) = self {
            window.take(permits, Timestamp(now.0.saturating_sub(age.as_micros())));
        }
    }

    /// Takes permits for requests that pass after a wait, even if they are not available.
    pub(crate) fn take(&mut self, permits: f64, wait: Duration, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.take(permits, now),
            Self::Window(window) => window.take(permits, now + wait),
        }
    }

    /// Refunds permits that were not used.
    pub(crate) fn refund(&mut self, permits: f64, now: Timestamp) {
        match self {
            Self::Bucket(bucket) => bucket.refund(permits, now),
            Self::Window(window) => window.refund(permits, now),
        }
    }

    /// Returns the time until there are `wanted` permits, if no others are taken.
    pub(crate) fn time_until(&mut self, wanted: f64, now: Timestamp) -> Duration {
        match self {
            Self::Bucket(bucket) => bucket.time_until(wanted, now),
            Self::Window(window) => window.time_until(wanted, now),
        }
    }
}
