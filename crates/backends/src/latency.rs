//! A moving average of the time until a server's answers begin.

use dahlia_types::{Duration, Timestamp};

use crate::BackendSettings;

/// The minimum weight of a new sample. It is well below 1, so that a single sample decides nothing.
const MIN_WEIGHT: f64 = 0.2;

/// An exponential moving average. Under load, old samples lose weight with each new one; when
/// samples are rare, they lose it with time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Latency {
    /// Microseconds.
    mean: f64,
    samples: u32,
    sampled_at: Timestamp,
}

impl Latency {
    pub(crate) fn record(&mut self, time: Duration, settings: &BackendSettings, now: Timestamp) {
        let sample = time.as_micros() as f64;
        let weight = match self.samples {
            0 => 1.0,
            _ => self.weight(settings, now),
        };
        self.mean += (sample - self.mean) * weight;
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
    }

    /// Returns the mean, or `None` while there are too few samples.
    pub(crate) fn mean(&self, settings: &BackendSettings) -> Option<Duration> {
        (self.samples >= settings.slow_samples).then(|| Duration::from_micros(self.mean as u64))
    }

    pub(crate) fn is_at_most(&self, time: Duration) -> bool {
        self.mean <= time.as_micros() as f64
    }

    fn weight(&self, settings: &BackendSettings, now: Timestamp) -> f64 {
        let half_life = Duration::from_millis(settings.latency_half_life_ms).as_secs_f64();
        let age = now.since(self.sampled_at).as_secs_f64();
        (1.0 - 0.5_f64.powf(age / half_life)).max(MIN_WEIGHT)
    }
}
