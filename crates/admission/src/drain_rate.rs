//! How fast a queue empties: the slots that become free in a second, and how long an attempt keeps one.

use dahlia_types::{Duration, Timestamp};

/// The weight of the newest sample in the mean duration of attempts.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;

/// The decayed number of ended attempts below which the rate is unknown.
const MIN_ENDED_ATTEMPTS: f64 = 2.0;

/// A decaying count of ended attempts, and their mean duration.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrainRate {
    ended_attempts: f64,
    updated_at: Timestamp,
    mean_duration_s: Option<f64>,
}

impl DrainRate {
    /// Records that an attempt ended, and how long it took.
    pub(crate) fn record_end(&mut self, duration: Duration, half_life: Duration, now: Timestamp) {
        self.ended_attempts = self.decayed(half_life, now) + 1.0;
        self.updated_at = now;
        let duration = duration.as_secs_f64();
        let mean = self.mean_duration_s.unwrap_or(duration);
        self.mean_duration_s = Some(mean + (duration - mean) * NEWEST_SAMPLE_WEIGHT);
    }

    /// Returns the slots that become free in a second, or none while too few attempts have ended.
    pub(crate) fn per_second(&self, half_life: Duration, now: Timestamp) -> Option<f64> {
        let ended = self.decayed(half_life, now);
        let per_second = ended * std::f64::consts::LN_2 / half_life.as_secs_f64();
        (ended >= MIN_ENDED_ATTEMPTS).then_some(per_second)
    }

    /// Returns the mean duration of an attempt, or zero before the first has ended.
    pub(crate) fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(self.mean_duration_s.unwrap_or(0.0))
    }

    fn decayed(&self, half_life: Duration, now: Timestamp) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / half_life.as_secs_f64();
        self.ended_attempts * 0.5_f64.powf(half_lives)
    }
}
