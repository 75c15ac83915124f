//! A count averaged over time.
//!
//! With many daemons each has few attempts at a server, and one more or less at a moment says
//! little. Their average over a second says how much of the load is this daemon's; when all
//! daemons keep their averages even, so is their sum.

use dahlia_types::{Duration, Timestamp};

/// An exponentially weighted average over the time before.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SmoothedCount {
    mean: f64,
    /// Up to when it is averaged.
    until: Timestamp,
}

impl SmoothedCount {
    /// As if the average had been `mean` until now.
    pub(crate) fn starting_at(mean: f64, now: Timestamp) -> Self {
        Self { mean, until: now }
    }

    /// Takes in that the count was `count` since the last call. `span` is the time in which the weight
    /// of what was before fades to 1/e.
    pub(crate) fn note(&mut self, count: u32, span: Duration, now: Timestamp) {
        self.mean = self.at(count, span, now);
        self.until = now;
    }

    /// The average now, when the count was `count` since the last call of [`Self::note`].
    pub(crate) fn at(&self, count: u32, span: Duration, now: Timestamp) -> f64 {
        let passed = now.since(self.until).as_secs_f64();
        let kept = (-passed / span.as_secs_f64()).exp();
        self.mean * kept + f64::from(count) * (1.0 - kept)
    }
}
