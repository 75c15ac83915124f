//! The model's clock: real time, sped up by a factor.

use std::time::Instant;

use dahlia_types::{Duration, Timestamp};

/// A clock that starts at zero and runs `speed` times as fast as real time.
#[derive(Debug, Clone)]
pub(crate) struct ModelClock {
    origin: Instant,
    speed: f64,
}

impl ModelClock {
    pub(crate) fn new(speed: f64) -> Self {
        Self { origin: Instant::now(), speed }
    }

    /// The present moment of the model.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp((self.origin.elapsed().as_micros() as f64 * self.speed) as u64)
    }

    /// A real length in the model's time.
    pub(crate) fn to_model(&self, real: Duration) -> Duration {
        Duration((real.0 as f64 * self.speed) as u64)
    }

    /// A length of the model's time in real time.
    pub(crate) fn to_real(&self, model: Duration) -> Duration {
        Duration((model.0 as f64 / self.speed) as u64)
    }

    /// Waits until the model's time is `at`.
    pub(crate) async fn sleep_until(&self, at: Timestamp) {
        let real = self.to_real(at.since(self.now()));
        tokio::time::sleep(std::time::Duration::from_micros(real.as_micros())).await;
    }
}
