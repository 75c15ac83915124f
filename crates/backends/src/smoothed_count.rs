//! A count averaged over time.
//!
//! With many daemons, each has only a few attempts at a server, and one more or less at a given
//! moment says little. The average over a second shows how much of the load comes from this daemon.
//! When all daemons keep their averages even, the sum is even too.

use dahlia_types::{Duration, Timestamp};

/// An exponentially weighted moving average of a count.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SmoothedCount {
    mean: f64,
    /// The mean covers the time up to this moment.
    updated_at: Timestamp,
}

impl SmoothedCount {
    /// Creates an average whose value until `now` is `mean`.
    pub(crate) fn with_average(mean: f64, now: Timestamp) -> Self {
        Self { mean, updated_at: now }
    }

    /// Records that the count was `count` since the previous call. The weight of older values
    /// decays to 1/e within `time_constant`.
    pub(crate) fn record(&mut self, count: u32, time_constant: Duration, now: Timestamp) {
        self.mean = self.average_at(count, time_constant, now);
        self.updated_at = now;
    }

    /// Returns the average at `now` if the count was `count` since the last call of
    /// [`Self::record`].
    pub(crate) fn average_at(&self, count: u32, time_constant: Duration, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = (-elapsed / time_constant.as_secs_f64()).exp();
        self.mean * decay + f64::from(count) * (1.0 - decay)
    }
}
