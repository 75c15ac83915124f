//! The daemon's clock: monotonic, and anchored to the wall clock at its start.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use dahlia_types::{Incarnation, Timestamp};

/// A clock that never goes back, even when the wall clock is set back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    start_micros: u64,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), start_micros: since_epoch.as_micros() as u64 }
    }

    /// Microseconds since 1970, provided that the wall clock was right at the start.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start_micros + self.started.elapsed().as_micros() as u64)
    }

    /// The incarnation of a process that started with this clock.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.start_micros / 1_000)
    }
}
