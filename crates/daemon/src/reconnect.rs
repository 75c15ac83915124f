//! Backoff between attempts to reconnect to a peer.

use std::time::Duration;

/// Delay after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Longest delay. A peer that lost power for a second must be reached soon after it is back.
/// Four attempts a second to a peer that stays down cost little.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Delays between attempts to reach one peer. They double up to a limit.
#[derive(Debug, Clone, Copy)]
pub struct ReconnectBackoff {
    next: Duration,
}

impl Default for ReconnectBackoff {
    fn default() -> Self {
        Self { next: FIRST_DELAY }
    }
}

impl ReconnectBackoff {
    /// Restarts the backoff after a successful connection.
    pub fn reset(&mut self) {
        self.next = FIRST_DELAY;
    }

    /// Returns the delay after a failure, and doubles the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(MAX_DELAY);
        delay
    }
}
