//! The daemon's clock: monotonic, anchored once at the wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use dahlia_types::{Incarnation, Timestamp};

/// A clock that never goes back, also when the wall clock is set.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    anchor: u64,
}

impl Clock {
    /// A clock anchored at the wall clock of this moment.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), anchor: since.as_micros() as u64 }
    }

    /// Microseconds since 1970, as far as the wall clock was right at the start.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.anchor + self.started.elapsed().as_micros() as u64)
    }

    /// The incarnation of a process that started with this clock.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.anchor / 1_000)
    }
}
