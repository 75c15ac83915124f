//! Rate limit on the bytes that load sharing sends.

use dahlia_types::{Duration, Timestamp};

/// Unused bytes of this time may be saved up.
const MAX_SAVED_TIME: Duration = Duration::from_millis(100);

/// A token bucket of bytes. One message may overdraw it; later ones then wait.
#[derive(Debug)]
pub(super) struct ByteBudget {
    per_second: u64,
    available: i64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    pub(super) fn new(per_second: u64) -> Self {
        Self { per_second, available: 0, refilled_at: Timestamp::ZERO }
    }

    /// Adds the bytes accrued since the last call.
    pub(super) fn refill(&mut self, now: Timestamp) {
        let passed = now.since(self.refilled_at).min(MAX_SAVED_TIME);
        self.refilled_at = now;
        let bytes = |length: Duration| (self.per_second * length.as_micros() / 1_000_000) as i64;
        self.available = (self.available + bytes(passed)).min(bytes(MAX_SAVED_TIME));
    }

    pub(super) fn has_room(&self) -> bool {
        self.available > 0
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as i64;
    }
}
