//! An exponentially decaying mean of durations.

use dahlia_types::{Duration, Timestamp};

/// A weighted mean in which the weight of each sample decays with its age.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecayingMean {
    /// Seconds in which the weight of a sample decays to 1/e.
    time_constant_s: f64,
    weight: f64,
    /// Microseconds times weight.
    sum: f64,
    updated_at: Timestamp,
}

impl DecayingMean {
    pub(crate) fn new(time_constant_s: f64) -> Self {
        Self { time_constant_s, weight: 0.0, sum: 0.0, updated_at: Timestamp::ZERO }
    }

    pub(crate) fn record(&mut self, time: Duration, now: Timestamp) {
        let decay = self.decay(now);
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + time.as_micros() as f64;
        self.updated_at = now;
    }

    /// Returns the mean in microseconds, or `None` while the decayed weight of all samples is below
    /// `min_weight`.
    pub(crate) fn mean(&self, min_weight: f64, now: Timestamp) -> Option<f64> {
        (self.weight * self.decay(now) >= min_weight).then(|| self.sum / self.weight)
    }

    fn decay(&self, now: Timestamp) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / self.time_constant_s).exp()
    }
}
