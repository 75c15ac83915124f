//! How soon a peer is dialled again.

use std::time::Duration;

/// Pause after the first failure.
const FIRST: Duration = Duration::from_millis(50);
/// Longest pause. A peer that lost power for a second must be reached soon after it is back;
/// four attempts a second to one that stays away cost little.
const LONGEST: Duration = Duration::from_millis(200);

/// Pauses between attempts to reach one peer; they double up to a limit.
#[derive(Debug, Clone, Copy)]
pub struct ReconnectBackoff {
    next: Duration,
}

impl Default for ReconnectBackoff {
    fn default() -> Self {
        Self { next: FIRST }
    }
}

impl ReconnectBackoff {
    /// The peer was reached: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }

    /// How long to wait after a failure.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(LONGEST);
        pause
    }
}
